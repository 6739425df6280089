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

// Where non-repeatable work without history may start. It cannot be taken out
// of a slot when it turns out long. Measured at a pool of 7 upstreams with 4
// slots, long work saturating, 5 % of short requests from new callers, 5 seeds:
// short work's 99th-percentile wait was 807 to 950 ms with `kUnreserved` and
// 125 to 247 ms with `kAny` where 0.5 % of long requests are from new callers.
// Where 5 % are, it was 694 to 907 and 489 to 1169 ms, and `kAny` refused 138
// short requests against 25: new callers' long work had filled the reserve.
enum class UnclassifiedSlots : uint8_t {
  kUnreserved,  // Only in slots that long work may hold.
  kMeasured,    // In any slot while few such requests have turned out long.
  kAny,         // In any slot.
};

// The rules in force for one upstream of one service.
struct SchedulerConfig {
  Revision revision;
  SchedulingRules rules;
  uint32_t slots = 1;
  // Slots of this upstream that long work may not hold. Long work may always
  // hold at least one slot.
  uint32_t reserved_slots = 0;
  // Share of slot time that long work gets while short work waits too, in
  // thousandths.
  uint32_t long_share_permille = 250;
  UnclassifiedSlots unclassified = UnclassifiedSlots::kUnreserved;
};

// Decides which waiting request gets the next free slot of one upstream. Makes
// no call to a clock. Not thread-safe: the owner serialises calls.
//
// A decision costs O(log callers + slots), and a change of the queue
// O(log queued). A queued request takes at most 400 bytes with its hash and
// tree nodes; callers and flows are bounded by `ClassHistory`. Movable, not
// copyable.
class RequestScheduler {
 public:
  // Requires slots > 0.
  explicit RequestScheduler(const SchedulerConfig& config);
  RequestScheduler(RequestScheduler&&) = default;
  RequestScheduler& operator=(RequestScheduler&&) = default;
  RequestScheduler(const RequestScheduler&) = delete;
  RequestScheduler& operator=(const RequestScheduler&) = delete;

  // Applies new rules to waiting and later requests; running ones go on.
  void Configure(const SchedulerConfig& config);

  // Limits the slots in use until measured service times are steady. Call when
  // the upstream has just started.
  void BeginSlowStart();

  // Queues a request. Returns the refusal where a limit or the deadline
  // forbids it; nothing is kept of a refused request but its decision record.
  // Requires that the key is neither queued nor running.
  std::optional<SchedulerRefusal> Enqueue(Millis now,
                                          const SchedulerRequest& request);

  // Takes a free slot for the request whose turn it is and returns its key, or
  // nothing. Call again until it returns nothing.
  std::optional<RequestKey> StartNext(Millis now);

  // Adds bytes that the caller sent for a queued or running request.
  void OnBytes(Millis now, const RequestKey& key, uint32_t bytes);

  // Frees the slot of a running request and learns from its service time.
  // Ignores an unknown key.
  void Finish(Millis now, const RequestKey& key);

  // Forgets a queued or running request without learning from it. Returns
  // whether it was queued, i.e. had not been started.
  bool Cancel(Millis now, const RequestKey& key);

  // Removes and returns the queued requests that waited too long or cannot
  // meet their deadline.
  std::vector<SchedulerRefusal> Shed(Millis now);

  // Returns running repeatable requests that hold a reserved slot beyond the
  // short quantum. Each is reported once; its owner cancels it at the upstream,
  // calls `Cancel` and queues it again with `hint` set to `kLong`.
  std::vector<RequestKey> CollectPreemptible(Millis now);

  // Queued and running requests for each usable slot, times 1000. During a cold
  // start fewer slots are usable.
  uint32_t LoadMilli() const;

  // Whether a request known to be short would start at once.
  bool HasSlotForShort() const;

  // Whether this request would start at once. A home agent passes the request
  // on where it would not.
  bool WouldStart(const SchedulerRequest& request) const;

  // Time in which the requests now queued for work of this class drain, from
  // the measured service time.
  Millis DrainTime(WorkClass work_class) const;

  // The class that the request would be queued as.
  WorkClass ClassOf(const SchedulerRequest& request) const;

  // Whether the request is known to be short, or nothing is known of it but
  // hardly any such request has turned out long.
  bool LikelyShort(const SchedulerRequest& request) const;

  // Running requests that have shown to be of a class.
  size_t RunningCount(WorkClass work_class) const;

  // Slots usable now; fewer than configured during a cold start.
  uint32_t UsableSlots() const;

  const DecisionRing& Starts() const { return this->starts; }
  const DecisionRing& Refusals() const { return this->refusals; }

  size_t QueuedCount() const;
  // Queued requests of a class. Costs O(queued).
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
    bool learned = false;   // Its class was learned while it ran.
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
  // Running requests that are long or may turn out long.
  size_t LongSlotsInUse() const;
  bool MayStart(Lane lane) const;
  QueuedRequest* Candidate(LaneGroup group) const;
  bool StartsAtOnce(Lane lane) const;
  int64_t ExpectedMicros(WorkClass work_class) const;
  // Slot time ahead of a request queued now, spread over the usable slots.
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
  // Slot time that long work is owed, in microseconds.
  int64_t long_credit_micros = 0;
  // Share of unclassified work that turned out long, in thousandths, for
  // non-repeatable and repeatable work: streams would otherwise make answers
  // look unsafe. Starts at one half: nothing is known.
  std::array<int32_t, 2> unclassified_long_permille = {500, 500};
};

}  // namespace cornelhill
