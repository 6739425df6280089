#pragma once

#include <cstdint>
#include <string_view>

namespace cornelhill {

// Returns the 64-bit XXH3 hash of `bytes`. The value is the same on every
// instance and release, since processes must agree on it. Thread-safe.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

// Mixes two 64-bit values. Thread-safe.
uint64_t HashCombine(uint64_t a, uint64_t b);

}  // namespace cornelhill
