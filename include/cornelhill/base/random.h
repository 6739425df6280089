#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <random>

namespace cornelhill {

// A seeded pseudorandom number generator (PCG). The sequences of `Next` and
// `Below` for a given seed are the same on every platform. Not thread-safe.
class Random {
 public:
  explicit Random(uint64_t seed) : engine(seed) {}

  uint64_t Next() { return this->engine(); }

  // Returns a uniformly distributed value in [0, bound). Requires bound > 0.
  uint64_t Below(uint64_t bound) { return this->engine(bound); }

  // Returns a uniformly distributed value in [0, 1).
  double UniformDouble() {
    return static_cast<double>(this->engine() >> 11) * 0x1.0p-53;
  }

  // Returns true with the given probability.
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

// Returns a nondeterministic seed. Thread-safe. Called by the daemon's runtime
// and the tools only.
uint64_t RandomSeed();

}  // namespace cornelhill
