#include "cornelhill/turn/retry_budget.h"

#include <criterion/criterion.h>

#include <iostream>
#include <set>

namespace cornelhill {
namespace {

// Guards against retries that amplify an overload: in any order of attempts,
// retries must stay within their share of first attempts.
Test(retry_budget, retries_stay_within_share) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    RetryBudget budget(100);
    uint64_t first = 0;
    uint64_t retries = 0;
    for (int i = 0; i < 10'000; ++i) {
      if (random.Chance(0.5)) {
        budget.OnFirstAttempt();
        ++first;
      } else if (budget.TryRetry()) {
        ++retries;
      }
      cr_assert_leq(retries * 10, first, "seed %lu", seed);
    }
    cr_assert_geq(retries * 11, first, "seed %lu", seed);
  }
}

// Guards against an unbounded burst of retries after a long period without any.
Test(retry_budget, saved_retries_are_bounded) {
  RetryBudget budget(1000);
  for (int i = 0; i < 10'000; ++i) budget.OnFirstAttempt();
  int64_t retries = 0;
  while (budget.TryRetry()) ++retries;
  cr_assert_eq(retries, RetryBudget::kMaxSavedRetries);
}

// Guards against synchronised retries of callers that were refused together,
// and against a delay that overflows or ignores `retry_after`.
Test(retry_budget, backoff_grows_and_spreads) {
  Random random(7);
  std::cout << "seed=7\n";
  const BackoffRules rules;
  std::set<int64_t> delays;
  for (int i = 0; i < 100; ++i) {
    const int64_t delay = Backoff(rules, 3, Millis(50), random).Count();
    cr_assert(delay > 50 && delay <= 50 + 160);
    delays.insert(delay);
  }
  cr_assert_geq(delays.size(), 50);
  cr_assert_leq(Backoff(rules, 4'000'000'000, Millis(0), random).Count(),
                rules.cap.Count());
}

}  // namespace
}  // namespace cornelhill
