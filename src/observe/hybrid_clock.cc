#include "cornelhill/observe/hybrid_clock.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <limits>

namespace cornelhill {

namespace {

constexpr int kLogicalBits = 16;

}  // namespace

uint64_t Pack(HybridTime time) {
  return static_cast<uint64_t>(time.wall.Count()) << kLogicalBits |
         time.logical;
}

HybridTime UnpackHybridTime(uint64_t packed) {
  return {Millis(static_cast<int64_t>(packed >> kLogicalBits)),
          static_cast<uint16_t>(packed)};
}

std::string ToString(HybridTime time) {
  const int64_t count = time.wall.Count();
  const std::time_t seconds = count / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 96> text{};
  std::snprintf(text.data(), text.size(),
                "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ+%u", utc.tm_year + 1900,
                utc.tm_mon + 1, utc.tm_mday, utc.tm_hour, utc.tm_min,
                utc.tm_sec, static_cast<int>(count % 1000),
                static_cast<unsigned>(time.logical));
  return text.data();
}

HybridTime HybridClock::Tick(Millis wall_now) {
  const std::lock_guard lock(this->mutex);
  return this->Advance(this->last, wall_now);
}

Result<HybridTime> HybridClock::Merge(HybridTime remote, Millis wall_now) {
  if (remote.wall > wall_now + this->max_drift) {
    return Error{ErrorCode::kInvalidArgument,
                 "received time " + ToString(remote) + " is " +
                     std::to_string((remote.wall - wall_now).Count()) +
                     " ms ahead of the wall clock; at most " +
                     std::to_string(this->max_drift.Count()) +
                     " ms are accepted"};
  }
  const std::lock_guard lock(this->mutex);
  return this->Advance(std::max(this->last, remote), wall_now);
}

// Sets the clock to the first time after `floor` that is not before `wall_now`.
HybridTime HybridClock::Advance(HybridTime floor, Millis wall_now) {
  if (wall_now > floor.wall) {
    this->last = {wall_now, 0};
  } else if (floor.logical < std::numeric_limits<uint16_t>::max()) {
    this->last = {floor.wall, static_cast<uint16_t>(floor.logical + 1)};
  } else {
    this->last = {floor.wall + Millis(1), 0};
  }
  return this->last;
}

}  // namespace cornelhill
