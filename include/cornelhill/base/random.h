#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <random>

namespace cornelhill {

// A seeded random generator (PCG). Equal seeds give equal sequences on every
// platform for `Next` and `Below`. Not thread-safe.
class Random {
 public:
  explicit Random(uint64_t seed) : engine(seed) {}

  uint64_t Next() { return this->engine(); }

  // Returns a value in [0, bound). Requires bound > 0.
  uint64_t Below(uint64_t bound) { return this->engine(bound); }

  // Returns a value in [0, 1).
  double UniformDouble() {
    return static_cast<double>(this->engine() >> 11) * 0x1.0p-53;
  }

  bool Chance(double probability) {
    return this->UniformDouble() < probability;
  }

  // Returns an exponentially distributed value with the given mean.
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1.0 / mean)(this->engine);
  }

 private:
  pcg64 engine;
};

// Returns a seed that differs between processes. Thread-safe. Only the daemon's
// runtime and the tools call it.
uint64_t RandomSeed();

}  // namespace cornelhill
