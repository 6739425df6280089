#pragma once

#include <cstdint>
#include <string_view>

namespace cornelhill {

// Returns the 64-bit XXH3 hash of `bytes`. The value must stay the same
// on every instance and release, because processes have to agree on it.
// Thread-safe.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

// Hashes two 64-bit values into one; the order matters. Thread-safe.
uint64_t HashCombine(uint64_t a, uint64_t b);

}  // namespace cornelhill
