#include "cornelhill/segment/segment_agent.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cornelhill {

namespace {

// The upstream returns a packet within 1 ms; the rest allows for delays in
// scheduling the agent.
constexpr Millis kUpstreamCheckPeriod{25};
// Times that a packet is sent to an upstream that does not show that it runs.
// The balancer repeats its lookup after this time.
constexpr uint32_t kMaxUpstreamChecks = 4;
// In percent of the delay after which a caller retransmits its first packet. An
// upstream that has not replied by then is considered down.
constexpr int64_t kFirstReplyTimeoutPercent = 75;
// An offer that was refused twice is accepted even if all slots are busy, to
// bound the caller's wait.
constexpr uint32_t kMaxBusyRefusals = 2;
constexpr uint32_t kAllSlotsBusyMilli = 1000;
// Time for the last packets of an opening flow after its caller has given up.
constexpr Millis kOpeningMargin{100};
// Upstreams close flows that are idle for 12 s; a flow that is idle for longer
// belongs to a caller that is gone.
constexpr Millis kFlowIdleTimeout{20000};
// Time for the last acknowledgements and retransmissions of a closed flow.
constexpr Millis kClosedFlowLifetime{4000};
constexpr Millis kSweepPeriod{1000};

bool IsAfter(uint32_t sequence, uint32_t reference) {
  return static_cast<int32_t>(sequence - reference) > 0;
}

}  // namespace

std::string_view ToString(AgentDecisionKind kind) {
  static constexpr std::array<std::string_view, kAgentDecisionKindCount>
      kNames = {"flow_accepted", "offer_refused", "flow_adopted",
                "flow_returned", "flow_lost",     "malformed",
                "search_failed", "wait_ended"};
  return kNames.at(static_cast<size_t>(kind));
}

SegmentAgent::SegmentAgent(SegmentAgentSettings settings, Millis now)
    : settings(std::move(settings)),
      service(ServiceKeyOf(this->settings.service)),
      started(now) {}

UpstreamState SegmentAgent::State(Millis now) const {
  if (!this->report.has_value()) return UpstreamState::kUnknown;
  if (now - this->reported_at > this->settings.report_timeout) {
    return UpstreamState::kUnknown;
  }
  if (this->draining && this->report->state == UpstreamState::kReady) {
    return UpstreamState::kDraining;
  }
  return this->report->state;
}

bool SegmentAgent::Recovering(Millis now) const {
  return this->may_hold_unknown_flows &&
         now - this->started < this->settings.flow_lifetime &&
         this->State(now) != UpstreamState::kUnknown;
}

Millis SegmentAgent::FirstReplyTimeout() const {
  return Millis(this->settings.format.retransmission_delay.Count() *
                kFirstReplyTimeoutPercent / 100);
}

Millis SegmentAgent::BusyTimeout(const Flow& flow) const {
  return flow.timeout > Millis() ? flow.timeout : this->settings.flow_lifetime;
}

uint32_t SegmentAgent::Slots() const {
  return this->report.has_value() ? std::max(this->report->slots, 1U) : 1;
}

uint32_t SegmentAgent::LoadMilli() const {
  const auto flow_count = this->busy_flows + this->opening_flows +
                          static_cast<uint32_t>(this->waiting.Size());
  return flow_count * 1000 / this->Slots();
}

AgentRecord SegmentAgent::Record(Millis now) const {
  AgentRecord record;
  record.address = this->settings.address;
  record.service = this->service;
  record.failure_domain = this->settings.failure_domain;
  record.state = this->State(now);
  if (this->report.has_value()) {
    record.incarnation = this->report->incarnation;
    record.slots = this->Slots();
  }
  record.load_milli = this->LoadMilli();
  record.open_flows = static_cast<uint32_t>(this->OpenFlows());
  return record;
}

