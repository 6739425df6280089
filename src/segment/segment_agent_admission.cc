// Admission of flows by `SegmentAgent`: the queue of first packets that wait
// for capacity of the upstream, and the measurements that the capacity rests
// on.

#include <utility>

#include "cornelhill/segment/segment_agent.h"

namespace cornelhill {

uint32_t SegmentAgent::FlowLimit() const {
  return this->capacity.Limit(this->Slots());
}

Millis SegmentAgent::ExpectedWait() const {
  return this->capacity.TimeToServe(static_cast<uint32_t>(this->waiting.Size()),
                                    this->Slots());
}

void SegmentAgent::Drain(Millis now, SegmentAgentOutput* out) {
  this->draining = true;
  this->AdmitWaiting(now, out);
}

void SegmentAgent::AddWaitingFlow(Millis now, const SegmentFlow& flow,
                                  const Segment& segment,
                                  const SegmentMessage& message) {
  Flow& added = this->flows[flow];
  added.first_sequence = segment.sequence;
  added.first_sequence_known = true;
  added.data_end = segment.sequence;
  added.incarnation = this->report->incarnation;
  added.waiting = true;
  added.opened = true;
  added.opened_at = now;
  added.tries = message.tries;
  added.timeout = message.timeout;
  ++this->open_flows;
  this->waiting.Push({flow, message.datagram, now - segment.age,
                      message.target_latency, message.priority});
}

void SegmentAgent::AdmitWaiting(Millis now, SegmentAgentOutput* out) {
  if (this->waiting.Empty()) return;
  if (this->State(now) != UpstreamState::kReady) {
    this->RefuseWaiting(now, out);
    return;
  }
  const Millis given_up = now - this->settings.format.opening_timeout;
  for (const WaitingFlow& ended : this->waiting.TakeSentBefore(given_up)) {
    AgentDecision decision = this->MakeOfferDecision(
        now, ended.flow, OfferRefusal::kNone, this->flows[ended.flow].balancer);
    decision.kind = AgentDecisionKind::kWaitEnded;
    out->decisions.push_back(decision);
    this->RemoveFlow(ended.flow);
  }
  this->ExpireOpening(now);
  while (this->busy_flows + this->opening_flows < this->FlowLimit()) {
    std::optional<WaitingFlow> next =
        this->waiting.Pop(now, this->capacity.ResponseTime());
    if (!next.has_value()) return;
    Flow& flow = this->flows[next->flow];
    flow.waiting = false;
    flow.opened = false;
    flow.incarnation = this->report->incarnation;
    out->waits.push_back(now - flow.opened_at);
    flow.opened_at = now;
    ++this->opening_flows;
    this->opening.emplace_back(next->flow, now);
    out->upstream.push_back(std::move(next->datagram));
  }
}

void SegmentAgent::RefuseWaiting(Millis now, SegmentAgentOutput* out) {
  for (WaitingFlow& refused : this->waiting.TakeAll()) {
    this->RefuseAccepted(now, refused.flow, OfferRefusal::kNotReady,
                         std::move(refused.datagram), out);
  }
}

// A caller that has not continued its flow by the time of its next first packet
// has opened it elsewhere or is gone, so the flow takes no capacity.
void SegmentAgent::ExpireOpening(Millis now) {
  const Millis limit = now - this->settings.format.retransmission_delay -
                       this->capacity.ResponseTime();
  while (!this->opening.empty() && this->opening.front().second < limit) {
    const auto found = this->flows.find(this->opening.front().first);
    if (found != this->flows.end() &&
        found->second.opened_at == this->opening.front().second) {
      this->MarkOpened(&found->second);
    }
    this->opening.pop_front();
  }
}

void SegmentAgent::MeasureAnswer(Millis now, Flow* flow,
                                 SegmentAgentOutput* out) {
  out->answers.push_back(now - flow->busy_since);
  this->capacity.OnAnswer(now - flow->last_data_at);
  const bool admitted_here = flow->first_sequence_known;
  if (!flow->answered && admitted_here) {
    this->capacity.OnRequestReceived(flow->last_data_at - flow->opened_at);
  }
  flow->answered = true;
}

// The requests that the last upstream was processing are lost.
void SegmentAgent::OnUpstreamRestarted() {
  for (auto& [flow, entry] : this->flows) {
    this->SetBusy(&entry, false);
    this->MarkOpened(&entry);
  }
  this->opening.clear();
  this->capacity = {};
}

}  // namespace cornelhill
