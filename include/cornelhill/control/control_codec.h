#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"
#include "cornelhill/control/command.h"
#include "cornelhill/control/control_messages.h"

namespace cornelhill {

// Largest control message that any process sends or accepts. A full update of
// 920 services with 9,500 upstreams takes under 1 MB.
constexpr size_t kMaxControlMessageBytes = size_t{4} * 1024 * 1024;

// Largest command in the log, enough for a declaration of `kMaxServices`
// services.
constexpr size_t kMaxCommandBytes = size_t{1024} * 1024;

// Limits on the repeated fields and texts of one message.
constexpr size_t kMaxUpstreamsPerService = 4096;
constexpr size_t kMaxRosterSlots = 4096;
constexpr size_t kMaxSummaryEntries = 256;
constexpr size_t kMaxRefusedLeases = 4096;
constexpr size_t kMaxLaggingProcesses = 8;
constexpr size_t kMaxHistory = 256;
constexpr size_t kMaxControlMembers = 64;
constexpr size_t kMaxOperatorMessageBytes = 4096;

// Encoders never fail. Decoders fail with `kTooLarge`, `kMalformed` or
// `kUnsupportedVersion`, and never read past the end of `bytes`. Thread-safe.
std::string Encode(const Command& command);
std::string Encode(const ControlMessage& message);

Result<Command> DecodeCommand(std::string_view bytes);
Result<ControlMessage> DecodeControlMessage(std::string_view bytes);

}  // namespace cornelhill
