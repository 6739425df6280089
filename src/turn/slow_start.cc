#include "cornelhill/turn/slow_start.h"

#include <algorithm>

namespace cornelhill {

void SlowStart::Begin(uint32_t slots) {
  *this = SlowStart();
  this->active = slots > 1;
  this->target = slots;
}

void SlowStart::OnFinish(Millis service_time, Millis cap) {
  if (!this->active) return;
  this->sum += std::min(service_time, cap).Count();
  if (++this->samples < kRoundSize) return;
  const bool steady = this->previous_sum >= 0 &&
                      this->sum * 4 <= this->previous_sum * 5 &&
                      this->sum * 5 >= this->previous_sum * 4;
  if (steady || ++this->held_rounds >= kMaxHeldRounds) {
    this->limit *= 2;
    this->held_rounds = 0;
    this->active = this->limit < this->target;
  }
  this->previous_sum = this->sum;
  this->sum = 0;
  this->samples = 0;
}

uint32_t SlowStart::Limit(uint32_t slots) const {
  return this->active ? std::min(this->limit, slots) : slots;
}

}  // namespace cornelhill
