#pragma once

#include <cstdint>
#include <string_view>

namespace cornelhill {

// Whether a request may have been executed by an upstream. `kNotRun` is
// reported only if it is certain that no packet of the request was passed to an
// upstream and that none will be.
enum class Verdict : uint8_t {
  kNotRun = 0,
  kMayHaveRun = 1,
  kRan = 2,
};

// Why a request was refused or terminated.
enum class Reason : uint8_t {
  kNone = 0,
  kOverload = 1,
  kDeadline = 2,
  kCallerLimit = 3,
  kServiceLimit = 4,
  kDraining = 5,
  kNoUpstream = 6,
  kUpstreamLost = 7,
  kQuarantine = 8,
  kCancelled = 9,
  kHopLimit = 10,
  kNoLease = 11,
};

// Returns the name used in logs and on the command line, e.g. "not_run".
std::string_view ToString(Verdict verdict);
std::string_view ToString(Reason reason);

}  // namespace cornelhill
