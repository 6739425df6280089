#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// Protocol version of every message; decoders reject all other versions.
constexpr uint32_t kProtocolVersion = 1;

// Maximum UDP payload that a process sends or accepts.
constexpr size_t kMaxDatagramBytes = 9000;

// Maximum number of pages in the reply to a directory query, which is enough
// for about 400,000 flows.
constexpr uint32_t kMaxDirectoryPages = 16384;

// Encoding cannot fail. Decoding fails with `kTooLarge`, `kMalformed` or
// `kUnsupportedVersion` and never reads past the end of `bytes`. All functions
// are thread-safe.
std::string Encode(const CallerDatagram& datagram);
std::string Encode(const Encapsulated& packet);
std::string Encode(const DataMessage& message);

Result<CallerDatagram> DecodeCallerDatagram(std::string_view bytes);
Result<Encapsulated> DecodeEncapsulated(std::string_view bytes);
Result<DataMessage> DecodeDataMessage(std::string_view bytes);

}  // namespace cornelhill
