#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// Limits the concurrent requests of an upstream that has just started. The
// limit starts at one and doubles after each round of `kRoundSize` requests
// whose mean service time is within a quarter of that of the round before.
// While rounds still differ (cold cache, overload at the start) the limit
// stays, but for at most `kMaxHeldRounds` rounds, since a mix of short and long
// work never reaches a steady mean. Not thread-safe.
class SlowStart {
 public:
  static constexpr uint32_t kRoundSize = 4;
  static constexpr uint32_t kMaxHeldRounds = 4;

  // Starts with a limit of one that grows up to `slots`.
  void Begin(uint32_t slots);

  // Records a finished request. Service times are capped at `cap`, so that long
  // work does not mask changes in the service time of short work.
  void OnFinish(Millis service_time, Millis cap);

  // Returns how many of `slots` may be in use.
  uint32_t Limit(uint32_t slots) const;

  bool Active() const { return this->active; }

 private:
  bool active = false;
  uint32_t limit = 1;
  uint32_t target = 1;
  uint32_t samples = 0;
  uint32_t held_rounds = 0;
  int64_t sum = 0;
  int64_t previous_sum = -1;
};

}  // namespace cornelhill
