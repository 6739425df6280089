#include "cornelhill/turn/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace cornelhill {

namespace {

constexpr size_t Index(Lane lane) { return static_cast<size_t>(lane); }
constexpr size_t Index(LaneGroup group) { return static_cast<size_t>(group); }

constexpr std::array<Lane, 2> LanesOf(LaneGroup group) {
  return group == LaneGroup::kShort
             ? std::array{Lane::kShort, Lane::kUnclassified}
             : std::array{Lane::kLong, Lane::kStraggler};
}

Tag WeightedCost(int64_t cost, uint32_t weight) {
  return cost * kDefaultCallerWeight / std::max<uint32_t>(weight, 1);
}

}  // namespace

void FairQueue::InsertHead(QueuedRequest& queued,
                           const CallerQueueState& caller) {
  const LaneGroup group = GroupOf(queued.lane);
  queued.min_start = this->clocks[Index(group)].now;
  queued.start = std::max(queued.min_start, caller.finish[Index(group)]);
  this->heads[Index(queued.lane)].insert(&queued);
}

void FairQueue::AdvanceIdleClock(LaneGroup group) {
  Clock& clock = this->clocks[Index(group)];
  if (clock.running == 0 && this->Queued(group) == 0) {
    clock.now = std::max(clock.now, clock.max_finish);
  }
}

void FairQueue::Push(QueuedRequest& queued, CallerQueueState& caller) {
  const size_t lane = Index(queued.lane);
  caller.weight = queued.request.weight;
  queued.previous = caller.tail[lane];
  queued.next = nullptr;
  caller.tail[lane] = &queued;
  ++this->queued_count[lane];
  if (queued.previous != nullptr) {
    queued.previous->next = &queued;
  } else {
    caller.head[lane] = &queued;
    this->InsertHead(queued, caller);
  }
}

void FairQueue::Remove(QueuedRequest& queued, CallerQueueState& caller) {
  const size_t lane = Index(queued.lane);
  if (queued.next != nullptr) {
    queued.next->previous = queued.previous;
  } else {
    caller.tail[lane] = queued.previous;
  }
  if (queued.previous != nullptr) {
    queued.previous->next = queued.next;
  } else {
    this->heads[lane].erase(&queued);
    caller.head[lane] = queued.next;
    if (queued.next != nullptr) this->InsertHead(*queued.next, caller);
  }
  --this->queued_count[lane];
  this->AdvanceIdleClock(GroupOf(queued.lane));
}

QueuedRequest* FairQueue::Front(Lane lane) const {
  const auto& requests = this->heads[Index(lane)];
  return requests.empty() ? nullptr : *requests.begin();
}

Tag FairQueue::Start(QueuedRequest& queued, CallerQueueState& caller,
                     int64_t cost) {
  assert(caller.head[Index(queued.lane)] == &queued);
  const LaneGroup group = GroupOf(queued.lane);
  Clock& clock = this->clocks[Index(group)];
  clock.now = std::max(clock.now, queued.start);
  ++clock.running;
  Tag& finish = caller.finish[Index(group)];
  finish = std::max(finish, clock.now - this->burst_credit);
  this->Charge(caller, group, cost);
  this->Remove(queued, caller);
  return finish;
}

void FairQueue::End(LaneGroup group) {
  assert(this->clocks[Index(group)].running > 0);
  --this->clocks[Index(group)].running;
  this->AdvanceIdleClock(group);
}

void FairQueue::Charge(CallerQueueState& caller, LaneGroup group,
                       int64_t cost) {
  Tag& finish = caller.finish[Index(group)];
  finish += WeightedCost(cost, caller.weight);
  Clock& clock = this->clocks[Index(group)];
  clock.max_finish = std::max(clock.max_finish, finish);
  for (const Lane lane : LanesOf(group)) {
    QueuedRequest* head = caller.head[Index(lane)];
    if (head == nullptr) continue;
    this->heads[Index(lane)].erase(head);
    head->start = std::max(head->min_start, finish);
    this->heads[Index(lane)].insert(head);
  }
}

Tag FairQueue::VirtualTime(LaneGroup group) const {
  return this->clocks[Index(group)].now;
}

size_t FairQueue::Queued(Lane lane) const {
  return this->queued_count[Index(lane)];
}

size_t FairQueue::Queued(LaneGroup group) const {
  size_t total = 0;
  for (const Lane lane : LanesOf(group)) total += this->Queued(lane);
  return total;
}

size_t FairQueue::Callers(Lane lane) const {
  return this->heads[Index(lane)].size();
}

}  // namespace cornelhill
