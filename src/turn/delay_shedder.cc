#include "cornelhill/turn/delay_shedder.h"

#include <cmath>

namespace cornelhill {

bool DelayShedder::ShouldShed(Millis now, Millis oldest_wait, Millis target,
                              Millis interval) {
  if (oldest_wait < target) {
    this->OnEmpty();
    return false;
  }
  if (!this->above) {
    this->above = true;
    this->above_since = now;
    return false;
  }
  if (!this->shedding) {
    if (now - this->above_since < interval) return false;
    this->shedding = true;
    this->next_shed = now;
    // If the overload returns, shedding resumes near its previous rate.
    this->count = this->count > 2 ? this->count - 2 : 0;
  }
  if (now < this->next_shed) return false;
  ++this->count;
  const double gap = static_cast<double>(interval.Count()) /
                     std::sqrt(static_cast<double>(this->count));
  this->next_shed += Millis(gap < 1 ? 1 : static_cast<int64_t>(gap));
  return true;
}

void DelayShedder::OnEmpty() {
  this->above = false;
  this->shedding = false;
}

}  // namespace cornelhill