void SegmentAgent::OnPeerMessage(Millis now, const Endpoint& from,
                                 SegmentMessage message,
                                 SegmentAgentOutput* out) {
  if (message.kind == SegmentMessageKind::kOwnerUpdate) {
    this->owner_directory.OnOwnerUpdate(now, message.flow, from);
    return;
  }
  if (message.kind == SegmentMessageKind::kNotHeld) {
    this->owner_directory.OnNotHeld(now, from, message.flow, &out->peers);
    return;
  }
  const Result<Segment> parsed = this->settings.format.read(message.datagram);
  if (!parsed.has_value()) {
    out->decisions.push_back({AgentDecisionKind::kMalformed});
    return;
  }
  const Segment segment = parsed.value();
  if (message.kind == SegmentMessageKind::kOffer) {
    this->OnOffer(now, from, std::move(message), segment, out);
  } else if (message.kind == SegmentMessageKind::kLookup) {
    this->OnLookup(now, from, std::move(message), segment, out);
  } else if (message.kind == SegmentMessageKind::kDeliver ||
             message.kind == SegmentMessageKind::kProbe) {
    this->OnFlowPacket(now, from, std::move(message), segment, out);
  }
}

void SegmentAgent::OnLookup(Millis now, const Endpoint& from,
                            SegmentMessage message, const Segment& segment,
                            SegmentAgentOutput* out) {
  const SegmentFlow flow{segment.source, segment.destination};
  const auto known = this->flows.find(flow);
  if (known != this->flows.end() && !known->second.first_reply_timed_out) {
    message.kind = SegmentMessageKind::kProbe;
    message.requester = from;
    this->OnFlowPacket(now, this->settings.address, std::move(message), segment,
                       out);
    return;
  }
  this->owner_directory.OnLookup(now, from, std::move(message), flow,
                                 &out->peers);
}

void SegmentAgent::NotifyHomeAgents(const SegmentFlow& flow,
                                    const std::vector<Endpoint>& home_agents,
                                    SegmentAgentOutput* out) const {
  for (const Endpoint& home_agent : home_agents) {
    if (home_agent == this->settings.address) continue;
    SegmentMessage owner_update;
    owner_update.kind = SegmentMessageKind::kOwnerUpdate;
    owner_update.flow = flow;
    out->peers.push_back({home_agent, std::move(owner_update)});
  }
}

void SegmentAgent::OnOffer(Millis now, const Endpoint& from,
                           SegmentMessage message, const Segment& segment,
                           SegmentAgentOutput* out) {
  const SegmentFlow flow{segment.source, segment.destination};
  const OfferRefusal refusal = this->CheckOffer(now, message, segment);
  AgentDecision decision = this->MakeOfferDecision(now, flow, refusal, from);
  if (refusal != OfferRefusal::kNone) {
    out->decisions.push_back(decision);
    const auto found = this->flows.find(flow);
    if (found != this->flows.end() && refusal == OfferRefusal::kUnresponsive) {
      this->SetBusy(&found->second, false);
      this->MarkOpened(&found->second);
      found->second.first_reply_timed_out = true;
    }
    message.kind = SegmentMessageKind::kOfferRefused;
    message.refusal = refusal;
    this->Reply(now, from, std::move(message), out);
    return;
  }
  LatestListener& latest = this->latest_listeners[flow.listener];
  if (message.listener_version >= latest.version) {
    latest = {message.listener_version, message.listener_shares};
  }
  if (this->FindOpenedBy(flow, segment) == nullptr) {
    this->RemoveFlow(flow);
    this->AddWaitingFlow(now, flow, segment, message);
    out->decisions.push_back(decision);
    this->NotifyHomeAgents(flow, message.agents, out);
  } else if (this->flows[flow].waiting) {
    this->waiting.Replace(flow, std::move(message.datagram));
  } else {
    out->upstream.push_back(std::move(message.datagram));
  }
  Flow& entry = this->flows[flow];
  entry.balancer = from;
  entry.last_packet_at = now;
  this->AdmitWaiting(now, out);
  SegmentMessage reply;
  reply.kind = SegmentMessageKind::kOfferAccepted;
  reply.flow = flow;
  this->Reply(now, from, std::move(reply), out);
}

