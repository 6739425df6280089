#include "cornelhill/agent/agent.h"

#include <algorithm>
#include <utility>

#include "agent/agent_internal.h"

namespace cornelhill {

using internal::BufferOf;
using internal::KeyOf;
using internal::kMaxHops;
using internal::NonceMatches;
using internal::SendAnswer;
using internal::SendRefusal;

namespace {

// Total size of the answers stored for resent requests.
constexpr size_t kAnswerMemoryBytes = size_t{8} << 20;
// Maximum number of packets held for one queued request.
constexpr size_t kMaxHeldPackets = 64;
constexpr Millis kFlowIdleTimeout(60000);
// A running request is ended after this time without a packet from either side.
// If part of an upload is lost and its caller has gone, nothing else frees the
// slot. Does not apply to TCP, whose peers may be idle for longer and close the
// connection themselves.
constexpr Millis kRunningIdleTimeout(60000);
constexpr Millis kSweepPeriod(1000);
constexpr Millis kReportPeriod(100000);

}  // namespace

Agent::Agent(const AgentIdentity& identity)
    : identity(identity),
      scheduler(SchedulerConfig{}),
      homes(identity.instance, identity.incarnation),
      finished(kAnswerMemoryBytes) {}

void Agent::SetView(Millis now, const ServiceView& view, AgentOutput* out) {
  if (this->route != nullptr && this->route->view.revision >= view.revision) {
    return;
  }
  this->route = std::make_unique<const ServiceRoute>(view);
  this->reserved = ReservedSlots(view);
  this->homes.SetRoute(now, *this->route);
  const auto self = this->route->IndexOf(this->identity.instance);
  const bool was_in_view = this->in_view;
  this->in_view = self.has_value() && view.upstreams[*self].incarnation ==
                                          this->identity.incarnation;
  if (this->in_view) {
    const UpstreamInfo& upstream = view.upstreams[*self];
    this->draining = this->draining || upstream.draining;
    this->scheduler.Configure(SchedulerConfig{
        view.revision, view.rules, upstream.slots, this->reserved[*self], 250,
        UnclassifiedSlots::kMeasured});
  }
  // Reports flows that stayed open while the agent was out of the view, e.g.
  // after its lease expired, to their home agents.
  if (this->in_view && !was_in_view) this->ReportOpenFlows(out);
  this->SendQueries(now, out);
  this->ReplayHeld(now, out);
  this->StartDueRequests(now, out);
}

void Agent::SetLease(Millis valid_until) {
  this->lease_valid_until = std::max(this->lease_valid_until, valid_until);
}

void Agent::Rejoin(Incarnation incarnation) {
  this->identity.incarnation = incarnation;
  this->homes.Restart(incarnation);
  this->in_view = false;
}

void Agent::Drain() { this->draining = true; }

void Agent::OnMessage(Millis now, Endpoint from, DataMessage message,
                      AgentOutput* out) {
  if (auto* forward = std::get_if<Forward>(&message)) {
    this->OnForward(now, std::move(*forward), out);
  } else if (const auto* report = std::get_if<OwnerReport>(&message)) {
    this->OnOwnerReport(now, from, *report);
  } else if (const auto* query = std::get_if<DirectoryQuery>(&message)) {
    this->OnDirectoryQuery(now, from, *query, out);
  } else if (const auto* reply = std::get_if<DirectoryReply>(&message)) {
    this->OnDirectoryReply(now, *reply, out);
  }
}

bool Agent::IsForThisAgent(const Forward& forward) {
  if (this->route == nullptr || forward.service.id != this->route->view.id ||
      forward.service.incarnation != this->route->view.incarnation ||
      forward.packet.flow.service != this->route->view.address) {
    ++this->counters.dropped_wrong_service;
    return false;
  }
  if (forward.target_incarnation != this->identity.incarnation) {
    ++this->counters.dropped_wrong_incarnation;
    return false;
  }
  if (forward.hops > kMaxHops) {
    ++this->counters.dropped_hop_limit;
    return false;
  }
  return true;
}

void Agent::OnForward(Millis now, Forward forward, AgentOutput* out) {
  if (!this->IsForThisAgent(forward)) return;
  if (forward.route == ForwardRoute::kHandBack) {
    this->OnHandBack(now, std::move(forward), out);
    return;
  }
  const auto found = this->flows.find(forward.packet.flow);
  if (found != this->flows.end()) {
    Flow& flow = found->second;
    if (NonceMatches(flow.nonce, forward.packet.nonce)) {
      forward.packet.nonce = flow.nonce;
      this->OnPacketOfFlow(now, flow, std::move(forward), out);
      return;
    }
  }
  if (this->AnswerDuplicate(forward, out)) return;
  this->OnUnknownFlow(now, std::move(forward), out);
}

bool Agent::AnswerDuplicate(const Forward& forward, AgentOutput* out) {
  const RequestKey key = KeyOf(forward.packet);
  const FinishedRequest* known = this->finished.Find(key);
  if (known == nullptr || known->outcome == Outcome::kDeclined) return false;
  ++this->counters.duplicates;
  out->events.push_back({AgentEventKind::kAnswerResent, key, {}});
  if (known->outcome == Outcome::kRefused) {
    SendRefusal(key, forward.balancer, known->refusal, forward.payload, out);
    return true;
  }
  for (const std::string& packet : known->answer) {
    SendAnswer(key, forward.balancer, packet, out);
  }
  return true;
}

void Agent::OnPacketOfFlow(Millis now, Flow& flow, Forward forward,
                           AgentOutput* out) {
  const FlowKey key = forward.packet.flow;
  flow.balancer = forward.balancer;
  flow.last_active = now;
  if (forward.hops > 0) this->SendOwnerHint(key, flow, out);
  if (forward.packet.reset) {
    out->events.push_back(
        {AgentEventKind::kFlowReset, KeyOf(forward.packet), {}});
    // A queued request has not reached the upstream, which needs no reset.
    if (flow.state != FlowState::kQueued) {
      this->DeliverToUpstream(now, flow, std::move(forward), out);
    }
    this->AbandonRequest(now, key, flow);
    this->CloseFlow(now, key, out);
    return;
  }
  if (forward.packet.request > flow.request) {
    this->OnNextRequest(now, flow, std::move(forward), out);
    return;
  }
  if (forward.packet.request < flow.request) {
    this->AnswerDuplicate(forward, out);
    return;
  }
  if (forward.packet.cancel) {
    if (flow.state == FlowState::kIdle) return;
    this->EndRequest(now, key, flow, Reason::kCancelled, Millis(), out);
    this->StartDueRequests(now, out);
    return;
  }
  if (flow.state == FlowState::kQueued) {
    this->HoldPacket(now, flow, std::move(forward));
    return;
  }
  // TCP retransmissions must reach the upstream unchanged.
  if (forward.packet.first && key.protocol != Protocol::kTcp) {
    if (this->AnswerNotStored(flow, forward)) {
      // The upstream resends the missing part of its answer without running the
      // request again.
      ++this->counters.duplicates;
      forward.packet.first = false;
      this->DeliverToUpstream(now, flow, std::move(forward), out);
      return;
    }
    if (!this->AnswerDuplicate(forward, out)) ++this->counters.duplicates;
    return;
  }
  if (flow.state == FlowState::kIdle && flow.refused) {
    // Late packets of a refused upload must not reach the upstream.
    this->AnswerDuplicate(forward, out);
    return;
  }
  this->DeliverToUpstream(now, flow, std::move(forward), out);
}

bool Agent::AnswerNotStored(const Flow& flow, const Forward& forward) const {
  if (flow.state != FlowState::kIdle || flow.refused) return false;
  const FinishedRequest* known = this->finished.Find(KeyOf(forward.packet));
  return known == nullptr ||
         (known->outcome == Outcome::kAnswered && !known->answer_complete);
}

void Agent::OnNextRequest(Millis now, Flow& flow, Forward forward,
                          AgentOutput* out) {
  if (flow.state != FlowState::kIdle) {
    ++this->counters.dropped_pipelined;
    return;
  }
  if (!forward.packet.first) {
    ++this->counters.dropped_unknown_flow;
    return;
  }
  this->Queue(now, flow, std::move(forward), out);
  this->StartDueRequests(now, out);
}

void Agent::HoldPacket(Millis now, Flow& flow, Forward forward) {
  FlowBuffer& buffer = BufferOf(flow);
  const bool known = std::any_of(buffer.held.begin(), buffer.held.end(),
                                 [&forward](const HeldPacket& packet) {
                                   return packet.payload == forward.payload;
                                 });
  if (forward.packet.first || known) {
    ++this->counters.duplicates;
    return;
  }
  // The caller resends packets dropped here.
  if (buffer.held.size() >= kMaxHeldPackets) return;
  this->scheduler.OnBytes(now, KeyOf(forward.packet),
                          static_cast<uint32_t>(forward.payload.size()));
  buffer.held.push_back({forward.packet, std::move(forward.payload)});
}

void Agent::DeliverToUpstream(Millis now, Flow& flow, Forward forward,
                              AgentOutput* out) {
  if (forward.packet.last) flow.caller_closed = true;
  if (flow.state == FlowState::kRunning) {
    this->scheduler.OnBytes(now, KeyOf(forward.packet),
                            static_cast<uint32_t>(forward.payload.size()));
    FlowBuffer& buffer = BufferOf(flow);
    buffer.newest_payload = forward.payload;
    buffer.more_delivered = true;
  }
  out->upstream.push_back(
      {UpstreamAction::kDeliver, forward.packet, std::move(forward.payload)});
}

void Agent::SendOwnerHint(const FlowKey& key, const Flow& flow,
                          AgentOutput* out) {
  out->sends.push_back(
      {flow.balancer,
       OwnerHint{key, flow.nonce, this->route->view.id, this->identity.instance,
                 this->identity.data_address}});
}

void Agent::CloseFlow(Millis now, const FlowKey& key, AgentOutput* out) {
  const auto found = this->flows.find(key);
  if (found == this->flows.end()) return;
  Flow& flow = found->second;
  if (flow.state != FlowState::kIdle) {
    this->EndRequest(now, key, flow, Reason::kCancelled, Millis(), out);
  }
  out->events.push_back(
      {AgentEventKind::kFlowClosed, {key, flow.nonce, flow.request}, {}});
  const FlowUse use{key, flow.nonce};
  // Late copies of the first packet are routed to the owner by this entry.
  this->directory.Record(now, use, this->identity.instance,
                         this->identity.incarnation, true);
  this->ReportToHome(use, true, out);
  this->flows.erase(found);
  this->StartDueRequests(now, out);
}

void Agent::Tick(Millis now, AgentOutput* out) {
  for (const SchedulerRefusal& shed : this->scheduler.Shed(now)) {
    Flow& flow = this->flows.at(shed.key.flow);
    // A requeued request was already started once.
    const Verdict verdict =
        flow.buffer->was_started ? Verdict::kMayHaveRun : Verdict::kNotRun;
    this->Refuse(now, shed.key, flow.balancer,
                 {verdict, shed.reason, shed.retry_after},
                 std::move(flow.buffer->held.front().payload), out);
    flow.state = FlowState::kIdle;
    flow.refused = true;
    flow.buffer.reset();
  }
  this->RequeueOverrun(now, out);
  this->StartDueRequests(now, out);
  this->SendQueries(now, out);
  if (now >= this->next_sweep) {
    this->next_sweep = now + kSweepPeriod;
    this->ExpireIdle(now, out);
  }
  if (now >= this->next_report) {
    this->next_report = now + kReportPeriod;
    this->ReportOpenFlows(out);
  }
}

void Agent::ExpireIdle(Millis now, AgentOutput* out) {
  this->finished.Expire(now);
  this->directory.Expire(now);
  std::erase_if(this->sent_replies,
                [now](const auto& item) { return item.second.expires <= now; });
  std::vector<FlowKey> idle;
  std::vector<FlowKey> silent;
  for (const auto& [key, flow] : this->flows) {
    const bool closed = key.protocol == Protocol::kTcp && flow.caller_closed &&
                        flow.upstream_closed;
    const Millis limit = closed ? kResendLifetime : kFlowIdleTimeout;
    if (flow.state == FlowState::kIdle && now - flow.last_active >= limit) {
      idle.push_back(key);
    } else if (flow.state == FlowState::kRunning &&
               key.protocol != Protocol::kTcp &&
               now - flow.last_active >= kRunningIdleTimeout) {
      silent.push_back(key);
    }
  }
  std::sort(silent.begin(), silent.end());
  for (const FlowKey& key : silent) {
    this->EndRequest(now, key, this->flows.at(key), Reason::kCancelled,
                     Millis(), out);
  }
  if (!silent.empty()) this->StartDueRequests(now, out);
  std::sort(idle.begin(), idle.end());
  for (const FlowKey& key : idle) this->CloseFlow(now, key, out);
}

bool Agent::Idle() const {
  return this->scheduler.QueuedCount() == 0 &&
         this->scheduler.RunningCount() == 0;
}

}  // namespace cornelhill
