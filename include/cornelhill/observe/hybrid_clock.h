#pragma once

#include <compare>
#include <cstdint>
#include <mutex>
#include <string>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// A hybrid logical time: wall-clock milliseconds since the Unix epoch and a
// counter that orders events within one millisecond. It orders an event after
// every event whose time its process had received, and stays close to the wall
// clock.
struct HybridTime {
  Millis wall;
  uint16_t logical = 0;

  auto operator<=>(const HybridTime&) const = default;
};

// The form in messages: 48 bits of milliseconds, 16 bits of the counter. Packed
// values compare like the times. Requires 0 <= wall < 2^48.
uint64_t Pack(HybridTime time);
HybridTime UnpackHybridTime(uint64_t packed);

// Formats as "2026-12-04T07:02:00.123Z+4", where 4 is the logical counter.
std::string ToString(HybridTime time);

// How far a received time may be ahead of the own wall clock.
constexpr Millis kMaxClockDrift = Millis(500);

// The hybrid logical clock of one process. Thread-safe.
class HybridClock {
 public:
  explicit HybridClock(Millis max_drift = kMaxClockDrift)
      : max_drift(max_drift) {}

  // Returns the time of a local event or a message to send, later than every
  // time returned or merged before. `wall_now` may go backwards.
  HybridTime Tick(Millis wall_now);

  // Returns the time of receiving a message sent at `remote`, later than it.
  // Fails with `kInvalidArgument`, leaving the clock unchanged, where `remote`
  // is more than the allowed drift ahead of `wall_now`: one instance with a
  // wrong clock must not move the clocks of all. The message itself remains
  // valid; the caller uses `Tick` instead.
  Result<HybridTime> Merge(HybridTime remote, Millis wall_now);

 private:
  HybridTime Advance(HybridTime floor, Millis wall_now);

  std::mutex mutex;
  HybridTime last;
  const Millis max_drift;
};

}  // namespace cornelhill
