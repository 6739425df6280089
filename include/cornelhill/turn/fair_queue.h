#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

#include "cornelhill/base/millis.h"
#include "cornelhill/turn/work_class.h"

namespace cornelhill {

// Virtual time in microseconds of slot time for a caller of the default weight.
using Tag = int64_t;

// Queues with different sets of permitted slots, so that a request waiting for
// one kind of slot does not block requests that may use another.
// `kUnclassified` holds non-repeatable requests of callers without history.
enum class Lane : uint8_t { kShort, kUnclassified, kLong, kStraggler };
constexpr size_t kLaneCount = 4;

// Lanes of the same group share a virtual clock.
enum class LaneGroup : uint8_t { kShort, kLong };
constexpr size_t kLaneGroupCount = 2;

constexpr LaneGroup GroupOf(Lane lane) {
  return lane == Lane::kShort || lane == Lane::kUnclassified ? LaneGroup::kShort
                                                             : LaneGroup::kLong;
}

// A queued request. Owned by the scheduler; its address is stable while it is
// queued.
struct QueuedRequest {
  SchedulerRequest request;
  Millis queued;
  Millis latest_start;            // To meet the deadline, if it has one.
  uint64_t arrival = 0;           // Sequence number of the arrival.
  uint64_t decisions_before = 0;  // Requests started before it was queued.
  Tag min_start = 0;              // Virtual time when it became the head.
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

// Start-time fair queueing (SFQ) over callers. The head request of each caller
// in a lane has a start tag: the maximum of the group's virtual time and the
// caller's finish tag. The lowest start tag is served first, ties by order of
// arrival. Starting a request sets the caller's finish tag to
// max(finish tag, virtual time - burst credit) + cost. The credit lets a caller
// below its share be served in order of arrival even when it sends a few
// requests at once. Only head requests have tags, so a cancelled request costs
// its caller nothing. Each operation costs O(log callers). Not thread-safe.
class FairQueue {
 public:
  // Sets the burst credit, in microseconds of slot time. Requires credit >= 0.
  void SetBurstCredit(int64_t credit) { this->burst_credit = credit; }

  // Appends a request to its caller's queue in `queued.lane`.
  void Push(QueuedRequest& queued, CallerQueueState& caller);

  // Removes a request without starting it, also to move it to another lane.
  void Remove(QueuedRequest& queued, CallerQueueState& caller);

  // Returns the next request to start in a lane, or null if the lane is empty.
  QueuedRequest* Front(Lane lane) const;

  // Removes a request that starts and charges its caller the expected cost, in
  // microseconds of slot time. Returns the finish tag. Requires that `queued`
  // is the head of its caller's queue in its lane.
  Tag Start(QueuedRequest& queued, CallerQueueState& caller, int64_t cost);

  // Records that a started request of `group` has ended.
  void End(LaneGroup group);

  // Adds `cost`, in microseconds of slot time, to the finish tag of a caller.
  // `cost` may be negative, to correct an expected cost to the measured one.
  void Charge(CallerQueueState& caller, LaneGroup group, int64_t cost);

  Tag VirtualTime(LaneGroup group) const;
  size_t Queued(Lane lane) const;
  size_t Queued(LaneGroup group) const;
  // Returns the number of callers with a request in the lane.
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
  // Moves the clock of an idle group to its highest finish tag, so that slot
  // time used while no caller waited does not count against a caller later.
  void AdvanceIdleClock(LaneGroup group);

  std::array<std::set<QueuedRequest*, ByStart>, kLaneCount> heads;
  std::array<size_t, kLaneCount> queued_count{};
  std::array<Clock, kLaneGroupCount> clocks{};
  int64_t burst_credit = 0;
};

}  // namespace cornelhill
