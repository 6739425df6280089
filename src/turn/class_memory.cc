#include "cornelhill/turn/class_memory.h"

#include <algorithm>
#include <cassert>

#include "cornelhill/base/hash.h"

namespace cornelhill {

namespace {

constexpr uint8_t kMaxEvidence = 3;
constexpr uint8_t kLongEvidence = 2;

uint64_t FlowHash(const RequestKey& key) {
  return HashCombine(HashFlow(key.flow), key.nonce.Value());
}

}  // namespace

void ClassEvidence::Add(WorkClass work_class) {
  const bool is_heavy = work_class != WorkClass::kShort;
  if (is_heavy) this->heavy = work_class;
  if (!this->known) {
    this->known = true;
    this->weight = is_heavy ? kLongEvidence : 0;
  } else if (is_heavy) {
    this->weight = std::min<uint8_t>(this->weight + 1, kMaxEvidence);
  } else if (this->weight > 0) {
    --this->weight;
  }
}

WorkClass ClassEvidence::Class() const {
  return this->weight >= kLongEvidence ? this->heavy : WorkClass::kShort;
}

CallerRecord& ClassMemory::Acquire(CallerId caller) {
  CallerRecord& record = this->callers[caller];
  if (record.idle) {
    this->idle.erase(record.idle_position);
    record.idle = false;
  }
  return record;
}

CallerRecord* ClassMemory::Find(CallerId caller) {
  const auto found = this->callers.find(caller);
  return found == this->callers.end() ? nullptr : &found->second;
}

const CallerRecord* ClassMemory::Find(CallerId caller) const {
  const auto found = this->callers.find(caller);
  return found == this->callers.end() ? nullptr : &found->second;
}

void ClassMemory::Release(CallerId caller) {
  const auto found = this->callers.find(caller);
  assert(found != this->callers.end());
  CallerRecord& record = found->second;
  if (record.idle || record.queued > 0 || record.running > 0) return;
  record.idle = true;
  record.idle_position = this->idle.insert(this->idle.end(), caller);
  if (this->idle.size() > kMaxIdleCallers) {
    this->callers.erase(this->idle.front());
    this->idle.pop_front();
  }
}

std::optional<WorkClass> ClassMemory::Learned(const RequestKey& key,
                                              CallerId caller) const {
  const auto flow = this->flows.find(FlowHash(key));
  if (flow != this->flows.end()) return flow->second.evidence.Class();
  const CallerRecord* record = this->Find(caller);
  if (record == nullptr || !record->evidence.known) return std::nullopt;
  return record->evidence.Class();
}

void ClassMemory::Learn(const RequestKey& key, CallerId caller,
                        WorkClass work_class) {
  const uint64_t hash = FlowHash(key);
  const auto [flow, is_new] = this->flows.try_emplace(hash);
  if (!is_new) this->flow_order.erase(flow->second.position);
  flow->second.evidence.Add(work_class);
  flow->second.position = this->flow_order.insert(this->flow_order.end(), hash);
  if (this->flows.size() > kMaxFlows) {
    this->flows.erase(this->flow_order.front());
    this->flow_order.pop_front();
  }

  // The caller's class is asked for new flows only, so only the request that
  // opened a flow counts: a caller that streams also sends tiny flows.
  CallerRecord* record = is_new ? this->Find(caller) : nullptr;
  if (record != nullptr) record->evidence.Add(work_class);
}

}  // namespace cornelhill
