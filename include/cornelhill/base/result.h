#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace cornelhill {

// The category of an `Error`.
enum class ErrorCode : uint8_t {
  kMalformed = 1,
  kTooLarge,
  kUnsupportedVersion,
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,
  kCorrupt,
  kIo,
};

// An error with a human-readable message: one line that states the problem, the
// offending value and the accepted values.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// A value or an `Error`.
template <typename T>
using Result = boost::outcome_v2::checked<T, Error>;

// Returns a failure that converts to any `Result`.
inline auto Fail(ErrorCode code, std::string message) {
  return boost::outcome_v2::failure(Error{code, std::move(message)});
}

}  // namespace cornelhill
