#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

#include "cornelhill/base/millis.h"
#include "cornelhill/turn/work_class.h"

namespace cornelhill {

// Virtual time: microseconds of slot time for a caller of the default weight.
using Tag = int64_t;

// Lanes of the queue. Lanes differ in the slots they may use, so that a request
// that must wait for one kind of slot does not block those that need not.
// `kUnclassified` holds non-repeatable work of callers without history.
enum class Lane : uint8_t { kShort, kUnclassified, kLong, kStraggler };
constexpr size_t kLaneCount = 4;

// Lanes of one group share a virtual clock.
enum class LaneGroup : uint8_t { kShort, kLong };
constexpr size_t kLaneGroupCount = 2;

constexpr LaneGroup GroupOf(Lane lane) {
  return lane == Lane::kShort || lane == Lane::kUnclassified ? LaneGroup::kShort
                                                             : LaneGroup::kLong;
}

// A request in the queue. Owned by the scheduler; its address is stable while
// it is queued.
struct QueuedRequest {
  SchedulerRequest request;
  Millis queued;
  Millis latest_start;   // To meet its deadline; used where it has one.
  uint64_t arrival = 0;  // Order of arrival.
  uint64_t decisions_before = 0;  // Requests started before it was queued.
  Tag min_start = 0;              // Least start tag, from when it became first.
  Tag start = 0;
  QueuedRequest* previous = nullptr;
  QueuedRequest* next = nullptr;
  uint32_t busy_when_queued = 0;
  Lane lane = Lane::kShort;
  WorkClass work_class = WorkClass::kShort;
  bool unclassified = false;
};

// The fair queueing state of one caller.
struct CallerQueueState {
  std::array<Tag, kLaneGroupCount> finish{};
  std::array<QueuedRequest*, kLaneCount> head{};
  std::array<QueuedRequest*, kLaneCount> tail{};
  uint32_t weight = kDefaultCallerWeight;
};

// Start-time fair queueing over callers. The first request of each caller in a
// lane has a start tag: the later of the group's virtual time and the caller's
// finish tag. The lowest start tag goes first, among equal ones the earliest
// arrival. A start moves the caller's finish tag to its old value, or to the
// virtual time less a burst credit where that is later, plus the cost. With the
// credit a caller that stays below its share is served in order of arrival even
// when it sends a few requests at once. Tags are given to first requests only,
// so a cancelled request costs its caller nothing. Each operation costs
// O(log callers). Not thread-safe.
class FairQueue {
 public:
  // Sets the credit, in microseconds of slot time. Requires credit >= 0.
  void SetBurstCredit(int64_t credit) { this->burst_credit = credit; }

  // Appends to the caller's requests in `queued.lane`.
  void Push(QueuedRequest& queued, CallerQueueState& caller);

  // Removes a request that will not start. Also used to change its lane.
  void Remove(QueuedRequest& queued, CallerQueueState& caller);

  // Returns the request whose turn it is in a lane, or null.
  QueuedRequest* Front(Lane lane) const;

  // Removes a request that starts and charges its caller the expected cost, in
  // microseconds of slot time. Returns the finish tag. Requires that `queued`
  // is first of its caller and lane.
  Tag Start(QueuedRequest& queued, CallerQueueState& caller, int64_t cost);

  // Ends a started request of `group`.
  void End(LaneGroup group);

  // Corrects the charge of a caller by measured minus expected cost.
  void Charge(CallerQueueState& caller, LaneGroup group, int64_t cost);

  Tag VirtualTime(LaneGroup group) const;
  size_t Queued(Lane lane) const;
  size_t Queued(LaneGroup group) const;
  // Callers with a request in the lane.
  size_t Callers(Lane lane) const;

 private:
  struct ByStart {
    bool operator()(const QueuedRequest* a, const QueuedRequest* b) const {
      return a->start != b->start ? a->start < b->start
                                  : a->arrival < b->arrival;
    }
  };
  struct Clock {
    Tag now = 0;
    Tag max_finish = 0;
    size_t running = 0;
  };

  void InsertHead(QueuedRequest& queued, const CallerQueueState& caller);
  // An idle group forgives debts: its clock moves to the last finish tag.
  void AdvanceIdleClock(LaneGroup group);

  std::array<std::set<QueuedRequest*, ByStart>, kLaneCount> heads;
  std::array<size_t, kLaneCount> queued_count{};
  std::array<Clock, kLaneGroupCount> clocks{};
  int64_t burst_credit = 0;
};

}  // namespace cornelhill
