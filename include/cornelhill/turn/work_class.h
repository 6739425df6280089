#pragma once

#include <cstdint>
#include <optional>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/request_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/base/verdict.h"

namespace cornelhill {

// Class of a request by the slot time and bytes that it has used.
enum class WorkClass : uint8_t { kShort, kLong, kStraggler };

constexpr uint32_t kDefaultCallerWeight = 100;

// The properties of a request that the scheduler uses.
struct SchedulerRequest {
  RequestKey key;
  CallerId caller;
  uint32_t bytes = 0;
  Millis deadline;  // Instant; 0 means none.
  bool repeatable = false;
  // Set if the class is known from the rules of the service or from an earlier
  // refusal.
  std::optional<WorkClass> hint;
  // Weight of the caller in fair queueing. Requires weight > 0.
  uint32_t weight = kDefaultCallerWeight;
};

// A refused or shed request. It is not run.
struct SchedulerRefusal {
  RequestKey key;
  Reason reason = Reason::kNone;
  // Time for the queue ahead to drain at the measured service time. Excludes
  // jitter, which the retrying side adds.
  Millis retry_after;
};

}  // namespace cornelhill
