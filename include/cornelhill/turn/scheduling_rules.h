#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// Rules of fair turn and limits of one service. `docs/settings.md` gives the
// default, unit and range of each.
struct SchedulingRules {
  // Slot time after which work counts as long.
  Millis short_quantum = Millis(100);
  // Bytes from the caller after which work counts as long.
  uint32_t short_bytes = 16 * 1024;
  // Share of the pool's slots kept free of long work, in thousandths.
  uint32_t short_reserve_permille = 200;
  // Slots that work running longer than `straggler_after` may hold, in
  // thousandths of the pool's slots.
  uint32_t straggler_permille = 500;
  Millis straggler_after = Millis(5000);
  // Longest a request may wait in the queue.
  Millis max_wait = Millis(2000);
  uint32_t max_queued_per_caller = 256;
  uint32_t max_queued = 2000;
  // Requests a second that one caller may start; 0 means no limit.
  uint32_t caller_rate = 0;
  // Retries allowed, in thousandths of first tries.
  uint32_t retry_permille = 100;

  bool operator==(const SchedulingRules&) const = default;
};

}  // namespace cornelhill
