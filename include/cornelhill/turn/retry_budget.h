#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"

namespace cornelhill {

// Limits retries to a share of first attempts. Each first attempt adds
// `permille` thousandths of a retry to the budget. The budget starts empty, so
// that retries never exceed the share. Not thread-safe.
class RetryBudget {
 public:
  // Maximum budget; limits the burst of retries after a period without any.
  static constexpr int64_t kMaxSavedRetries = 100;

  explicit RetryBudget(uint32_t permille) : permille(permille) {}

  // Sets the share for later attempts.
  void Configure(uint32_t new_permille) { this->permille = new_permille; }

  void OnFirstAttempt();

  // Takes one retry from the budget. Returns false if none is left.
  bool TryRetry();

 private:
  int64_t saved_milli = 0;
  uint32_t permille;
};

// Parameters of the exponential backoff between retries.
struct BackoffRules {
  Millis base = Millis(20);
  Millis cap = Millis(1000);
};

// Returns the delay before retry number `attempt`, counted from 0:
// `retry_after` plus a random jitter from 1 ms up to min(cap, base *
// 2^attempt). The jitter spreads the retries of callers that were refused
// together.
Millis Backoff(const BackoffRules& rules, uint32_t attempt, Millis retry_after,
               Random& random);

}  // namespace cornelhill