const SegmentAgent::Flow* SegmentAgent::FindOpenedBy(
    const SegmentFlow& flow, const Segment& first_packet) const {
  const auto found = this->flows.find(flow);
  if (found == this->flows.end()) return nullptr;
  const Flow& known = found->second;
  const bool opened_by = known.first_sequence_known &&
                         !known.first_reply_timed_out &&
                         known.first_sequence == first_packet.sequence;
  return opened_by ? &known : nullptr;
}

AgentDecision SegmentAgent::MakeOfferDecision(Millis now,
                                              const SegmentFlow& flow,
                                              OfferRefusal refusal,
                                              const Endpoint& balancer) const {
  const bool accepted = refusal == OfferRefusal::kNone;
  return {accepted ? AgentDecisionKind::kFlowAccepted
                   : AgentDecisionKind::kOfferRefused,
          flow,
          refusal,
          this->State(now),
          this->busy_flows,
          this->waiting.Size(),
          this->FlowLimit(),
          this->ExpectedWait(),
          now - this->reported_at,
          balancer};
}

OfferRefusal SegmentAgent::CheckOffer(Millis now, const SegmentMessage& message,
                                      const Segment& segment) const {
  const SegmentFlow flow{segment.source, segment.destination};
  if (const Flow* known = this->FindOpenedBy(flow, segment)) {
    if (!known->waiting && !known->accepted &&
        now - known->opened_at > this->FirstReplyTimeout()) {
      return OfferRefusal::kUnresponsive;
    }
    return OfferRefusal::kNone;
  }
  if (message.service != this->service) return OfferRefusal::kWrongService;
  const auto latest = this->latest_listeners.find(flow.listener);
  if (latest != this->latest_listeners.end() &&
      message.listener_version < latest->second.version &&
      message.listener_shares != latest->second.shares) {
    return OfferRefusal::kStale;
  }
  if (this->State(now) != UpstreamState::kReady) return OfferRefusal::kNotReady;
  const uint32_t load = this->LoadMilli();
  if (message.tries < kMaxBusyRefusals && load >= kAllSlotsBusyMilli &&
      load > message.load_milli) {
    return OfferRefusal::kBusy;
  }
  return OfferRefusal::kNone;
}

void SegmentAgent::OnFlowPacket(Millis now, const Endpoint& from,
                                SegmentMessage message, const Segment& segment,
                                SegmentAgentOutput* out) {
  const SegmentFlow flow{segment.source, segment.destination};
  const auto found = this->flows.find(flow);
  const bool is_probe = message.kind == SegmentMessageKind::kProbe;
  if (found != this->flows.end() && !found->second.first_reply_timed_out) {
    Flow& entry = found->second;
    entry.balancer = is_probe ? message.requester : from;
    this->TrackCallerPacket(now, segment, &entry);
    out->upstream.push_back(std::move(message.datagram));
    if (is_probe) this->ReplyOwnerFound(now, flow, entry.balancer, from, out);
    return;
  }
  if (found == this->flows.end() && this->Recovering(now)) {
    this->CheckUpstream(now, flow, from, std::move(message), out);
    return;
  }
  if (is_probe) {
    const Millis running = now - this->started;
    if (this->report.has_value() ||
        running > this->settings.first_report_timeout) {
      this->ReplyProbeNotHeld(now, flow, from, out);
    }
    return;
  }
  this->ReplyNotHeld(now, from, std::move(message.datagram), out);
}

// A search in which every agent replies this ends with a reset of the flow, so
// an agent that cannot know whether it has the flow sends no reply.
void SegmentAgent::ReplyProbeNotHeld(Millis now, const SegmentFlow& flow,
                                     const Endpoint& to,
                                     SegmentAgentOutput* out) {
  SegmentMessage message;
  message.kind = SegmentMessageKind::kNotHeld;
  message.flow = flow;
  this->Reply(now, to, std::move(message), out);
}

