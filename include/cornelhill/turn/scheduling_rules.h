#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// Scheduling rules and limits of one service. `docs/settings.md` lists the
// default, unit and range of each.
struct SchedulingRules {
  // Slot time from which a request counts as long.
  Millis short_quantum = Millis(100);
  // Bytes received from the caller from which a request counts as long.
  uint32_t short_bytes = 16 * 1024;
  // Share of the pool's slots reserved for short work, in thousandths.
  uint32_t short_reserve_permille = 200;
  // Maximum share of the pool's slots held by requests that have run longer
  // than `straggler_after`, in thousandths.
  uint32_t straggler_permille = 500;
  Millis straggler_after = Millis(5000);
  // Maximum time in the queue.
  Millis max_wait = Millis(2000);
  uint32_t max_queued_per_caller = 256;
  uint32_t max_queued = 2000;
  // Requests per second that one caller may start; 0 means no limit.
  uint32_t caller_rate = 0;
  // Retry budget, in thousandths of first attempts.
  uint32_t retry_permille = 100;

  bool operator==(const SchedulingRules&) const = default;
};

}  // namespace cornelhill
