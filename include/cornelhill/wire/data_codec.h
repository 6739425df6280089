#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// Version carried by every message; a decoder refuses any other.
constexpr uint32_t kProtocolVersion = 1;

// Largest UDP payload that any process sends or accepts.
constexpr size_t kMaxDatagramBytes = 9000;

// Most pages of the reply to one directory query: about 400,000 flows.
constexpr uint32_t kMaxDirectoryPages = 16384;

// Encoders never fail. Decoders fail with `kTooLarge`, `kMalformed` or
// `kUnsupportedVersion`, and never read beyond `bytes`. All are thread-safe.
std::string Encode(const CallerDatagram& datagram);
std::string Encode(const Encapsulated& packet);
std::string Encode(const DataMessage& message);

Result<CallerDatagram> DecodeCallerDatagram(std::string_view bytes);
Result<Encapsulated> DecodeEncapsulated(std::string_view bytes);
Result<DataMessage> DecodeDataMessage(std::string_view bytes);

}  // namespace cornelhill
