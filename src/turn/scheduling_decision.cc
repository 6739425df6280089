#include "cornelhill/turn/scheduling_decision.h"

#include <algorithm>

namespace cornelhill {

void DecisionRing::Add(const SchedulingDecision& decision) {
  if (this->entries.size() < kCapacity) {
    this->entries.push_back(decision);
  } else {
    this->entries[this->count % kCapacity] = decision;
  }
  ++this->count;
}

const SchedulingDecision* DecisionRing::At(uint64_t index) const {
  if (index >= this->count || index + kCapacity < this->count) return nullptr;
  return &this->entries[index % kCapacity];
}

const SchedulingDecision* DecisionRing::Find(const RequestKey& key) const {
  for (uint64_t i = this->count; i > 0; --i) {
    const SchedulingDecision* decision = this->At(i - 1);
    if (decision == nullptr) return nullptr;
    if (decision->key == key) return decision;
  }
  return nullptr;
}

std::vector<SchedulingDecision> DecisionRing::OfFlow(
    const FlowKey& flow) const {
  std::vector<SchedulingDecision> found;
  const uint64_t oldest = this->count - std::min(this->count, kCapacity);
  for (uint64_t i = oldest; i < this->count; ++i) {
    const SchedulingDecision* decision = this->At(i);
    if (decision->key.flow == flow) found.push_back(*decision);
  }
  return found;
}

}  // namespace cornelhill
