#include "cornelhill/turn/class_history.h"

#include <algorithm>
#include <cassert>

#include "cornelhill/base/hash.h"

namespace cornelhill {

namespace {

constexpr uint8_t kMaxScore = 3;
constexpr uint8_t kMinLongScore = 2;

uint64_t FlowHash(const RequestKey& key) {
  return HashCombine(HashFlow(key.flow), key.nonce.Value());
}

}  // namespace

void ClassEstimate::Add(WorkClass work_class) {
  const bool is_long = work_class != WorkClass::kShort;
  if (is_long) this->last_long_class = work_class;
  if (!this->known) {
    this->known = true;
    this->score = is_long ? kMinLongScore : 0;
  } else if (is_long) {
    this->score = std::min<uint8_t>(this->score + 1, kMaxScore);
  } else if (this->score > 0) {
    --this->score;
  }
}

WorkClass ClassEstimate::Class() const {
  return this->score >= kMinLongScore ? this->last_long_class
                                      : WorkClass::kShort;
}

CallerRecord& ClassHistory::Acquire(CallerId caller) {
  CallerRecord& record = this->callers[caller];
  if (record.idle) {
    this->idle.erase(record.idle_position);
    record.idle = false;
  }
  return record;
}

CallerRecord* ClassHistory::Find(CallerId caller) {
  const auto found = this->callers.find(caller);
  return found == this->callers.end() ? nullptr : &found->second;
}

const CallerRecord* ClassHistory::Find(CallerId caller) const {
  const auto found = this->callers.find(caller);
  return found == this->callers.end() ? nullptr : &found->second;
}

void ClassHistory::Release(CallerId caller) {
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

std::optional<WorkClass> ClassHistory::LearnedClass(const RequestKey& key,
                                                    CallerId caller) const {
  const auto flow = this->flows.find(FlowHash(key));
  if (flow != this->flows.end()) return flow->second.estimate.Class();
  const CallerRecord* record = this->Find(caller);
  if (record == nullptr || !record->estimate.known) return std::nullopt;
  return record->estimate.Class();
}

void ClassHistory::RecordClass(const RequestKey& key, CallerId caller,
                               WorkClass work_class) {
  const uint64_t hash = FlowHash(key);
  const auto [flow, is_new] = this->flows.try_emplace(hash);
  if (!is_new) this->flow_order.erase(flow->second.position);
  flow->second.estimate.Add(work_class);
  flow->second.position = this->flow_order.insert(this->flow_order.end(), hash);
  if (this->flows.size() > kMaxFlows) {
    this->flows.erase(this->flow_order.front());
    this->flow_order.pop_front();
  }

  // The caller's class is used for new flows only, so only the first request of
  // a flow counts: a caller with streams also opens very short flows.
  CallerRecord* record = is_new ? this->Find(caller) : nullptr;
  if (record != nullptr) record->estimate.Add(work_class);
}

}  // namespace cornelhill