void SegmentAgent::ReplyNotHeld(Millis now, const Endpoint& balancer,
                                std::string datagram, SegmentAgentOutput* out) {
  SegmentMessage message;
  message.kind = SegmentMessageKind::kNotHeld;
  message.datagram = std::move(datagram);
  this->Reply(now, balancer, std::move(message), out);
}

void SegmentAgent::ReplyOwnerFound(Millis now, const SegmentFlow& flow,
                                   const Endpoint& balancer,
                                   const Endpoint& home_agent,
                                   SegmentAgentOutput* out) {
  SegmentMessage owner_found;
  owner_found.kind = SegmentMessageKind::kOwnerFound;
  owner_found.flow = flow;
  this->Reply(now, balancer, std::move(owner_found), out);
  this->NotifyHomeAgents(flow, {home_agent}, out);
}

void SegmentAgent::CheckUpstream(Millis now, const SegmentFlow& flow,
                                 const Endpoint& from, SegmentMessage message,
                                 SegmentAgentOutput* out) {
  const bool is_probe = message.kind == SegmentMessageKind::kProbe;
  const auto [found, added] = this->upstream_checks.try_emplace(flow);
  if (!added) return;  // The caller retransmits the packet.
  UpstreamCheck& check = found->second;
  check.balancer = is_probe ? message.requester : from;
  check.home_agent = from;
  check.is_probe = is_probe;
  check.datagram = std::move(message.datagram);
  this->SendUpstreamCheck(now, &check, out);
}

void SegmentAgent::SendUpstreamCheck(Millis now, UpstreamCheck* check,
                                     SegmentAgentOutput* out) {
  check->upstream_ran = now - this->upstream_last_heard <= kUpstreamCheckPeriod;
  check->sent_at = now;
  ++check->times_sent;
  out->upstream.push_back(check->datagram);
}

// An upstream returns a packet of a flow that it does not have, so one that
// keeps the packet has the flow, provided that it was running. One that has
// crashed keeps silent about every flow.
void SegmentAgent::TickUpstreamChecks(Millis now, SegmentAgentOutput* out) {
  std::vector<SegmentFlow> owned;
  std::vector<SegmentFlow> unanswered;
  for (auto& [flow, check] : this->upstream_checks) {
    if (now - check.sent_at < kUpstreamCheckPeriod) continue;
    if (check.upstream_ran && this->upstream_last_heard > check.sent_at) {
      owned.push_back(flow);
    } else if (check.times_sent < kMaxUpstreamChecks) {
      this->SendUpstreamCheck(now, &check, out);
    } else {
      unanswered.push_back(flow);
    }
  }
  for (const SegmentFlow& flow : owned) this->Adopt(now, flow, out);
  for (const SegmentFlow& flow : unanswered) this->upstream_checks.erase(flow);
}

void SegmentAgent::OnUpstreamPacket(Millis now, std::string datagram,
                                    SegmentAgentOutput* out) {
  const Result<Segment> parsed = this->settings.format.read(datagram);
  if (!parsed.has_value()) {
    out->decisions.push_back({AgentDecisionKind::kMalformed});
    return;
  }
  const Segment& segment = parsed.value();
  this->upstream_last_heard = now;
  if (segment.returned) {
    this->OnReturned(now, segment, std::move(datagram), out);
    return;
  }
  const SegmentFlow flow{segment.destination, segment.source};
  const auto found = this->flows.find(flow);
  Flow& entry =
      found == this->flows.end() ? this->Adopt(now, flow, out) : found->second;
  if (entry.first_reply_timed_out) return;
  entry.last_packet_at = now;
  if (segment.opens && segment.accepts && !entry.accepted) {
    entry.accepted = true;
    out->first_replies.push_back(now - entry.opened_at);
  }
  if (segment.data_bytes > 0 && entry.busy) {
    this->MeasureAnswer(now, &entry, out);
    this->SetBusy(&entry, false);
  }
  if (segment.closes || segment.resets) {
    entry.upstream_closed = true;
    this->SetBusy(&entry, false);
  }
  out->callers.push_back({flow.caller, std::move(datagram)});
  this->AdmitWaiting(now, out);
}

