#include "cornelhill/daemon/agent_observer.h"

#include <algorithm>
#include <utility>

namespace cornelhill {

namespace {

// A flood of drops must not overwrite the other events of the ring.
constexpr Millis kDropEventPeriod(1000);

struct DropCounter {
  uint64_t AgentCounters::*counter;
  DropReason reason;
  EventDetail::Literal cause;
};

constexpr std::array<DropCounter, 7> kCounters = {{
    {&AgentCounters::dropped_wrong_service, DropReason::kWrongService,
     "wrong_service"},
    {&AgentCounters::dropped_wrong_incarnation, DropReason::kUnmatched,
     "wrong_incarnation"},
    {&AgentCounters::dropped_hop_limit, DropReason::kHopLimit, "hop_limit"},
    {&AgentCounters::dropped_unknown_flow, DropReason::kUnmatched,
     "unknown_flow"},
    {&AgentCounters::dropped_no_lease, DropReason::kNoUpstream, "no_lease"},
    {&AgentCounters::dropped_late_answer, DropReason::kUnmatched,
     "late_answer"},
    {&AgentCounters::dropped_pipelined, DropReason::kUnmatched, "pipelined"},
}};

void AddClass(WorkClass work_class, EventDetail* detail) {
  switch (work_class) {
    case WorkClass::kShort:
      detail->Add("class", "short");
      return;
    case WorkClass::kLong:
      detail->Add("class", "long");
      return;
    case WorkClass::kStraggler:
      detail->Add("class", "straggler");
      return;
  }
}

EventKind KindOf(AgentEventKind kind) {
  switch (kind) {
    case AgentEventKind::kFlowAccepted:
      return EventKind::kFlowAccepted;
    case AgentEventKind::kFlowClosed:
      return EventKind::kFlowClosed;
    case AgentEventKind::kFlowReset:
      return EventKind::kFlowReset;
    case AgentEventKind::kRequestQueued:
      return EventKind::kRequestQueued;
    case AgentEventKind::kRequestStarted:
      return EventKind::kRequestDispatched;
    case AgentEventKind::kRequestCancelled:
      return EventKind::kRequestCancelled;
    case AgentEventKind::kRequestAnswered:
      return EventKind::kRequestFinished;
    case AgentEventKind::kRequestRefused:
      return EventKind::kRequestRefused;
    case AgentEventKind::kAnswerResent:
      return EventKind::kAnswerResent;
    case AgentEventKind::kDirectoryGathered:
      return EventKind::kHandoverApplied;
  }
  return EventKind::kFlowAccepted;
}

bool IsOfRequest(AgentEventKind kind) {
  return kind != AgentEventKind::kFlowClosed &&
         kind != AgentEventKind::kFlowReset &&
         kind != AgentEventKind::kDirectoryGathered;
}

}  // namespace

void AgentObserver::OnView(Millis now, const ServiceView& view) {
  // The agent ignores a view that it has; control reports all views when one
  // of them changes.
  if (view.id == this->service && view.revision <= this->revision) return;
  this->service = view.id;
  this->revision = view.revision;
  this->observer.ViewInEffect(view);
  for (const UpstreamInfo& upstream : view.upstreams) {
    if (upstream.instance != this->agent.Identity().instance) continue;
    if (upstream.draining && !this->draining) {
      this->observer.Record(this->EventOf(EventKind::kUpstreamDraining));
    }
    this->draining = upstream.draining;
  }
  this->FollowQuarantine(now);
}

void AgentObserver::OnOutput(Millis now, const AgentOutput& out,
                             const FlowKey& flow) {
  for (const AgentEvent& event : out.events) this->RecordEvent(event);
  for (const SendMessage& send : out.sends) this->RecordSend(send);
  this->RecordDrops(now, flow);
}

Event AgentObserver::EventOf(EventKind kind) const {
  Event event;
  event.kind = kind;
  event.service = this->service;
  event.upstream = this->agent.Identity().instance;
  event.revision = this->revision;
  return event;
}

void AgentObserver::RecordEvent(const AgentEvent& event) {
  ServiceMetrics* metrics = this->observer.FindService(this->service);
  if (event.kind == AgentEventKind::kRequestStarted) {
    this->RecordStart(event.key, metrics);
    return;
  }
  Event record = this->EventOf(KindOf(event.kind));
  record.flow = event.key.flow;
  record.nonce = event.key.nonce;
  if (IsOfRequest(event.kind)) {
    record.detail.Add("request", event.key.number.Value());
  }
  if (event.kind == AgentEventKind::kRequestRefused) {
    record.detail.Add("verdict", event.refusal.verdict)
        .Add("reason", event.refusal.reason)
        .Add("retry_after_ms", event.refusal.retry_after.Count());
  }
  if (metrics != nullptr) {
    if (event.kind == AgentEventKind::kFlowAccepted) metrics->FlowStarted();
    if (event.kind == AgentEventKind::kRequestAnswered) {
      metrics->RequestEnded(Verdict::kRan);
    }
    if (event.kind == AgentEventKind::kRequestRefused) {
      metrics->RequestEnded(event.refusal.verdict);
    }
  }
  this->observer.Record(std::move(record));
}

void AgentObserver::RecordStart(const RequestKey& key,
                                ServiceMetrics* metrics) {
  Event record = this->EventOf(EventKind::kRequestDispatched);
  record.flow = key.flow;
  record.nonce = key.nonce;
  record.detail.Add("request", key.number.Value());
  // The newest decisions are found first, so this does not search the ring.
  const SchedulingDecision* decision =
      this->agent.Scheduler().Starts().Find(key);
  if (decision != nullptr) {
    const Millis waited = decision->decided - decision->queued;
    record.revision = decision->revision;
    AddClass(decision->work_class, &record.detail);
    record.detail.Add("waited_ms", waited.Count());
    if (metrics != nullptr) {
      metrics->RequestWaited(decision->work_class, waited);
    }
  }
  this->observer.Record(std::move(record));
}

void AgentObserver::RecordSend(const SendMessage& send) {
  if (const auto* forward = std::get_if<Forward>(&send.message)) {
    const bool offer = forward->route == ForwardRoute::kOffer ||
                       forward->route == ForwardRoute::kOfferReserve;
    if (!offer && forward->route != ForwardRoute::kHandBack) return;
    Event record = this->EventOf(offer ? EventKind::kFlowOffered
                                       : EventKind::kFlowHandedBack);
    record.flow = forward->packet.flow;
    record.nonce = forward->packet.nonce;
    record.detail.Add("request", forward->packet.request.Value())
        .Add("to", send.to);
    if (offer) {
      record.detail.Add("load_milli", forward->load_milli)
          .Add("reserved", forward->route == ForwardRoute::kOfferReserve);
    }
    this->observer.Record(std::move(record));
  } else if (const auto* reply = std::get_if<DirectoryReply>(&send.message)) {
    if (reply->page != 0) return;
    Event record = this->EventOf(EventKind::kHandoverSent);
    record.revision = reply->service.revision;
    record.detail.Add("to", send.to).Add("pages", reply->page_count);
    this->observer.Record(std::move(record));
  }
}

void AgentObserver::RecordDrops(Millis now, const FlowKey& flow) {
  static_assert(kCounters.size() == kDropCounters);
  for (size_t i = 0; i < kCounters.size(); ++i) {
    const DropCounter& counter = kCounters[i];
    DropWindow& window = this->drops[i];
    const uint64_t present = this->agent.Counters().*counter.counter;
    if (present == window.counted) continue;
    for (uint64_t j = window.counted; j < present; ++j) {
      this->observer.CountDrop(counter.reason);
    }
    window.unreported += present - window.counted;
    window.counted = present;
    if (now - window.last_event < kDropEventPeriod) continue;
    Event record = this->EventOf(EventKind::kPacketDropped);
    record.flow = flow;
    AddReason(counter.reason, &record.detail);
    record.detail.Add("cause", counter.cause).Add("count", window.unreported);
    this->observer.Record(std::move(record));
    window.unreported = 0;
    window.last_event = now;
  }
}

void AgentObserver::FollowQuarantine(Millis now) {
  const size_t present = this->agent.QuarantinedBuckets(now);
  if ((present == 0) != (this->quarantined == 0)) {
    Event record = this->EventOf(present > 0 ? EventKind::kQuarantineStarted
                                             : EventKind::kQuarantineEnded);
    record.detail.Add("buckets", std::max(present, this->quarantined));
    this->observer.Record(std::move(record));
  }
  this->quarantined = present;
}

void AgentObserver::OnLease(bool may_decide) {
  if (this->leaving || (!this->had_lease.has_value() && !may_decide)) return;
  if (this->had_lease.has_value() && *this->had_lease != may_decide) {
    Event record = this->EventOf(may_decide ? EventKind::kLeaseRenewed
                                            : EventKind::kLeaseExpired);
    record.detail.Add("incarnation",
                      this->agent.Identity().incarnation.Value());
    this->observer.Record(std::move(record));
  }
  this->had_lease = may_decide;
}

void AgentObserver::OnIncarnation(Incarnation from, Incarnation to) {
  Event record = this->EventOf(EventKind::kIncarnationReplaced);
  record.detail.Add("from", from.Value()).Add("to", to.Value());
  this->observer.Record(std::move(record));
}

void AgentObserver::OnDrain() {
  this->observer.Record(this->EventOf(EventKind::kProcessStopping));
}

void AgentObserver::OnLeft() {
  this->leaving = true;
  this->observer.Record(this->EventOf(EventKind::kUpstreamLeft));
}

void AgentObserver::OnSecond(Millis now) {
  this->FollowQuarantine(now);
  ServiceMetrics* metrics = this->observer.FindService(this->service);
  if (metrics == nullptr) return;
  const RequestScheduler& scheduler = this->agent.Scheduler();
  for (const WorkClass work_class :
       {WorkClass::kShort, WorkClass::kLong, WorkClass::kStraggler}) {
    metrics->SetQueued(work_class, scheduler.QueuedCount(work_class));
    metrics->SetBusySlots(work_class, scheduler.RunningCount(work_class));
  }
  metrics->SetSlots(scheduler.UsableSlots());
  metrics->SetOpenFlows(this->agent.OpenFlows());
}

}  // namespace cornelhill
