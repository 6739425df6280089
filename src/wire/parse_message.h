// Checks that every decoder of protobuf messages makes first.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"

namespace cornelhill {

// Parses `bytes` into the protobuf message `out`. Fails with `kTooLarge` above
// `limit` bytes and with `kMalformed`. Thread-safe.
template <typename Message>
Result<void> ParseMessage(std::string_view bytes, size_t limit, Message* out) {
  if (bytes.size() > limit) {
    return Fail(ErrorCode::kTooLarge,
                "message of " + std::to_string(bytes.size()) +
                    " bytes is larger than " + std::to_string(limit));
  }
  if (!out->ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(
        ErrorCode::kMalformed,
        "message of " + std::to_string(bytes.size()) + " bytes does not parse");
  }
  return boost::outcome_v2::success();
}

// Likewise for a message that states its protocol version. Fails with
// `kUnsupportedVersion` where that is another than `version`.
template <typename Message>
Result<void> ParseVersioned(std::string_view bytes, size_t limit,
                            uint32_t version, Message* out) {
  BOOST_OUTCOME_TRY(ParseMessage(bytes, limit, out));
  if (out->version() != version) {
    return Fail(ErrorCode::kUnsupportedVersion,
                "protocol version " + std::to_string(out->version()) +
                    " is not " + std::to_string(version));
  }
  return boost::outcome_v2::success();
}

}  // namespace cornelhill