SegmentAgent::Flow& SegmentAgent::Adopt(Millis now, const SegmentFlow& flow,
                                        SegmentAgentOutput* out) {
  Flow& entry = this->flows[flow];
  entry.accepted = true;
  entry.opened = true;
  entry.opened_at = now;
  entry.last_packet_at = now;
  if (this->report.has_value()) {
    entry.incarnation = this->report->incarnation;
  }
  AgentDecision decision{AgentDecisionKind::kFlowAdopted, flow};
  decision.state = this->State(now);
  out->decisions.push_back(decision);
  const auto check = this->upstream_checks.find(flow);
  if (check == this->upstream_checks.end()) return entry;
  const UpstreamCheck ended = check->second;
  this->upstream_checks.erase(check);
  entry.balancer = ended.balancer;
  if (ended.is_probe) {
    this->ReplyOwnerFound(now, flow, ended.balancer, ended.home_agent, out);
  }
  return entry;
}

void SegmentAgent::OnReturned(Millis now, const Segment& segment,
                              std::string datagram, SegmentAgentOutput* out) {
  const SegmentFlow flow{segment.source, segment.destination};
  this->settings.format.clear_returned(&datagram);
  if (segment.opens && !segment.accepts) {
    this->OnReturnedFirst(now, flow, std::move(datagram), out);
    return;
  }
  const auto check = this->upstream_checks.find(flow);
  if (check != this->upstream_checks.end()) {
    const UpstreamCheck ended = check->second;
    this->upstream_checks.erase(check);
    if (ended.is_probe) {
      this->ReplyProbeNotHeld(now, flow, ended.home_agent, out);
      return;
    }
    this->ReplyNotHeld(now, ended.balancer, std::move(datagram), out);
    return;
  }
  const auto found = this->flows.find(flow);
  if (found == this->flows.end()) return;
  const Flow entry = found->second;
  // A flow that was adopted may be another upstream's, and the start that was
  // known then need not be the one that took it.
  const bool accepted_here = entry.first_sequence_known;
  const bool lost = accepted_here && this->report.has_value() &&
                    entry.incarnation != this->report->incarnation;
  this->RemoveFlow(flow);
  AgentDecision decision{AgentDecisionKind::kFlowReturned, flow};
  decision.balancer = entry.balancer;
  if (lost) {
    decision.kind = AgentDecisionKind::kFlowLost;
    out->callers.push_back(
        {flow.caller, this->settings.format.reset(flow.listener, flow.caller,
                                                  segment.acknowledged)});
  } else if (entry.balancer != Endpoint()) {
    this->ReplyNotHeld(now, entry.balancer, std::move(datagram), out);
  }
  out->decisions.push_back(decision);
}

void SegmentAgent::OnReturnedFirst(Millis now, const SegmentFlow& flow,
                                   std::string datagram,
                                   SegmentAgentOutput* out) {
  const auto found = this->flows.find(flow);
  if (found == this->flows.end() || found->second.accepted) return;
  this->RefuseAccepted(now, flow, OfferRefusal::kFull, std::move(datagram),
                       out);
}

void SegmentAgent::RefuseAccepted(Millis now, const SegmentFlow& flow,
                                  OfferRefusal refusal, std::string datagram,
                                  SegmentAgentOutput* out) {
  const Endpoint balancer = this->flows[flow].balancer;
  SegmentMessage message;
  message.kind = SegmentMessageKind::kOfferRefused;
  message.refusal = refusal;
  message.datagram = std::move(datagram);
  message.service = this->service;
  message.tries = this->flows[flow].tries;
  this->RemoveFlow(flow);
  out->decisions.push_back(
      this->MakeOfferDecision(now, flow, refusal, balancer));
  this->Reply(now, balancer, std::move(message), out);
}

