#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"
#include "cornelhill/consensus/consensus_messages.h"

namespace cornelhill {

// Maximum size of an encoded message that a member sends or accepts.
constexpr size_t kMaxConsensusMessageBytes = 2 << 20;
// Maximum size of a command; leaves room for the other fields of a message.
constexpr size_t kMaxLogCommandBytes = 1 << 20;
constexpr size_t kMaxEntriesPerAppend = 4096;

// Encoding cannot fail. Decoding fails with `kTooLarge`, `kMalformed` or
// `kUnsupportedVersion`. All functions are thread-safe.
std::string Encode(const ConsensusMessage& message);
std::string Encode(const Membership& membership);
std::string Encode(const SnapshotMeta& meta);

Result<ConsensusMessage> DecodeConsensusMessage(std::string_view bytes);
Result<Membership> DecodeMembership(std::string_view bytes);
Result<SnapshotMeta> DecodeSnapshotMeta(std::string_view bytes);

}  // namespace cornelhill
