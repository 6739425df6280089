#pragma once

#include <cstdint>
#include <string_view>

namespace cornelhill {

// Says whether a request may have run at an upstream. Only evidence makes a
// `kNotRun`: no packet of the request was passed to an upstream and none will
// be.
enum class Verdict : uint8_t {
  kNotRun = 0,
  kMayHaveRun = 1,
  kRan = 2,
};

// Why a request was refused or ended.
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
