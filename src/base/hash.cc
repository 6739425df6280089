#include "cornelhill/base/hash.h"

#include <xxhash.h>

#include <array>

namespace cornelhill {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t HashCombine(uint64_t a, uint64_t b) {
  const std::array<uint64_t, 2> words = {a, b};
  return XXH3_64bits(words.data(), sizeof(words));
}

}  // namespace cornelhill
