#include "cornelhill/segment/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>
#include <utility>

namespace cornelhill {

AdmissionClass ClassOf(const WaitingFlow& waiting, Millis now,
                       Millis response_time) {
  const Millis answered_after = now - waiting.sent_at + response_time;
  return answered_after <= waiting.target_latency ? AdmissionClass::kOnTime
                                                  : AdmissionClass::kLate;
}

bool GoesBefore(const WaitingFlow& a, const WaitingFlow& b, Millis now,
                Millis response_time) {
  const auto rank = [&](const WaitingFlow& waiting) {
    const AdmissionClass admission = ClassOf(waiting, now, response_time);
    // The caller of the latest late flow waits for the longest time from now.
    const Millis order = admission == AdmissionClass::kOnTime
                             ? waiting.sent_at
                             : now - waiting.sent_at;
    return std::tuple(admission, waiting.priority, order);
  };
  return rank(a) < rank(b);
}

void AdmissionQueue::Push(WaitingFlow waiting) {
  this->flows.push_back(std::move(waiting));
}

void AdmissionQueue::Replace(const SegmentFlow& flow, std::string datagram) {
  const auto found =
      std::find_if(this->flows.begin(), this->flows.end(),
                   [&](const WaitingFlow& w) { return w.flow == flow; });
  assert(found != this->flows.end());
  found->datagram = std::move(datagram);
}

std::optional<WaitingFlow> AdmissionQueue::Pop(Millis now,
                                               Millis response_time) {
  const auto next =
      std::min_element(this->flows.begin(), this->flows.end(),
                       [&](const WaitingFlow& a, const WaitingFlow& b) {
                         return GoesBefore(a, b, now, response_time);
                       });
  if (next == this->flows.end()) return std::nullopt;
  WaitingFlow out = std::move(*next);
  this->flows.erase(next);
  return out;
}

void AdmissionQueue::Remove(const SegmentFlow& flow) {
  std::erase_if(this->flows,
                [&](const WaitingFlow& w) { return w.flow == flow; });
}

std::vector<WaitingFlow> AdmissionQueue::TakeSentBefore(Millis limit) {
  const auto kept = std::stable_partition(
      this->flows.begin(), this->flows.end(),
      [limit](const WaitingFlow& w) { return w.sent_at >= limit; });
  std::vector<WaitingFlow> out(std::make_move_iterator(kept),
                               std::make_move_iterator(this->flows.end()));
  this->flows.erase(kept, this->flows.end());
  return out;
}

std::vector<WaitingFlow> AdmissionQueue::TakeAll() {
  return std::exchange(this->flows, {});
}

}  // namespace cornelhill
