#pragma once

#include <compare>
#include <cstdint>

namespace cornelhill {

// A duration, or a time point since the epoch of a monotonic clock, in
// milliseconds. Decision code takes the current time as an argument and never
// reads a clock. Safe to copy between threads.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t count) : count(count) {}

  constexpr int64_t Count() const { return this->count; }
  constexpr auto operator<=>(const Millis&) const = default;
  constexpr Millis operator+(Millis other) const {
    return Millis(this->count + other.count);
  }
  constexpr Millis operator-(Millis other) const {
    return Millis(this->count - other.count);
  }
  constexpr Millis& operator+=(Millis other) {
    this->count += other.count;
    return *this;
  }
  constexpr Millis operator*(int64_t factor) const {
    return Millis(this->count * factor);
  }

 private:
  int64_t count = 0;
};

// Returns the current time of the monotonic clock. Thread-safe. Called by the
// daemon's runtime and the tools only.
Millis MonotonicNow();

// Returns the wall-clock time since the Unix epoch. Thread-safe. Used for log
// lines and the hybrid logical clock only.
Millis WallNow();

}  // namespace cornelhill
