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
  if (flow != this->flows.end()) return flow->second.work_class;
  const CallerRecord* record = this->Find(caller);
  if (record == nullptr || !record->known) return std::nullopt;
  return record->evidence >= kLongEvidence ? record->heavy : WorkClass::kShort;
}

void ClassMemory::Learn(const RequestKey& key, CallerId caller,
                        WorkClass work_class) {
  const uint64_t hash = FlowHash(key);
  const auto [flow, is_new] = this->flows.try_emplace(hash);
  if (!is_new) this->flow_order.erase(flow->second.position);
  flow->second.work_class = work_class;
  flow->second.position = this->flow_order.insert(this->flow_order.end(), hash);
  if (this->flows.size() > kMaxFlows) {
    this->flows.erase(this->flow_order.front());
    this->flow_order.pop_front();
  }

  CallerRecord* record = this->Find(caller);
  if (record == nullptr) return;
  const bool heavy = work_class != WorkClass::kShort;
  if (heavy) record->heavy = work_class;
  if (!record->known) {
    record->known = true;
    record->evidence = heavy ? kLongEvidence : 0;
  } else if (heavy) {
    record->evidence = std::min<uint8_t>(record->evidence + 1, kMaxEvidence);
  } else if (record->evidence > 0) {
    --record->evidence;
  }
}

}  // namespace cornelhill
