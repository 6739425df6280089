#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace cornelhill {

// What kind of fault an `Error` reports.
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

// An error with a message for a person: one line that names what was wrong,
// the value and what would be accepted.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

// A value or an `Error`.
template <typename T>
using Result = boost::outcome_v2::checked<T, Error>;

// Makes the failure side of a `Result`.
inline auto Fail(ErrorCode code, std::string message) {
  return boost::outcome_v2::failure(Error{code, std::move(message)});
}

}  // namespace cornelhill
