#include "cornelhill/base/verdict.h"

namespace cornelhill {

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "unknown";
}

std::string_view ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kOverload:
      return "overload";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kCallerLimit:
      return "caller_limit";
    case Reason::kServiceLimit:
      return "service_limit";
    case Reason::kDraining:
      return "draining";
    case Reason::kNoUpstream:
      return "no_upstream";
    case Reason::kUpstreamLost:
      return "upstream_lost";
    case Reason::kQuarantine:
      return "quarantine";
    case Reason::kCancelled:
      return "cancelled";
    case Reason::kHopLimit:
      return "hop_limit";
    case Reason::kNoLease:
      return "no_lease";
  }
  return "unknown";
}

}  // namespace cornelhill
