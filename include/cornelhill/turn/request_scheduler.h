#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/request_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/turn/class_history.h"
#include "cornelhill/turn/delay_shedder.h"
#include "cornelhill/turn/fair_queue.h"
#include "cornelhill/turn/scheduling_decision.h"
#include "cornelhill/turn/scheduling_rules.h"
#include "cornelhill/turn/service_time.h"
#include "cornelhill/turn/slow_start.h"
#include "cornelhill/turn/work_class.h"

namespace cornelhill {

// Slots in which non-repeatable requests of callers without history may start.
// Such a request cannot be preempted if it turns out to be long. Measured for a
// pool of 7 upstreams with 4 slots each, saturated by long work, with 5 % of
// short requests from new callers, over 5 seeds: the 99th-percentile wait of
// short work was 807 to 950 ms with `kUnreserved` and 125 to 247 ms with `kAny`
// if 0.5 % of long requests came from new callers. If 5 % did, it was 694 to
// 907 ms and 489 to 1169 ms, and `kAny` refused 138 short requests against 25,
// because long work of new callers had filled the reserved slots.
enum class UnclassifiedSlots : uint8_t {
  kUnreserved,  // Slots that long work may hold.
  kMeasured,    // Any slot, while few such requests have turned out long.
  kAny,         // Any slot.
};

// Configuration of the scheduler of one upstream of one service.
struct SchedulerConfig {
  Revision revision;
  SchedulingRules rules;
  uint32_t slots = 1;
  // Slots of this upstream reserved for short work. Long work may always hold
  // at least one slot.
  uint32_t reserved_slots = 0;
  // Guaranteed share of slot time for long work while short work waits too, in
  // thousandths.
  uint32_t long_share_permille = 250;
  UnclassifiedSlots unclassified = UnclassifiedSlots::kUnreserved;
};

// Assigns the free slots of one upstream to queued requests. Reads no clock.
// Not thread-safe: the owner serialises calls.
//
// A decision costs O(log callers + slots), a queue operation O(log queued). A
// queued request takes at most 400 bytes including its hash and tree nodes;
// `ClassHistory` bounds callers and flows. Movable, not copyable.
class RequestScheduler {
 public:
  // Requires slots > 0.
  explicit RequestScheduler(const SchedulerConfig& config);
  RequestScheduler(RequestScheduler&&) = default;
  RequestScheduler& operator=(RequestScheduler&&) = default;
  RequestScheduler(const RequestScheduler&) = delete;
  RequestScheduler& operator=(const RequestScheduler&) = delete;

  // Applies a new configuration to queued and later requests. Running requests
  // are not affected.
  void Configure(const SchedulerConfig& config);

  // Limits the slots in use until the measured service times are steady. Call
  // when the upstream has just started.
  void BeginSlowStart();

  // Queues a request. Returns a refusal if a limit or the deadline forbids
  // it; only the decision record of a refused request is kept. Requires that
  // the key is neither queued nor running and that the weight is positive.
  std::optional<SchedulerRefusal> Enqueue(Millis now,
                                          const SchedulerRequest& request);

  // Starts the next request in a free slot and returns its key, or nullopt if
  // no request can start. Call repeatedly until it returns nullopt.
  std::optional<RequestKey> StartNext(Millis now);

  // Adds bytes received from the caller for a queued or running request.
  void OnBytes(Millis now, const RequestKey& key, uint32_t bytes);

  // Frees the slot of a running request and updates the class history and the
  // service times. Ignores an unknown key.
  void Finish(Millis now, const RequestKey& key);

  // Removes a queued or running request without recording its service time.
  // Returns whether it was queued, i.e. had not started.
  bool Cancel(Millis now, const RequestKey& key);

  // Removes and returns the queued requests that have waited too long or
  // cannot meet their deadline.
  std::vector<SchedulerRefusal> Shed(Millis now);

  // Returns running repeatable requests to preempt because they hold a reserved
  // slot beyond the short quantum. Each is returned once; the owner cancels it
  // at the upstream, calls `Cancel` and enqueues it again with `hint` set to
  // `kLong`.
  std::vector<RequestKey> CollectPreemptible(Millis now);

  // Returns the queued and running requests per usable slot, in thousandths.
  uint32_t LoadMilli() const;

  // Returns whether a request known to be short would start at once.
  bool HasSlotForShort() const;

  // Returns whether this request would start at once. If not, a home agent
  // passes it on to another agent.
  bool WouldStart(const SchedulerRequest& request) const;

  // Returns the time for the requests now queued in the lanes of this class to
  // drain at the measured service time, or `max_wait` if none was measured.
  Millis DrainTime(WorkClass work_class) const;

