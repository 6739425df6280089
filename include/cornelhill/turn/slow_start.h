#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// Bounds the requests that run at once at an upstream that has just started.
// The bound starts at one and doubles after each round of `kRoundSize` requests
// whose mean service time is within a quarter of the round before. While rounds
// still differ (a warming cache, an overloaded start) the bound stays, for at
// most `kMaxHeldRounds` rounds, since a mix of short and long work never
// settles. Not thread-safe.
class SlowStart {
 public:
  static constexpr uint32_t kRoundSize = 4;
  static constexpr uint32_t kMaxHeldRounds = 4;

  // Starts the ramp towards `slots`.
  void Begin(uint32_t slots);

  // Records a finished request. Service times count up to `cap`, so that long
  // work does not hide how short work fares.
  void OnFinish(Millis service_time, Millis cap);

  // Returns how many of `slots` may be used.
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
