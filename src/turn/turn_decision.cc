#include "cornelhill/turn/turn_decision.h"

#include <algorithm>

namespace cornelhill {

void DecisionRing::Add(const TurnDecision& decision) {
  if (this->entries.size() < kCapacity) {
    this->entries.push_back(decision);
  } else {
    this->entries[this->count % kCapacity] = decision;
  }
  ++this->count;
}

const TurnDecision* DecisionRing::At(uint64_t index) const {
  if (index >= this->count || index + kCapacity < this->count) return nullptr;
  return &this->entries[index % kCapacity];
}

const TurnDecision* DecisionRing::Find(const RequestKey& key) const {
  for (uint64_t i = this->count; i > 0; --i) {
    const TurnDecision* decision = this->At(i - 1);
    if (decision == nullptr) return nullptr;
    if (decision->key == key) return decision;
  }
  return nullptr;
}

std::vector<TurnDecision> DecisionRing::OfFlow(const FlowKey& flow) const {
  std::vector<TurnDecision> found;
  const uint64_t oldest = this->count - std::min(this->count, kCapacity);
  for (uint64_t i = oldest; i < this->count; ++i) {
    const TurnDecision* decision = this->At(i);
    if (decision->key.flow == flow) found.push_back(*decision);
  }
  return found;
}

}  // namespace cornelhill
