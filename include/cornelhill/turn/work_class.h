#pragma once

#include <cstdint>
#include <optional>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/request_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/base/verdict.h"

namespace cornelhill {

// What work has proved to be, by the slot time and bytes it has used.
enum class WorkClass : uint8_t { kShort, kLong, kStraggler };

// Weight of a caller that the rules do not mention.
constexpr uint32_t kDefaultCallerWeight = 100;

// A request that waits for a slot.
struct SchedulerRequest {
  RequestKey key;
  CallerId caller;
  uint32_t bytes = 0;
  Millis deadline;  // Instant; 0 means none.
  bool repeatable = false;
  // Set where the service's rules or an earlier refusal say what the work is.
  std::optional<WorkClass> hint;
  // Share of the caller relative to other callers. Requires weight > 0.
  uint32_t weight = kDefaultCallerWeight;
};

// A request that will not be run, with the reason.
struct SchedulerRefusal {
  RequestKey key;
  Reason reason = Reason::kNone;
  // Time in which the queue ahead drains at its measured rate. Carries no
  // jitter: whoever retries adds it.
  Millis retry_after;
};

}  // namespace cornelhill
