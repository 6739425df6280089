// Requests of the flows that this agent owns: queueing, scheduling, answers and
// refusals.

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

#include "agent/agent_internal.h"
#include "cornelhill/agent/agent.h"

namespace cornelhill {

namespace internal {

void SendAnswer(const RequestKey& key, Endpoint balancer, std::string payload,
                AgentOutput* out) {
  Return answer;
  answer.flow = key.flow;
  answer.nonce = key.nonce;
  answer.request = key.number;
  answer.payload = std::move(payload);
  out->sends.push_back({balancer, std::move(answer)});
}

void SendRefusal(const RequestKey& key, Endpoint balancer,
                 const Refusal& refusal, std::string original,
                 AgentOutput* out) {
  Return answer;
  answer.flow = key.flow;
  answer.nonce = key.nonce;
  answer.request = key.number;
  answer.refused = true;
  answer.refusal = refusal;
  answer.payload = std::move(original);
  out->sends.push_back({balancer, std::move(answer)});
}

}  // namespace internal

using internal::BufferOf;
using internal::KeyOf;
using internal::NonceMatches;
using internal::SendAnswer;
using internal::SendRefusal;

namespace {

// Maximum size of an answer that is stored for resent requests.
constexpr size_t kMaxStoredAnswerBytes = 8192;

std::optional<WorkClass> ToWorkClass(ClassHint hint) {
  switch (hint) {
    case ClassHint::kNone:
      return std::nullopt;
    case ClassHint::kShort:
      return WorkClass::kShort;
    case ClassHint::kLong:
      return WorkClass::kLong;
    case ClassHint::kStraggler:
      return WorkClass::kStraggler;
  }
  return std::nullopt;
}

}  // namespace

SchedulerRequest Agent::SchedulerRequestFor(Millis now,
                                            const Forward& forward) const {
  const PacketInfo& packet = forward.packet;
  SchedulerRequest request;
  request.key = {packet.flow, packet.nonce, packet.request};
  request.caller = CallerId(packet.flow.caller.address);
  request.bytes = static_cast<uint32_t>(forward.payload.size());
  request.repeatable = packet.repeatable;
  if (packet.deadline != Millis()) request.deadline = now + packet.deadline;
  // A work class learned by this agent is more recent than the sender's hint.
  if (!this->scheduler.History()
           .LearnedClass(request.key, request.caller)
           .has_value()) {
    request.hint = ToWorkClass(forward.class_hint);
  }
  return request;
}

void Agent::Accept(Millis now, Forward forward, AgentOutput* out) {
  const FlowKey key = forward.packet.flow;
  // The caller reuses the key, so it has abandoned the earlier flow.
  this->CloseFlow(now, key, out);
  ++this->counters.flows_accepted;
  Flow& flow = this->flows[key];
  flow.nonce = forward.packet.nonce;
  flow.balancer = forward.balancer;
  flow.accepted = now;
  out->events.push_back(
      {AgentEventKind::kFlowAccepted, KeyOf(forward.packet), {}});
  if (forward.hops > 0) this->SendOwnerHint(key, flow, out);
  this->Queue(now, flow, std::move(forward), out);
  this->StartDueRequests(now, out);
}

void Agent::Queue(Millis now, Flow& flow, Forward forward, AgentOutput* out) {
  flow.request = forward.packet.request;
  flow.repeatable = forward.packet.repeatable;
  flow.last_active = now;
  const SchedulerRequest request = this->SchedulerRequestFor(now, forward);
  if (const auto refusal = this->scheduler.Enqueue(now, request)) {
    this->Refuse(now, request.key, flow.balancer,
                 {Verdict::kNotRun, refusal->reason, refusal->retry_after},
                 std::move(forward.payload), out);
    flow.state = FlowState::kIdle;
    flow.refused = true;
    return;
  }
  out->events.push_back({AgentEventKind::kRequestQueued, request.key, {}});
  flow.state = FlowState::kQueued;
  flow.refused = false;
  flow.buffer = std::make_unique<FlowBuffer>();
  flow.buffer->held.push_back({forward.packet, std::move(forward.payload)});
}

void Agent::Refuse(Millis now, const RequestKey& key, Endpoint balancer,
                   const Refusal& refusal, std::string original,
                   AgentOutput* out) {
  ++this->counters.requests_refused;
  out->events.push_back({AgentEventKind::kRequestRefused, key, refusal});
  this->finished.Add(now, key,
                     FinishedRequest{Outcome::kRefused, refusal, {}, false});
  SendRefusal(key, balancer, refusal, std::move(original), out);
}

void Agent::EndRequest(Millis now, const FlowKey& key, Flow& flow,
                       Reason reason, Millis retry_after, AgentOutput* out) {
  assert(flow.state != FlowState::kIdle);
  const RequestKey request{key, flow.nonce, flow.request};
  const bool queued = this->scheduler.Cancel(now, request);
  FlowBuffer& buffer = BufferOf(flow);
  std::string original = queued ? std::move(buffer.held.front().payload)
                                : std::move(buffer.newest_payload);
  // A requeued request was already started once.
  const bool never_started = queued && !buffer.was_started;
  if (!queued) {
    buffer.newest_payload = original;
    this->CancelAtUpstream(key, flow, out);
  }
  const Verdict verdict =
      never_started ? Verdict::kNotRun : Verdict::kMayHaveRun;
  this->Refuse(now, request, flow.balancer, {verdict, reason, retry_after},
               std::move(original), out);
  flow.state = FlowState::kIdle;
  flow.refused = true;
  flow.buffer.reset();
}

void Agent::AbandonRequest(Millis now, const FlowKey& key, Flow& flow) {
  if (flow.state == FlowState::kIdle) return;
  const RequestKey request{key, flow.nonce, flow.request};
  const bool queued = this->scheduler.Cancel(now, request);
  const bool never_started = queued && !BufferOf(flow).was_started;
  const Refusal refusal{never_started ? Verdict::kNotRun : Verdict::kMayHaveRun,
                        Reason::kCancelled, Millis()};
  this->finished.Add(now, request,
                     FinishedRequest{Outcome::kRefused, refusal, {}, false});
  flow.state = FlowState::kIdle;
  flow.buffer.reset();
}

void Agent::CancelAtUpstream(const FlowKey& key, const Flow& flow,
                             AgentOutput* out) {
  PacketInfo packet;
  packet.flow = key;
  packet.nonce = flow.nonce;
  packet.request = flow.request;
  out->events.push_back(
      {AgentEventKind::kRequestCancelled, {key, flow.nonce, flow.request}, {}});
  out->upstream.push_back(
      {UpstreamAction::kCancel, packet, flow.buffer->newest_payload});
}

void Agent::OnAnswer(Millis now, const AnswerInfo& answer, std::string payload,
                     AgentOutput* out) {
  const auto found = this->flows.find(answer.flow);
  if (found == this->flows.end() ||
      !NonceMatches(found->second.nonce, answer.nonce) ||
      found->second.request != answer.request ||
      found->second.state == FlowState::kQueued) {
    ++this->counters.dropped_late_answer;
    return;
  }
  Flow& flow = found->second;
  flow.last_active = now;
  const RequestKey key{answer.flow, flow.nonce, flow.request};
  if (flow.state == FlowState::kRunning) {
    FlowBuffer& buffer = BufferOf(flow);
    buffer.answer_bytes += payload.size();
    if (buffer.answer_bytes <= kMaxStoredAnswerBytes) {
      buffer.answer.push_back(payload);
    } else {
      buffer.answer.clear();
    }
  }
  SendAnswer(key, flow.balancer, std::move(payload), out);
  if (answer.last) flow.upstream_closed = true;
  if (flow.state == FlowState::kRunning && (answer.last || answer.reset)) {
    this->FinishRequest(now, answer.flow, flow);
    out->events.push_back({AgentEventKind::kRequestAnswered, key, {}});
    this->StartDueRequests(now, out);
  }
  if (!answer.reset) return;
  out->events.push_back({AgentEventKind::kFlowReset, key, {}});
  this->CloseFlow(now, answer.flow, out);
}

void Agent::FinishRequest(Millis now, const FlowKey& key, Flow& flow) {
  const RequestKey request{key, flow.nonce, flow.request};
  this->scheduler.Finish(now, request);
  ++this->counters.requests_answered;
  FinishedRequest record;
  record.outcome = Outcome::kAnswered;
  record.answer_complete = flow.buffer->answer_bytes <= kMaxStoredAnswerBytes;
  if (record.answer_complete) record.answer = std::move(flow.buffer->answer);
  this->finished.Add(now, request, std::move(record));
  flow.state = FlowState::kIdle;
  flow.buffer.reset();
}

void Agent::OnUpstreamLost(Millis now, AgentOutput* out) {
  std::vector<FlowKey> keys;
  for (const auto& [key, flow] : this->flows) {
    if (flow.state != FlowState::kIdle) keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  for (const FlowKey& key : keys) {
    this->EndRequest(now, key, this->flows.at(key), Reason::kUpstreamLost,
                     Millis(), out);
  }
}

void Agent::RequeueOverrun(Millis now, AgentOutput* out) {
  for (const RequestKey& key : this->scheduler.CollectPreemptible(now)) {
    Flow& flow = this->flows.at(key.flow);
    FlowBuffer& buffer = BufferOf(flow);
    // A request cannot be restarted once part of its answer was sent, or if
    // more packets were delivered than the one that is stored.
    if (buffer.answer_bytes > 0 || buffer.more_delivered ||
        buffer.delivered.size() != 1) {
      continue;
    }
    this->CancelAtUpstream(key.flow, flow, out);
    this->scheduler.Cancel(now, key);
    HeldPacket first = std::move(buffer.delivered.front());
    buffer.delivered.clear();
    Forward requeued;
    requeued.packet = first.packet;
    requeued.payload = first.payload;
    SchedulerRequest request = this->SchedulerRequestFor(now, requeued);
    request.hint = WorkClass::kLong;
    buffer.held.push_back(std::move(first));
    if (const auto refusal = this->scheduler.Enqueue(now, request)) {
      this->Refuse(
          now, key, flow.balancer,
          {Verdict::kMayHaveRun, refusal->reason, refusal->retry_after},
          std::move(buffer.held.front().payload), out);
      flow.state = FlowState::kIdle;
      flow.refused = true;
      flow.buffer.reset();
      continue;
    }
    flow.state = FlowState::kQueued;
  }
}

void Agent::StartDueRequests(Millis now, AgentOutput* out) {
  while (const auto key = this->scheduler.StartNext(now)) {
    const auto found = this->flows.find(key->flow);
    assert(found != this->flows.end());
    Flow& flow = found->second;
    assert(flow.state == FlowState::kQueued);
    ++this->counters.requests_started;
    out->events.push_back({AgentEventKind::kRequestStarted, *key, {}});
    flow.state = FlowState::kRunning;
    FlowBuffer& buffer = BufferOf(flow);
    buffer.was_started = true;
    for (HeldPacket& packet : buffer.held) {
      buffer.newest_payload = packet.payload;
      // Only repeatable requests may be cancelled and queued again.
      if (flow.repeatable) buffer.delivered.push_back(packet);
      out->upstream.push_back(
          {UpstreamAction::kDeliver, packet.packet, std::move(packet.payload)});
    }
    buffer.held.clear();
    buffer.held.shrink_to_fit();
  }
}

}  // namespace cornelhill
