#include "cornelhill/turn/turn_scheduler.h"

#include <algorithm>
#include <cassert>

namespace cornelhill {

namespace {

// Work without history counts as likely short while at most this share of it,
// in thousandths, has turned out long.
constexpr int32_t kSafeUnprovenPermille = 50;

constexpr size_t Index(WorkClass work_class) {
  return static_cast<size_t>(work_class);
}
constexpr size_t Index(Lane lane) { return static_cast<size_t>(lane); }

// A share above this would let long work go before most short work.
constexpr uint32_t kMaxLongSharePermille = 900;
// Burst credit of a caller below its share, in short quanta. With 0, 1, 2 and 3
// quanta the others' 99th-percentile wait beside a flooding caller was 1.95,
// 1.31, 1.34 and 1.36 times its value without (4 slots at 60 %, 20 seeds).
constexpr int64_t kBurstQuanta = 1;
constexpr Millis kMinRetryAfter(10);
constexpr Millis kMaxRetryAfter(60'000);

LaneGroup GroupOfClass(WorkClass work_class) {
  return work_class == WorkClass::kShort ? LaneGroup::kShort : LaneGroup::kLong;
}

Millis FromMicros(int64_t micros) { return Millis((micros + 999) / 1000); }

// Target queueing delay. Work that may not use reserved slots waits for whole
// service times of long work in normal operation, so its target is higher.
// Unproven work with the target of short work was shed again and again before
// its caller had any history.
Millis TargetDelay(const TurnRules& rules, Lane lane, int64_t service) {
  const int64_t max_wait = rules.max_wait.Count();
  const int64_t share = lane == Lane::kShort ? max_wait / 8 : max_wait / 2;
  return Millis(std::min(max_wait, std::max(share, service / 1000)));
}

// The bound of memory in the header: this object, its key and hash node, nodes
// in three ordered sets and the allocator's overhead for each.
static_assert(sizeof(QueuedRequest) + sizeof(RequestKey) + 24 + 144 <= 400);
// A caller's hash node and list node with the allocator's overhead.
static_assert(sizeof(CallerRecord) + 16 + 16 + 48 <= 256);

// The rule by which `ahead` started while `waiting` was queued.
AheadRule RuleFor(const TurnDecision& ahead, const QueuedRequest& waiting) {
  const LaneGroup group = GroupOf(waiting.lane);
  if (GroupOf(ahead.lane) != group) {
    if (group == LaneGroup::kShort) return AheadRule::kLongMinimum;
    return ahead.long_slots_full ? AheadRule::kReservedSlot
                                 : AheadRule::kShortBeforeLong;
  }
  if (ahead.lane == waiting.lane) {
    return ahead.caller == waiting.request.caller ? AheadRule::kArrivedFirst
                                                  : AheadRule::kFairShare;
  }
  if (waiting.lane == Lane::kUnproven && ahead.long_slots_full) {
    return AheadRule::kReservedSlot;
  }
  if (waiting.lane == Lane::kStraggler && ahead.straggler_slots_full) {
    return AheadRule::kStragglerLimit;
  }
  return AheadRule::kFairShare;
}

}  // namespace

TurnScheduler::TurnScheduler(const TurnConfig& config) {
  this->Configure(config);
}

void TurnScheduler::Configure(const TurnConfig& new_config) {
  assert(new_config.slots > 0);
  this->config = new_config;
  this->fair.SetBurstCredit(kBurstQuanta * 1000 *
                            new_config.rules.short_quantum.Count());
}

void TurnScheduler::BeginColdStart() { this->ramp.Begin(this->config.slots); }

uint32_t TurnScheduler::UsableSlots() const {
  return this->ramp.Limit(this->config.slots);
}

uint32_t TurnScheduler::LongSlots() const {
  const uint32_t slots = this->config.slots;
  const uint32_t reserved = std::min(this->config.reserved_slots, slots - 1);
  return std::min(this->UsableSlots(), slots - reserved);
}

uint32_t TurnScheduler::StragglerSlots() const {
  const uint64_t share = uint64_t{this->config.slots} *
                         this->config.rules.straggler_permille / 1000;
  return static_cast<uint32_t>(
      std::clamp<uint64_t>(share, 1, this->LongSlots()));
}

size_t TurnScheduler::RunningCount(WorkClass work_class) const {
  return std::count_if(this->running.begin(), this->running.end(),
                       [work_class](const auto& entry) {
                         return entry.second.work_class == work_class;
                       });
}

size_t TurnScheduler::LongHeld() const {
  return std::count_if(this->running.begin(), this->running.end(),
                       [](const auto& entry) {
                         return entry.second.work_class != WorkClass::kShort ||
                                entry.second.lane == Lane::kUnproven;
                       });
}

bool TurnScheduler::MayStart(Lane lane) const {
  if (this->running.size() >= this->UsableSlots()) return false;
  if (lane == Lane::kShort) return true;
  if (this->LongHeld() >= this->LongSlots()) return false;
  return lane != Lane::kStraggler ||
         this->RunningCount(WorkClass::kStraggler) < this->StragglerSlots();
}

Lane TurnScheduler::LaneOf(const TurnRequest& request, WorkClass work_class,
                           bool unproven) const {
  if (work_class == WorkClass::kLong) return Lane::kLong;
  if (work_class == WorkClass::kStraggler) return Lane::kStraggler;
  if (!unproven || request.repeatable) return Lane::kShort;
  const bool free = this->config.unproven == UnprovenSlots::kAny ||
                    (this->config.unproven == UnprovenSlots::kMeasured &&
                     this->unproven_long_permille[request.repeatable] <=
                         kSafeUnprovenPermille);
  return free ? Lane::kShort : Lane::kUnproven;
}

TurnScheduler::Placement TurnScheduler::Place(
    const TurnRequest& request) const {
  Placement place;
  if (request.hint.has_value()) {
    place.work_class = *request.hint;
  } else {
    const auto learned = this->memory.Learned(request.key, request.caller);
    place.work_class = learned.value_or(WorkClass::kShort);
    if (place.work_class == WorkClass::kShort &&
        request.bytes >= this->config.rules.short_bytes) {
      place.work_class = WorkClass::kLong;
    }
    place.unproven =
        !learned.has_value() && place.work_class == WorkClass::kShort;
  }
  place.lane = this->LaneOf(request, place.work_class, place.unproven);
  return place;
}

WorkClass TurnScheduler::ClassOf(const TurnRequest& request) const {
  return this->Place(request).work_class;
}

bool TurnScheduler::LikelyShort(const TurnRequest& request) const {
  const Placement place = this->Place(request);
  return place.work_class == WorkClass::kShort &&
         (!place.unproven || this->unproven_long_permille[request.repeatable] <=
                                 kSafeUnprovenPermille);
}

int64_t TurnScheduler::ExpectedMicros(WorkClass work_class) const {
  const TurnRules& rules = this->config.rules;
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

Millis TurnScheduler::ExpectedWait(const TurnRequest& request,
                                   const Placement& place) const {
  const LaneGroup group = GroupOf(place.lane);
  const CallerRecord* caller = this->memory.Find(request.caller);
  const size_t own = caller == nullptr ? 0 : caller->queued;
  // Each caller in the lane is served once for each request of this caller.
  const size_t callers = this->fair.Callers(place.lane);
  const size_t ahead = std::min(this->fair.Queued(group), (own + 1) * callers);
  const size_t long_running =
      this->running.size() - this->RunningCount(WorkClass::kShort);
  const size_t usable = this->UsableSlots();
  const size_t slots =
      group == LaneGroup::kLong
          ? this->LongSlots()
          : std::max<size_t>(usable - std::min(usable, long_running), 1);
  const ServiceTime& measured = this->service_times[Index(place.work_class)];
  return Millis(static_cast<int64_t>(ahead) * measured.Micros() /
                static_cast<int64_t>(slots) / 1000);
}

Millis TurnScheduler::DrainTime(WorkClass work_class) const {
  const ServiceTime& measured = this->service_times[Index(work_class)];
  if (!measured.Measured()) return this->config.rules.max_wait;
  const LaneGroup group = GroupOfClass(work_class);
  const auto queued = static_cast<int64_t>(this->fair.Queued(group));
  const int64_t slots =
      group == LaneGroup::kLong ? this->LongSlots() : this->UsableSlots();
  return FromMicros(queued * measured.Micros() / slots);
}

Millis TurnScheduler::RetryAfter(WorkClass work_class) const {
  return std::clamp(this->DrainTime(work_class), kMinRetryAfter,
                    kMaxRetryAfter);
}

bool TurnScheduler::TakeToken(Millis now, CallerRecord& caller,
                              Millis* wait) const {
  const int64_t rate = this->config.rules.caller_rate;
  if (rate == 0) return true;
  // The bucket holds the requests of one second, and at least one.
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

TurnRefusal TurnScheduler::Refuse(Millis now, const TurnRequest& request,
                                  const Placement& place, Reason reason,
                                  Millis retry_after) {
  QueuedRequest refused;
  refused.request = request;
  refused.queued = now;
  refused.decisions_before = this->starts.Count();
  refused.busy_when_queued = static_cast<uint32_t>(this->running.size());
  refused.lane = place.lane;
  refused.work_class = place.work_class;
  TurnDecision decision = this->Record(now, refused);
  decision.outcome = TurnOutcome::kRefused;
  decision.reason = reason;
  decision.retry_after = retry_after;
  this->refusals.Add(decision);
  return {request.key, reason, retry_after};
}

std::optional<TurnRefusal> TurnScheduler::Enqueue(Millis now,
                                                  const TurnRequest& request) {
  assert(!this->queue.contains(request.key));
  assert(!this->running.contains(request.key));
  assert(request.weight > 0);
  const TurnRules& rules = this->config.rules;
  const Placement place = this->Place(request);
  CallerRecord& caller = this->memory.Acquire(request.caller);
  const auto refuse = [&](Reason reason, Millis retry_after) {
    this->memory.Release(request.caller);
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
    // A request that starts at once is refused only after its deadline:
    // otherwise one high measurement would refuse all later requests and never
    // be corrected.
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
  queued.unproven = place.unproven;
  ++caller.queued;
  this->Insert(queued);
  return std::nullopt;
}

void TurnScheduler::Insert(QueuedRequest& queued) {
  CallerRecord* caller = this->memory.Find(queued.request.caller);
  this->fair.Push(queued, caller->turn);
  this->by_arrival[Index(queued.lane)].insert(&queued);
  if (queued.request.deadline != Millis()) this->by_deadline.insert(&queued);
}

// Removes a request from the orders beside the fair queue and frees it.
void TurnScheduler::Erase(QueuedRequest& queued) {
  this->by_arrival[Index(queued.lane)].erase(&queued);
  if (queued.request.deadline != Millis()) this->by_deadline.erase(&queued);
  const CallerId caller = queued.request.caller;
  --this->memory.Find(caller)->queued;
  const RequestKey key = queued.request.key;
  this->queue.erase(key);
  this->memory.Release(caller);
}

QueuedRequest* TurnScheduler::Candidate(LaneGroup group) const {
  const bool is_short = group == LaneGroup::kShort;
  QueuedRequest* best = nullptr;
  for (const Lane lane : {is_short ? Lane::kShort : Lane::kLong,
                          is_short ? Lane::kUnproven : Lane::kStraggler}) {
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

std::optional<RequestKey> TurnScheduler::StartNext(Millis now) {
  this->Demote(now);
  QueuedRequest* const short_work = this->Candidate(LaneGroup::kShort);
  QueuedRequest* const long_work = this->Candidate(LaneGroup::kLong);
  if (short_work == nullptr && long_work == nullptr) return std::nullopt;
  const bool both = short_work != nullptr && long_work != nullptr;
  const bool long_first = both && this->long_owed > 0;
  QueuedRequest& next =
      short_work == nullptr || long_first ? *long_work : *short_work;

  const int64_t cost = this->ExpectedMicros(next.work_class);
  if (long_first) {
    this->long_owed -= cost;
  } else if (&next == short_work && this->fair.Queued(LaneGroup::kLong) > 0) {
    // Accrues also while long work holds all slots that it may hold: it does
    // not get more than its share afterwards than one request.
    const int64_t share =
        std::min(this->config.long_share_permille, kMaxLongSharePermille);
    this->long_owed = std::min(this->long_owed + cost * share / (1000 - share),
                               this->ExpectedMicros(WorkClass::kLong));
  }

  CallerRecord& caller = *this->memory.Find(next.request.caller);
  TurnDecision decision = this->Record(now, next);
  this->RecordAhead(decision, next);
  decision.by_long_minimum = long_first;
  decision.start_tag = next.start;
  decision.finish_tag = this->fair.Start(next, caller.turn, cost);
  this->starts.Add(decision);

  const RequestKey key = next.request.key;
  this->running.emplace(key, Running{next.request, now, cost, next.lane,
                                     next.work_class, next.unproven});
  ++caller.running;
  this->Erase(next);
  return key;
}

WorkClass TurnScheduler::Attained(const Running& running, Millis now) const {
  const TurnRules& rules = this->config.rules;
  const Millis used = now - running.started;
  if (used >= rules.straggler_after) return WorkClass::kStraggler;
  if (used >= rules.short_quantum ||
      running.request.bytes >= rules.short_bytes) {
    return WorkClass::kLong;
  }
  return WorkClass::kShort;
}

void TurnScheduler::DemoteOne(Running& running, WorkClass work_class) {
  if (running.work_class == WorkClass::kShort && running.unproven) {
    int32_t& permille =
        this->unproven_long_permille[running.request.repeatable];
    permille += (1000 - permille) / 8;
  }
  running.work_class = work_class;
  running.learned = true;
  this->memory.Learn(running.request.key, running.request.caller, work_class);
}

void TurnScheduler::Demote(Millis now) {
  for (auto& [key, running] : this->running) {
    const WorkClass attained = this->Attained(running, now);
    if (attained > running.work_class) this->DemoteOne(running, attained);
  }
}

void TurnScheduler::OnBytes(Millis now, const RequestKey& key, uint32_t bytes) {
  const auto add = [bytes](TurnRequest& request) {
    request.bytes += std::min(bytes, UINT32_MAX - request.bytes);
  };
  const auto running = this->running.find(key);
  if (running != this->running.end()) {
    add(running->second.request);
    const WorkClass attained = this->Attained(running->second, now);
    if (attained > running->second.work_class) {
      this->DemoteOne(running->second, attained);
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
  CallerRecord* caller = this->memory.Find(queued.request.caller);
  this->fair.Remove(queued, caller->turn);
  this->by_arrival[Index(queued.lane)].erase(&queued);
  this->by_deadline.erase(&queued);
  queued.work_class = WorkClass::kLong;
  queued.lane = Lane::kLong;
  queued.unproven = false;
  this->Insert(queued);
}

// Frees the slot and charges the caller for the slot time that was used: to
// the group it started in up to the short quantum, the rest to long work.
void TurnScheduler::EndRunning(Millis now, Running& running) {
  CallerRecord& caller = *this->memory.Find(running.request.caller);
  const LaneGroup group = GroupOf(running.lane);
  const int64_t used = (now - running.started).Count() * 1000;
  int64_t own = used;
  if (group == LaneGroup::kShort) {
    own = std::min(used, this->config.rules.short_quantum.Count() * 1000);
    this->fair.Charge(caller.turn, LaneGroup::kLong, used - own);
  }
  this->fair.Charge(caller.turn, group, own - running.charged);
  this->fair.End(group);
  --caller.running;
  const CallerId id = running.request.caller;
  const RequestKey key = running.request.key;
  this->running.erase(key);
  this->memory.Release(id);
}

void TurnScheduler::Finish(Millis now, const RequestKey& key) {
  const auto found = this->running.find(key);
  if (found == this->running.end()) return;
  this->Demote(now);
  Running& running = found->second;
  const Millis used = now - running.started;
  const WorkClass attained = this->Attained(running, now);
  if (!running.learned) {
    this->memory.Learn(key, running.request.caller, attained);
  }
  if (running.unproven && attained == WorkClass::kShort) {
    int32_t& permille =
        this->unproven_long_permille[running.request.repeatable];
    permille -= (permille + 7) / 8;
  }
  this->service_times[Index(attained)].Add(used);
  this->ramp.OnFinish(used, this->config.rules.short_quantum);
  this->EndRunning(now, running);
}

bool TurnScheduler::Cancel(Millis now, const RequestKey& key) {
  const auto queued = this->queue.find(key);
  if (queued != this->queue.end()) {
    CallerRecord* caller = this->memory.Find(queued->second.request.caller);
    this->fair.Remove(queued->second, caller->turn);
    this->Erase(queued->second);
    return true;
  }
  const auto found = this->running.find(key);
  if (found != this->running.end()) this->EndRunning(now, found->second);
  return false;
}

TurnRefusal TurnScheduler::ShedOne(Millis now, QueuedRequest& queued,
                                   Reason reason) {
  TurnRefusal refusal{queued.request.key, reason,
                      this->RetryAfter(queued.work_class)};
  TurnDecision decision = this->Record(now, queued);
  this->RecordAhead(decision, queued);
  decision.outcome = TurnOutcome::kShed;
  decision.reason = reason;
  decision.retry_after = refusal.retry_after;
  this->refusals.Add(decision);
  CallerRecord* caller = this->memory.Find(queued.request.caller);
  this->fair.Remove(queued, caller->turn);
  this->Erase(queued);
  return refusal;
}

std::vector<TurnRefusal> TurnScheduler::Shed(Millis now) {
  std::vector<TurnRefusal> refusals;
  while (!this->by_deadline.empty()) {
    QueuedRequest& first = **this->by_deadline.begin();
    if (now < first.latest_start) break;
    refusals.push_back(this->ShedOne(now, first, Reason::kDeadline));
  }
  const TurnRules& rules = this->config.rules;
  const Millis interval(std::max<int64_t>(rules.max_wait.Count() / 4, 1));
  for (const Lane lane :
       {Lane::kShort, Lane::kUnproven, Lane::kLong, Lane::kStraggler}) {
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
      refusals.push_back(this->ShedOne(now, oldest, Reason::kOverload));
    }
    if (waiting.empty()) shedder.OnEmpty();
  }
  return refusals;
}

std::vector<RequestKey> TurnScheduler::Overrun(Millis now) {
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
  // The last started loses the least work.
  std::sort(candidates.begin(), candidates.end(),
            [](const Running* a, const Running* b) {
              return a->started != b->started ? a->started > b->started
                                              : a->request.key < b->request.key;
            });
  std::vector<RequestKey> overrun;
  for (Running* candidate : candidates) {
    if (held <= this->LongSlots()) break;
    candidate->reported = true;
    --held;
    overrun.push_back(candidate->request.key);
  }
  return overrun;
}

TurnDecision TurnScheduler::Record(Millis now,
                                   const QueuedRequest& queued) const {
  TurnDecision decision;
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
  decision.long_slots_full = this->LongHeld() >= this->LongSlots();
  decision.straggler_slots_full =
      this->RunningCount(WorkClass::kStraggler) >= this->StragglerSlots();
  return decision;
}

void TurnScheduler::RecordAhead(TurnDecision& decision,
                                const QueuedRequest& queued) const {
  const uint64_t count = this->starts.Count();
  const uint64_t listed =
      std::min<uint64_t>(decision.ahead_total, TurnDecision::kMaxAhead);
  for (uint64_t i = count - listed; i < count; ++i) {
    const TurnDecision& ahead = *this->starts.At(i);
    decision.ahead[decision.ahead_count++] = {ahead.key, ahead.caller,
                                              RuleFor(ahead, queued)};
  }
}

uint32_t TurnScheduler::LoadMilli() const {
  const size_t requests = this->queue.size() + this->running.size();
  return static_cast<uint32_t>(requests * 1000 / this->UsableSlots());
}

bool TurnScheduler::StartsAtOnce(Lane lane) const {
  const LaneGroup group = GroupOf(lane);
  if (!this->MayStart(lane) || this->Candidate(group) != nullptr) return false;
  const bool is_short = group == LaneGroup::kShort;
  const LaneGroup other = is_short ? LaneGroup::kLong : LaneGroup::kShort;
  return this->Candidate(other) == nullptr ||
         (is_short && this->long_owed <= 0);
}

bool TurnScheduler::HasSlotForShort() const {
  return this->StartsAtOnce(Lane::kShort);
}

bool TurnScheduler::WouldStart(const TurnRequest& request) const {
  return this->StartsAtOnce(this->Place(request).lane);
}

size_t TurnScheduler::QueuedCount() const { return this->queue.size(); }

size_t TurnScheduler::QueuedCount(WorkClass work_class) const {
  return static_cast<size_t>(std::count_if(
      this->queue.begin(), this->queue.end(), [work_class](const auto& item) {
        return item.second.work_class == work_class;
      }));
}

size_t TurnScheduler::RunningCount() const { return this->running.size(); }

}  // namespace cornelhill