  // Returns the class that the request would be queued with.
  WorkClass ClassOf(const SchedulerRequest& request) const;

  // Returns whether the request is known to be short, or is unclassified while
  // few unclassified requests have turned out long.
  bool LikelyShort(const SchedulerRequest& request) const;

  // Returns the number of running requests currently of a class.
  size_t RunningCount(WorkClass work_class) const;

  // Returns the slots usable now, fewer than configured during a slow start.
  uint32_t UsableSlots() const;

  const DecisionRing& Starts() const { return this->starts; }
  const DecisionRing& Refusals() const { return this->refusals; }

  size_t QueuedCount() const;
  // Returns the number of queued requests of a class. Costs O(queued).
  size_t QueuedCount(WorkClass work_class) const;
  size_t RunningCount() const;
  const ClassHistory& History() const { return this->history; }

 private:
  struct Running {
    SchedulerRequest request;
    Millis started;
    int64_t charged = 0;
    Lane lane = Lane::kShort;
    WorkClass work_class = WorkClass::kShort;
    bool unclassified = false;
    bool learned = false;   // Its class was recorded while it ran.
    bool reported = false;  // Returned by `CollectPreemptible`.
  };
  struct ByArrival {
    bool operator()(const QueuedRequest* a, const QueuedRequest* b) const {
      return a->arrival < b->arrival;
    }
  };
  struct ByLatestStart {
    bool operator()(const QueuedRequest* a, const QueuedRequest* b) const {
      return a->latest_start != b->latest_start
                 ? a->latest_start < b->latest_start
                 : a->arrival < b->arrival;
    }
  };
  struct Placement {
    WorkClass work_class = WorkClass::kShort;
    Lane lane = Lane::kShort;
    bool unclassified = false;
  };

  Placement Classify(const SchedulerRequest& request) const;
  Lane LaneOf(const SchedulerRequest& request, WorkClass work_class,
              bool unclassified) const;
  WorkClass AttainedClass(const Running& running, Millis now) const;
  void Demote(Millis now);
  void DemoteRequest(Running& running, WorkClass work_class);
  uint32_t MaxLongSlots() const;
  uint32_t MaxStragglerSlots() const;
  // Running requests that are long or that started in the unclassified lane.
  size_t LongSlotsInUse() const;
  bool MayStart(Lane lane) const;
  QueuedRequest* Candidate(LaneGroup group) const;
  bool StartsAtOnce(Lane lane) const;
  int64_t ExpectedMicros(WorkClass work_class) const;
  // Estimated wait of a request queued now: the slot time ahead of it divided
  // by the slots that its lane may use.
  Millis ExpectedWait(const SchedulerRequest& request,
                      const Placement& place) const;
  Millis RetryAfter(WorkClass work_class) const;
  bool TakeToken(Millis now, CallerRecord& caller, Millis* wait) const;
  SchedulerRefusal Refuse(Millis now, const SchedulerRequest& request,
                          const Placement& place, Reason reason,
                          Millis retry_after);
  SchedulerRefusal ShedRequest(Millis now, QueuedRequest& queued,
                               Reason reason);
  void Insert(QueuedRequest& queued);
  void Erase(QueuedRequest& queued);
  void EndRunning(Millis now, Running& running);
  SchedulingDecision MakeDecision(Millis now,
                                  const QueuedRequest& queued) const;
  void RecordPreceding(SchedulingDecision& decision,
                       const QueuedRequest& queued) const;

  SchedulerConfig config;
  std::unordered_map<RequestKey, QueuedRequest> queue;
  std::unordered_map<RequestKey, Running> running;
  FairQueue fair;
  std::array<std::set<QueuedRequest*, ByArrival>, kLaneCount> by_arrival;
  std::set<QueuedRequest*, ByLatestStart> by_deadline;
  std::array<DelayShedder, kLaneCount> shedders;
  std::array<ServiceTime, 3> service_times;  // By `WorkClass`.
  ClassHistory history;
  SlowStart slow_start;
  DecisionRing starts;
  DecisionRing refusals;
  uint64_t arrivals = 0;
  // Slot time by which long work is below its guaranteed share.
  int64_t long_credit_micros = 0;
  // Share of unclassified requests that turned out long, in thousandths,
  // indexed by `repeatable`. With a common share, long streams of one kind
  // would keep short requests of the other kind out of reserved slots. Starts
  // at one half, since nothing is known yet.
  std::array<int32_t, 2> unclassified_long_permille = {500, 500};
};

}  // namespace cornelhill
