#include "cornelhill/base/random.h"

namespace cornelhill {

uint64_t RandomSeed() {
  std::random_device device;
  return uint64_t{device()} << 32 | device();
}

}  // namespace cornelhill
