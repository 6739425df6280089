#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"

namespace cornelhill {

// Keeps retries within a share of first attempts. Each first attempt earns
// `permille` thousandths of a retry. Starts empty, so that retries never exceed
// the share. Not thread-safe.
class RetryBudget {
 public:
  // Retries that may be saved up; bounds the burst after a quiet time.
  static constexpr int64_t kMaxSavedRetries = 100;

  explicit RetryBudget(uint32_t permille) : permille(permille) {}

  // Applies a new share to later attempts.
  void Configure(uint32_t new_permille) { this->permille = new_permille; }

  void OnFirstAttempt();

  // Takes one retry from the budget. Returns false where none is left.
  bool TryRetry();

 private:
  int64_t saved_milli = 0;
  uint32_t permille;
};

// Limits of the backoff between retries.
struct BackoffRules {
  Millis base = Millis(20);
  Millis cap = Millis(1000);
};

// Returns the time to wait before retry number `attempt` (from 0): at least
// `retry_after` plus a random part of up to min(cap, base * 2^attempt), at
// least 1 ms. The random part spreads callers that were refused together.
Millis Backoff(const BackoffRules& rules, uint32_t attempt, Millis retry_after,
               Random& random);

}  // namespace cornelhill
