#include "cornelhill/turn/request_scheduler.h"

#include <algorithm>
#include <cassert>

namespace cornelhill {

namespace {

// Unclassified requests count as likely short while at most this share of them
// has turned out long.
constexpr int32_t kMaxUnclassifiedLongPermille = 50;

constexpr size_t Index(WorkClass work_class) {
  return static_cast<size_t>(work_class);
}
constexpr size_t Index(Lane lane) { return static_cast<size_t>(lane); }

// A higher share would let long work start before most short work.
constexpr uint32_t kMaxLongSharePermille = 900;
// Burst credit of a caller below its share, in short quanta. With 0, 1, 2 and 3
// quanta, a flooding caller raised the 99th-percentile wait of the other
// callers to 1.95, 1.31, 1.34 and 1.36 times its value without the flood (4
// slots at 60 % load, 20 seeds).
constexpr int64_t kBurstCreditQuanta = 1;
constexpr Millis kMinRetryAfter(10);
constexpr Millis kMaxRetryAfter(60'000);

LaneGroup GroupOfClass(WorkClass work_class) {
  return work_class == WorkClass::kShort ? LaneGroup::kShort : LaneGroup::kLong;
}

Millis FromMicros(int64_t micros) { return Millis((micros + 999) / 1000); }

// Target queueing delay of a lane. In normal operation, work that may not use
// reserved slots waits for whole service times of long work, so its target is
// higher. With the target of short work, the unclassified requests of a caller
// were shed repeatedly before it had any history.
Millis TargetDelay(const SchedulingRules& rules, Lane lane, int64_t service) {
  const int64_t max_wait = rules.max_wait.Count();
  const int64_t share = lane == Lane::kShort ? max_wait / 8 : max_wait / 2;
  return Millis(std::min(max_wait, std::max(share, service / 1000)));
}

// The memory bound in the header: this object, its key and hash node, nodes in
// three ordered sets and the allocator overhead of each.
static_assert(sizeof(QueuedRequest) + sizeof(RequestKey) + 24 + 144 <= 400);
// A caller's hash node and list node, including allocator overhead.
static_assert(sizeof(CallerRecord) + 16 + 16 + 48 <= 256);

// Returns the rule by which `ahead` started before `waiting`.
PrecedenceRule RuleFor(const SchedulingDecision& ahead,
                       const QueuedRequest& waiting) {
  const LaneGroup group = GroupOf(waiting.lane);
  if (GroupOf(ahead.lane) != group) {
    if (group == LaneGroup::kShort) return PrecedenceRule::kLongMinimum;
    return ahead.long_slots_full ? PrecedenceRule::kReservedSlot
                                 : PrecedenceRule::kShortBeforeLong;
  }
  if (ahead.lane == waiting.lane) {
    return ahead.caller == waiting.request.caller
               ? PrecedenceRule::kArrivedFirst
               : PrecedenceRule::kFairShare;
  }
  if (waiting.lane == Lane::kUnclassified && ahead.long_slots_full) {
    return PrecedenceRule::kReservedSlot;
  }
  if (waiting.lane == Lane::kStraggler && ahead.straggler_slots_full) {
    return PrecedenceRule::kStragglerLimit;
  }
  return PrecedenceRule::kFairShare;
}

}  // namespace

RequestScheduler::RequestScheduler(const SchedulerConfig& config) {
  this->Configure(config);
}

void RequestScheduler::Configure(const SchedulerConfig& new_config) {
  assert(new_config.slots > 0);
  this->config = new_config;
  this->fair.SetBurstCredit(kBurstCreditQuanta * 1000 *
                            new_config.rules.short_quantum.Count());
}

void RequestScheduler::BeginSlowStart() {
  this->slow_start.Begin(this->config.slots);
}

uint32_t RequestScheduler::UsableSlots() const {
  return this->slow_start.Limit(this->config.slots);
}

uint32_t RequestScheduler::MaxLongSlots() const {
  const uint32_t slots = this->config.slots;
  const uint32_t reserved = std::min(this->config.reserved_slots, slots - 1);
  return std::min(this->UsableSlots(), slots - reserved);
}

uint32_t RequestScheduler::MaxStragglerSlots() const {
  const uint64_t share = uint64_t{this->config.slots} *
                         this->config.rules.straggler_permille / 1000;
  return static_cast<uint32_t>(
      std::clamp<uint64_t>(share, 1, this->MaxLongSlots()));
}

size_t RequestScheduler::RunningCount(WorkClass work_class) const {
  return std::count_if(this->running.begin(), this->running.end(),
                       [work_class](const auto& entry) {
                         return entry.second.work_class == work_class;
                       });
}

size_t RequestScheduler::LongSlotsInUse() const {
  return std::count_if(this->running.begin(), this->running.end(),
                       [](const auto& entry) {
                         return entry.second.work_class != WorkClass::kShort ||
                                entry.second.lane == Lane::kUnclassified;
                       });
}

bool RequestScheduler::MayStart(Lane lane) const {
  if (this->running.size() >= this->UsableSlots()) return false;
  if (lane == Lane::kShort) return true;
  if (this->LongSlotsInUse() >= this->MaxLongSlots()) return false;
  return lane != Lane::kStraggler ||
         this->RunningCount(WorkClass::kStraggler) < this->MaxStragglerSlots();
}

Lane RequestScheduler::LaneOf(const SchedulerRequest& request,
                              WorkClass work_class, bool unclassified) const {
  if (work_class == WorkClass::kLong) return Lane::kLong;
  if (work_class == WorkClass::kStraggler) return Lane::kStraggler;
  if (!unclassified || request.repeatable) return Lane::kShort;
  const bool free =
      this->config.unclassified == UnclassifiedSlots::kAny ||
      (this->config.unclassified == UnclassifiedSlots::kMeasured &&
       this->unclassified_long_permille[request.repeatable] <=
           kMaxUnclassifiedLongPermille);
  return free ? Lane::kShort : Lane::kUnclassified;
}

RequestScheduler::Placement RequestScheduler::Classify(
    const SchedulerRequest& request) const {
  Placement place;
  if (request.hint.has_value()) {
    place.work_class = *request.hint;
  } else {
    const auto learned =
        this->history.LearnedClass(request.key, request.caller);
    place.work_class = learned.value_or(WorkClass::kShort);
    if (place.work_class == WorkClass::kShort &&
        request.bytes >= this->config.rules.short_bytes) {
      place.work_class = WorkClass::kLong;
    }
    place.unclassified =
        !learned.has_value() && place.work_class == WorkClass::kShort;
  }
  place.lane = this->LaneOf(request, place.work_class, place.unclassified);
  return place;
}

WorkClass RequestScheduler::ClassOf(const SchedulerRequest& request) const {
  return this->Classify(request).work_class;
}

bool RequestScheduler::LikelyShort(const SchedulerRequest& request) const {
  const Placement place = this->Classify(request);
  return place.work_class == WorkClass::kShort &&
         (!place.unclassified ||
          this->unclassified_long_permille[request.repeatable] <=
              kMaxUnclassifiedLongPermille);
}

int64_t RequestScheduler::ExpectedMicros(WorkClass work_class) const {
  const SchedulingRules& rules = this->config.rules;
  const ServiceTime& measured = this->service_times[Index(work_class)];
  switch (work_class) {
    case WorkClass::kShort:
      return std::max<int64_t>(measured.MicrosOr(rules.short_quantum), 1);
    case WorkClass::kLong:
      return std::max<int64_t>(measured.MicrosOr(rules.short_quantum * 4), 1);
    case WorkClass::kStraggler:
      break;
  }
  return std::max<int64_t>(measured.MicrosOr(rules.straggler_after), 1);
}

Millis RequestScheduler::ExpectedWait(const SchedulerRequest& request,
                                      const Placement& place) const {
  const LaneGroup group = GroupOf(place.lane);
  const CallerRecord* caller = this->history.Find(request.caller);
  const size_t own = caller == nullptr ? 0 : caller->queued;
  // Callers in the lane are assumed to be served in rotation, one request each.
  const size_t callers = this->fair.Callers(place.lane);
  const size_t ahead = std::min(this->fair.Queued(group), (own + 1) * callers);
  const size_t long_running =
      this->running.size() - this->RunningCount(WorkClass::kShort);
  const size_t usable = this->UsableSlots();
  const size_t slots =
      group == LaneGroup::kLong
          ? this->MaxLongSlots()
          : std::max<size_t>(usable - std::min(usable, long_running), 1);
  const ServiceTime& measured = this->service_times[Index(place.work_class)];
  return Millis(static_cast<int64_t>(ahead) * measured.Micros() /
                static_cast<int64_t>(slots) / 1000);
}

Millis RequestScheduler::DrainTime(WorkClass work_class) const {
  const ServiceTime& measured = this->service_times[Index(work_class)];
  if (!measured.Measured()) return this->config.rules.max_wait;
  const LaneGroup group = GroupOfClass(work_class);
  const auto queued = static_cast<int64_t>(this->fair.Queued(group));
  const int64_t slots =
      group == LaneGroup::kLong ? this->MaxLongSlots() : this->UsableSlots();
  return FromMicros(queued * measured.Micros() / slots);
}

Millis RequestScheduler::RetryAfter(WorkClass work_class) const {
  return std::clamp(this->DrainTime(work_class), kMinRetryAfter,
                    kMaxRetryAfter);
}

bool RequestScheduler::TakeToken(Millis now, CallerRecord& caller,
                                 Millis* wait) const {
  const int64_t rate = this->config.rules.caller_rate;
  if (rate == 0) return true;
  // The bucket holds the tokens of one second, at least one request.
  const int64_t full = rate * 1000;
  if (caller.tokens < 0) {
    caller.tokens = full;
  } else {
    const int64_t elapsed =
        std::clamp<int64_t>((now - caller.refilled).Count(), 0, 1000);
    caller.tokens = std::min(full, caller.tokens + elapsed * rate);
  }
  caller.refilled = now;
  if (caller.tokens < 1000) {
    *wait = Millis((1000 - caller.tokens + rate - 1) / rate);
    return false;
  }
  caller.tokens -= 1000;
  return true;
}

SchedulerRefusal RequestScheduler::Refuse(Millis now,
                                          const SchedulerRequest& request,
                                          const Placement& place, Reason reason,
                                          Millis retry_after) {
  QueuedRequest refused;
  refused.request = request;
  refused.queued = now;
  refused.decisions_before = this->starts.Count();
  refused.busy_when_queued = static_cast<uint32_t>(this->running.size());
  refused.lane = place.lane;
  refused.work_class = place.work_class;
  SchedulingDecision decision = this->MakeDecision(now, refused);
  decision.outcome = SchedulingOutcome::kRefused;
  decision.reason = reason;
  decision.retry_after = retry_after;
  this->refusals.Add(decision);
  return {request.key, reason, retry_after};
}

std::optional<SchedulerRefusal> RequestScheduler::Enqueue(
    Millis now, const SchedulerRequest& request) {
  assert(!this->queue.contains(request.key));
  assert(!this->running.contains(request.key));
  assert(request.weight > 0);
  const SchedulingRules& rules = this->config.rules;
  const Placement place = this->Classify(request);
  CallerRecord& caller = this->history.Acquire(request.caller);
  const auto refuse = [&](Reason reason, Millis retry_after) {
    this->history.Release(request.caller);
    return this->Refuse(now, request, place, reason, retry_after);
  };

  if (caller.queued >= rules.max_queued_per_caller) {
    return refuse(Reason::kCallerLimit, this->RetryAfter(place.work_class));
  }
  if (this->queue.size() >= rules.max_queued) {
    return refuse(Reason::kServiceLimit, this->RetryAfter(place.work_class));
  }
  const bool starts_now = this->StartsAtOnce(place.lane);
  Millis latest_start = request.deadline;
  if (request.deadline != Millis()) {
    // A request that can start at once is refused only if its deadline has
    // passed. Otherwise one high measured service time would cause all later
    // requests to be refused, and no new measurement would correct it.
    Millis wait;
    if (!starts_now) {
      wait = this->ExpectedWait(request, place);
      latest_start =
          request.deadline -
          FromMicros(this->service_times[Index(place.work_class)].Micros());
    }
    if (now >= request.deadline || now + wait > latest_start) {
      return refuse(Reason::kDeadline, this->RetryAfter(place.work_class));
    }
  }
  Millis token_wait;
  if (!this->TakeToken(now, caller, &token_wait)) {
    return refuse(Reason::kCallerLimit, token_wait);
  }

  QueuedRequest& queued = this->queue[request.key];
  queued.request = request;
  queued.queued = now;
  queued.latest_start = latest_start;
  queued.arrival = ++this->arrivals;
  queued.decisions_before = this->starts.Count();
  queued.busy_when_queued = static_cast<uint32_t>(this->running.size());
  queued.lane = place.lane;
  queued.work_class = place.work_class;
  queued.unclassified = place.unclassified;
  ++caller.queued;
  this->Insert(queued);
  return std::nullopt;
}

void RequestScheduler::Insert(QueuedRequest& queued) {
  CallerRecord* caller = this->history.Find(queued.request.caller);
  this->fair.Push(queued, caller->queue_state);
  this->by_arrival[Index(queued.lane)].insert(&queued);
  if (queued.request.deadline != Millis()) this->by_deadline.insert(&queued);
}

// Removes a request from all containers but the fair queue and destroys it.
void RequestScheduler::Erase(QueuedRequest& queued) {
  this->by_arrival[Index(queued.lane)].erase(&queued);
  if (queued.request.deadline != Millis()) this->by_deadline.erase(&queued);
  const CallerId caller = queued.request.caller;
  --this->history.Find(caller)->queued;
  const RequestKey key = queued.request.key;
  this->queue.erase(key);
  this->history.Release(caller);
}

QueuedRequest* RequestScheduler::Candidate(LaneGroup group) const {
  const bool is_short = group == LaneGroup::kShort;
  QueuedRequest* best = nullptr;
  for (const Lane lane : {is_short ? Lane::kShort : Lane::kLong,
                          is_short ? Lane::kUnclassified : Lane::kStraggler}) {
    if (!this->MayStart(lane)) continue;
    QueuedRequest* front = this->fair.Front(lane);
    if (front == nullptr) continue;
    if (best == nullptr || front->start < best->start ||
        (front->start == best->start && front->arrival < best->arrival)) {
      best = front;
    }
  }
  return best;
}

std::optional<RequestKey> RequestScheduler::StartNext(Millis now) {
  this->Demote(now);
  QueuedRequest* const short_work = this->Candidate(LaneGroup::kShort);
  QueuedRequest* const long_work = this->Candidate(LaneGroup::kLong);
  if (short_work == nullptr && long_work == nullptr) return std::nullopt;
  const bool both = short_work != nullptr && long_work != nullptr;
  const bool long_first = both && this->long_credit_micros > 0;
  QueuedRequest& next =
      short_work == nullptr || long_first ? *long_work : *short_work;

  const int64_t cost = this->ExpectedMicros(next.work_class);
  if (long_first) {
    this->long_credit_micros -= cost;
  } else if (&next == short_work && this->fair.Queued(LaneGroup::kLong) > 0) {
    // Also accrues while long work holds all the slots it may hold. The cap
    // limits the excess over its share afterwards to one request.
    const int64_t share =
        std::min(this->config.long_share_permille, kMaxLongSharePermille);
    this->long_credit_micros =
        std::min(this->long_credit_micros + cost * share / (1000 - share),
                 this->ExpectedMicros(WorkClass::kLong));
  }

  CallerRecord& caller = *this->history.Find(next.request.caller);
  SchedulingDecision decision = this->MakeDecision(now, next);
  this->RecordPreceding(decision, next);
  decision.by_long_minimum = long_first;
  decision.start_tag = next.start;
  decision.finish_tag = this->fair.Start(next, caller.queue_state, cost);
  this->starts.Add(decision);

  const RequestKey key = next.request.key;
  this->running.emplace(key, Running{next.request, now, cost, next.lane,
                                     next.work_class, next.unclassified});
  ++caller.running;
  this->Erase(next);
  return key;
}

WorkClass RequestScheduler::AttainedClass(const Running& running,
                                          Millis now) const {
  const SchedulingRules& rules = this->config.rules;
  const Millis used = now - running.started;
  if (used >= rules.straggler_after) return WorkClass::kStraggler;
  if (used >= rules.short_quantum ||
      running.request.bytes >= rules.short_bytes) {
    return WorkClass::kLong;
  }
  return WorkClass::kShort;
}

void RequestScheduler::DemoteRequest(Running& running, WorkClass work_class) {
  if (running.work_class == WorkClass::kShort && running.unclassified) {
    int32_t& permille =
        this->unclassified_long_permille[running.request.repeatable];
    permille += (1000 - permille) / 8;
  }
  running.work_class = work_class;
  running.learned = true;
  this->history.RecordClass(running.request.key, running.request.caller,
                            work_class);
}

void RequestScheduler::Demote(Millis now) {
  for (auto& [key, running] : this->running) {
    const WorkClass attained = this->AttainedClass(running, now);
    if (attained > running.work_class) this->DemoteRequest(running, attained);
  }
}

void RequestScheduler::OnBytes(Millis now, const RequestKey& key,
                               uint32_t bytes) {
  const auto add = [bytes](SchedulerRequest& request) {
    request.bytes += std::min(bytes, UINT32_MAX - request.bytes);
  };
  const auto running = this->running.find(key);
  if (running != this->running.end()) {
    add(running->second.request);
    const WorkClass attained = this->AttainedClass(running->second, now);
    if (attained > running->second.work_class) {
      this->DemoteRequest(running->second, attained);
    }
    return;
  }
  const auto found = this->queue.find(key);
  if (found == this->queue.end()) return;
  QueuedRequest& queued = found->second;
  add(queued.request);
  if (queued.work_class != WorkClass::kShort ||
      queued.request.bytes < this->config.rules.short_bytes) {
    return;
  }
  CallerRecord* caller = this->history.Find(queued.request.caller);
  this->fair.Remove(queued, caller->queue_state);
  this->by_arrival[Index(queued.lane)].erase(&queued);
  this->by_deadline.erase(&queued);
  queued.work_class = WorkClass::kLong;
  queued.lane = Lane::kLong;
  queued.unclassified = false;
  this->Insert(queued);
}

// Frees the slot and charges the caller for the measured slot time. Time of a
// short request beyond the short quantum is charged to the long group.
void RequestScheduler::EndRunning(Millis now, Running& running) {
  CallerRecord& caller = *this->history.Find(running.request.caller);
  const LaneGroup group = GroupOf(running.lane);
  const int64_t used = (now - running.started).Count() * 1000;
  int64_t own = used;
  if (group == LaneGroup::kShort) {
    own = std::min(used, this->config.rules.short_quantum.Count() * 1000);
    this->fair.Charge(caller.queue_state, LaneGroup::kLong, used - own);
  }
  this->fair.Charge(caller.queue_state, group, own - running.charged);
  this->fair.End(group);
  --caller.running;
  const CallerId id = running.request.caller;
  const RequestKey key = running.request.key;
  this->running.erase(key);
  this->history.Release(id);
}

void RequestScheduler::Finish(Millis now, const RequestKey& key) {
  const auto found = this->running.find(key);
  if (found == this->running.end()) return;
  this->Demote(now);
  Running& running = found->second;
  const Millis used = now - running.started;
  const WorkClass attained = this->AttainedClass(running, now);
  if (!running.learned) {
    this->history.RecordClass(key, running.request.caller, attained);
  }
  if (running.unclassified && attained == WorkClass::kShort) {
    int32_t& permille =
        this->unclassified_long_permille[running.request.repeatable];
    permille -= (permille + 7) / 8;
  }
  this->service_times[Index(attained)].Add(used);
  this->slow_start.OnFinish(used, this->config.rules.short_quantum);
  this->EndRunning(now, running);
}

bool RequestScheduler::Cancel(Millis now, const RequestKey& key) {
  const auto queued = this->queue.find(key);
  if (queued != this->queue.end()) {
    CallerRecord* caller = this->history.Find(queued->second.request.caller);
    this->fair.Remove(queued->second, caller->queue_state);
    this->Erase(queued->second);
    return true;
  }
  const auto found = this->running.find(key);
  if (found != this->running.end()) this->EndRunning(now, found->second);
  return false;
}

SchedulerRefusal RequestScheduler::ShedRequest(Millis now,
                                               QueuedRequest& queued,
                                               Reason reason) {
  SchedulerRefusal refusal{queued.request.key, reason,
                           this->RetryAfter(queued.work_class)};
  SchedulingDecision decision = this->MakeDecision(now, queued);
  this->RecordPreceding(decision, queued);
  decision.outcome = SchedulingOutcome::kShed;
  decision.reason = reason;
  decision.retry_after = refusal.retry_after;
  this->refusals.Add(decision);
  CallerRecord* caller = this->history.Find(queued.request.caller);
  this->fair.Remove(queued, caller->queue_state);
  this->Erase(queued);
  return refusal;
}

std::vector<SchedulerRefusal> RequestScheduler::Shed(Millis now) {
  std::vector<SchedulerRefusal> refusals;
  while (!this->by_deadline.empty()) {
    QueuedRequest& first = **this->by_deadline.begin();
    if (now < first.latest_start) break;
    refusals.push_back(this->ShedRequest(now, first, Reason::kDeadline));
  }
  const SchedulingRules& rules = this->config.rules;
  const Millis interval(std::max<int64_t>(rules.max_wait.Count() / 4, 1));
  for (const Lane lane :
       {Lane::kShort, Lane::kUnclassified, Lane::kLong, Lane::kStraggler}) {
    auto& waiting = this->by_arrival[Index(lane)];
    DelayShedder& shedder = this->shedders[Index(lane)];
    const WorkClass work_class =
        lane == Lane::kShort ? WorkClass::kShort : WorkClass::kLong;
    const Millis target =
        TargetDelay(rules, lane, this->ExpectedMicros(work_class));
    while (!waiting.empty()) {
      QueuedRequest& oldest = **waiting.begin();
      const Millis waited = now - oldest.queued;
      if (waited < rules.max_wait &&
          !shedder.ShouldShed(now, waited, target, interval)) {
        break;
      }
      refusals.push_back(this->ShedRequest(now, oldest, Reason::kOverload));
    }
    if (waiting.empty()) shedder.OnEmpty();
  }
  return refusals;
}

std::vector<RequestKey> RequestScheduler::CollectPreemptible(Millis now) {
  this->Demote(now);
  size_t held = this->running.size() - this->RunningCount(WorkClass::kShort);
  std::vector<Running*> candidates;
  for (auto& [key, running] : this->running) {
    if (running.work_class == WorkClass::kShort) continue;
    if (running.reported) --held;
    if (!running.reported && running.request.repeatable &&
        GroupOf(running.lane) == LaneGroup::kShort) {
      candidates.push_back(&running);
    }
  }
  // Preempting the latest start wastes the least work.
  std::sort(candidates.begin(), candidates.end(),
            [](const Running* a, const Running* b) {
              return a->started != b->started ? a->started > b->started
                                              : a->request.key < b->request.key;
            });
  std::vector<RequestKey> preemptible;
  for (Running* candidate : candidates) {
    if (held <= this->MaxLongSlots()) break;
    candidate->reported = true;
    --held;
    preemptible.push_back(candidate->request.key);
  }
  return preemptible;
}

SchedulingDecision RequestScheduler::MakeDecision(
    Millis now, const QueuedRequest& queued) const {
  SchedulingDecision decision;
  decision.key = queued.request.key;
  decision.caller = queued.request.caller;
  decision.work_class = queued.work_class;
  decision.lane = queued.lane;
  decision.start_tag = queued.start;
  decision.finish_tag = queued.start;
  decision.queued = queued.queued;
  decision.decided = now;
  decision.slots = this->UsableSlots();
  decision.reserved_slots =
      std::min(this->config.reserved_slots, this->config.slots - 1);
  decision.busy_when_queued = queued.busy_when_queued;
  decision.busy = static_cast<uint32_t>(this->running.size());
  decision.long_busy = static_cast<uint32_t>(
      this->running.size() - this->RunningCount(WorkClass::kShort));
  decision.ahead_total = this->starts.Count() - queued.decisions_before;
  decision.revision = this->config.revision;
  decision.long_slots_full = this->LongSlotsInUse() >= this->MaxLongSlots();
  decision.straggler_slots_full =
      this->RunningCount(WorkClass::kStraggler) >= this->MaxStragglerSlots();
  return decision;
}

void RequestScheduler::RecordPreceding(SchedulingDecision& decision,
                                       const QueuedRequest& queued) const {
  const uint64_t count = this->starts.Count();
  const uint64_t listed =
      std::min<uint64_t>(decision.ahead_total, SchedulingDecision::kMaxAhead);
  for (uint64_t i = count - listed; i < count; ++i) {
    const SchedulingDecision& ahead = *this->starts.At(i);
    decision.ahead[decision.ahead_count++] = {ahead.key, ahead.caller,
                                              RuleFor(ahead, queued)};
  }
}

uint32_t RequestScheduler::LoadMilli() const {
  const size_t requests = this->queue.size() + this->running.size();
  return static_cast<uint32_t>(requests * 1000 / this->UsableSlots());
}

bool RequestScheduler::StartsAtOnce(Lane lane) const {
  const LaneGroup group = GroupOf(lane);
  if (!this->MayStart(lane) || this->Candidate(group) != nullptr) return false;
  const bool is_short = group == LaneGroup::kShort;
  const LaneGroup other = is_short ? LaneGroup::kLong : LaneGroup::kShort;
  return this->Candidate(other) == nullptr ||
         (is_short && this->long_credit_micros <= 0);
}

bool RequestScheduler::HasSlotForShort() const {
  return this->StartsAtOnce(Lane::kShort);
}

bool RequestScheduler::WouldStart(const SchedulerRequest& request) const {
  return this->StartsAtOnce(this->Classify(request).lane);
}

size_t RequestScheduler::QueuedCount() const { return this->queue.size(); }

size_t RequestScheduler::QueuedCount(WorkClass work_class) const {
  return static_cast<size_t>(std::count_if(
      this->queue.begin(), this->queue.end(), [work_class](const auto& item) {
        return item.second.work_class == work_class;
      }));
}

size_t RequestScheduler::RunningCount() const { return this->running.size(); }

}  // namespace cornelhill
