#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// Exponential moving average of measured service times, in microseconds.
class ServiceTime {
 public:
  void Add(Millis sample) {
    const int64_t micros = sample.Count() * 1000;
    // Weight 1/8: the mean follows a change within about 8 requests.
    this->mean += this->samples == 0 ? micros : (micros - this->mean) / 8;
    if (this->samples < UINT32_MAX) ++this->samples;
  }

  bool Measured() const { return this->samples > 0; }
  int64_t Micros() const { return this->mean; }
  int64_t MicrosOr(Millis fallback) const {
    return this->Measured() ? this->mean : fallback.Count() * 1000;
  }

 private:
  int64_t mean = 0;
  uint32_t samples = 0;
};

}  // namespace cornelhill