void SegmentAgent::Reply(Millis now, const Endpoint& to, SegmentMessage message,
                         SegmentAgentOutput* out) {
  message.load_milli = this->LoadMilli();
  message.open_flows = static_cast<uint32_t>(this->OpenFlows());
  message.state = this->State(now);
  out->peers.push_back({to, std::move(message)});
}

void SegmentAgent::TrackCallerPacket(Millis now, const Segment& segment,
                                     Flow* flow) {
  flow->last_packet_at = now;
  this->MarkOpened(flow);
  if (segment.closes || segment.resets) flow->caller_closed = true;
  if (segment.data_bytes == 0) return;
  const uint32_t end = segment.sequence + segment.data_bytes;
  if (flow->data_seen && !IsAfter(end, flow->data_end)) return;
  flow->data_seen = true;
  flow->data_end = end;
  flow->last_data_at = now;
  if (!flow->busy) flow->busy_since = now;
  this->SetBusy(flow, true);
}

void SegmentAgent::MarkOpened(Flow* flow) {
  if (flow->opened) return;
  flow->opened = true;
  --this->opening_flows;
}

void SegmentAgent::SetBusy(Flow* flow, bool is_busy) {
  if (flow->busy == is_busy) return;
  flow->busy = is_busy;
  this->busy_flows += is_busy ? 1 : -1;
}

void SegmentAgent::RemoveFlow(const SegmentFlow& flow) {
  const auto found = this->flows.find(flow);
  if (found == this->flows.end()) return;
  this->SetBusy(&found->second, false);
  this->MarkOpened(&found->second);
  if (found->second.waiting) this->waiting.Remove(flow);
  this->flows.erase(found);
}

bool SegmentAgent::IsOpen(const Flow& flow, Millis now) {
  return !flow.first_reply_timed_out && !flow.caller_closed &&
         !flow.upstream_closed && now - flow.last_packet_at < kFlowIdleTimeout;
}

void SegmentAgent::Tick(Millis now, SegmentAgentOutput* out) {
  this->TickUpstreamChecks(now, out);
  this->AdmitWaiting(now, out);
  for (const auto& failed : this->owner_directory.Tick(now, &out->peers)) {
    AgentDecision decision{AgentDecisionKind::kSearchFailed, failed.flow};
    decision.balancer = failed.balancer;
    decision.unanswered_count = failed.unanswered_count;
    decision.agent = failed.agent;
    out->decisions.push_back(decision);
  }
  if (now < this->next_sweep) return;
  this->next_sweep = now + kSweepPeriod;
  std::vector<SegmentFlow> expired;
  for (auto& [flow, entry] : this->flows) {
    const Millis idle = now - entry.last_packet_at;
    const bool ended = entry.first_reply_timed_out ||
                       (entry.caller_closed && entry.upstream_closed);
    const bool unopened =
        !entry.opened &&
        now - entry.opened_at >
            this->settings.format.opening_timeout + kOpeningMargin;
    if (unopened ||
        idle > (ended ? kClosedFlowLifetime : this->settings.flow_lifetime)) {
      expired.push_back(flow);
    } else if (entry.busy && idle > this->BusyTimeout(entry)) {
      this->SetBusy(&entry, false);
    }
  }
  for (const SegmentFlow& flow : expired) this->RemoveFlow(flow);
  this->owner_directory.Expire(now, this->settings.flow_lifetime);
  this->open_flows = static_cast<size_t>(
      std::count_if(this->flows.begin(), this->flows.end(),
                    [now](const auto& f) { return IsOpen(f.second, now); }));
}

}  // namespace cornelhill
