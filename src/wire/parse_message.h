#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"

namespace cornelhill {

// Parses `bytes` into the protobuf message `out`. Fails with `kTooLarge` above
// `limit` bytes and with `kMalformed` if `bytes` is not a valid message.
// Thread-safe.
template <typename Message>
Result<void> ParseMessage(std::string_view bytes, size_t limit, Message* out) {
  if (bytes.size() > limit) {
    return Fail(ErrorCode::kTooLarge, "message of " +
                                          std::to_string(bytes.size()) +
                                          " bytes exceeds the limit of " +
                                          std::to_string(limit) + " bytes");
  }
  if (!out->ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(ErrorCode::kMalformed,
                "message of " + std::to_string(bytes.size()) +
                    " bytes is not a valid protobuf message");
  }
  return boost::outcome_v2::success();
}

// Like `ParseMessage`, for a message with a protocol version. Also fails with
// `kUnsupportedVersion` if that differs from `version`.
template <typename Message>
Result<void> ParseVersioned(std::string_view bytes, size_t limit,
                            uint32_t version, Message* out) {
  BOOST_OUTCOME_TRY(ParseMessage(bytes, limit, out));
  if (out->version() != version) {
    return Fail(ErrorCode::kUnsupportedVersion,
                "protocol version " + std::to_string(out->version()) +
                    " is not supported; expected " + std::to_string(version));
  }
  return boost::outcome_v2::success();
}

}  // namespace cornelhill
