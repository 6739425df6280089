#include "cornelhill/turn/retry_budget.h"

#include <algorithm>

namespace cornelhill {

void RetryBudget::OnFirstAttempt() {
  this->saved_milli = std::min<int64_t>(this->saved_milli + this->permille,
                                        kMaxSavedRetries * 1000);
}

bool RetryBudget::TryRetry() {
  if (this->saved_milli < 1000) return false;
  this->saved_milli -= 1000;
  return true;
}

Millis Backoff(const BackoffRules& rules, uint32_t attempt, Millis retry_after,
               Random& random) {
  // The limit of 20 prevents overflow of the shift; 2^20 times any base exceeds
  // every cap.
  const int64_t grown = rules.base.Count() << std::min<uint32_t>(attempt, 20);
  const int64_t bound =
      std::max<int64_t>(1, std::min(grown, rules.cap.Count()));
  const auto jitter = static_cast<int64_t>(random.Below(bound)) + 1;
  return retry_after + Millis(jitter);
}

}  // namespace cornelhill
