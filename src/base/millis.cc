#include "cornelhill/base/millis.h"

#include <chrono>

namespace cornelhill {

Millis MonotonicNow() {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count());
}

Millis WallNow() {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
}

}  // namespace cornelhill
