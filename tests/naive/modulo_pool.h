#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "cornelhill/agent/agent.h"

namespace cornelhill::naive {

// Baseline balancer: the flow hash modulo the number of upstreams that are not
// draining.
inline std::optional<size_t> ModuloUpstream(const ServiceView& view,
                                            const FlowKey& flow) {
  std::vector<size_t> usable;
  for (size_t i = 0; i < view.upstreams.size(); ++i) {
    if (!view.upstreams[i].draining) usable.push_back(i);
  }
  if (usable.empty()) return std::nullopt;
  return usable[HashFlow(flow) % usable.size()];
}

// Baseline agent: serves requests in FIFO order. Detects duplicates only while
// the request is queued or running; a packet of a flow that started elsewhere
// is an error. Implements the functions of `Agent` that the test pool calls.
class ModuloAgent {
 public:
  explicit ModuloAgent(const AgentIdentity& identity) : identity(identity) {}

  void SetView(Millis, const ServiceView& view, AgentOutput* out) {
    for (const UpstreamInfo& upstream : view.upstreams) {
      if (upstream.instance == this->identity.instance) {
        this->slots = upstream.slots;
      }
    }
    this->max_wait = view.rules.max_wait;
    this->Start(out);
  }
  void SetLease(Millis) {}
  void Rejoin(Incarnation incarnation) {
    this->identity.incarnation = incarnation;
  }

  void OnMessage(Millis now, Endpoint, DataMessage message, AgentOutput* out) {
    auto* forward = std::get_if<Forward>(&message);
    if (forward == nullptr) return;
    const PacketInfo& packet = forward->packet;
    const RequestKey key{packet.flow, packet.nonce, packet.request};
    const auto active = this->requests.find(key);
    if (active != this->requests.end()) {
      active->second.balancer = forward->balancer;
      if (packet.first) return;
      if (active->second.running) {
        out->upstream.push_back(
            {UpstreamAction::kDeliver, packet, std::move(forward->payload)});
      } else {
        active->second.held.push_back({packet, std::move(forward->payload)});
      }
      return;
    }
    const auto flow = this->flows.find(packet.flow);
    const bool known =
        flow != this->flows.end() && flow->second == packet.nonce;
    const bool opens = packet.first && packet.request == RequestNumber(1);
    if (!known && !opens) {
      this->Error(key, forward->balancer, out);
      return;
    }
    if (!packet.first) {
      this->answered[key] = forward->balancer;
      out->upstream.push_back(
          {UpstreamAction::kDeliver, packet, std::move(forward->payload)});
      return;
    }
    if (!known) ++this->counters.flows_accepted;
    this->flows[packet.flow] = packet.nonce;
    Request& request = this->requests[key];
    request.balancer = forward->balancer;
    request.queued = now;
    request.held.push_back({packet, std::move(forward->payload)});
    this->queue.push_back(key);
    this->Start(out);
  }

  void OnAnswer(Millis, const AnswerInfo& answer, std::string payload,
                AgentOutput* out) {
    const RequestKey key{answer.flow, answer.nonce, answer.request};
    Return packet;
    packet.flow = key.flow;
    packet.nonce = key.nonce;
    packet.request = key.number;
    packet.payload = std::move(payload);
    const auto active = this->requests.find(key);
    if (active != this->requests.end() && active->second.running) {
      out->sends.push_back({active->second.balancer, std::move(packet)});
      if (!answer.last) return;
      this->requests.erase(active);
      --this->running;
      this->Start(out);
    } else if (const auto done = this->answered.find(key);
               done != this->answered.end()) {
      out->sends.push_back({done->second, std::move(packet)});
    }
  }

  void OnUpstreamLost(Millis, AgentOutput* out) {
    for (const auto& [key, request] : this->requests) {
      this->Error(key, request.balancer, out);
    }
    this->requests.clear();
    this->queue.clear();
    this->running = 0;
  }

  void Tick(Millis now, AgentOutput* out) {
    while (!this->queue.empty() &&
           now - this->requests.at(this->queue.front()).queued >=
               this->max_wait) {
      const RequestKey key = this->queue.front();
      this->queue.pop_front();
      this->Error(key, this->requests.at(key).balancer, out);
      this->requests.erase(key);
    }
  }

  bool Idle() const { return this->requests.empty(); }
  const AgentCounters& Counters() const { return this->counters; }
  const AgentIdentity& Identity() const { return this->identity; }

 private:
  struct Request {
    Endpoint balancer;
    Millis queued;
    bool running = false;
    std::vector<HeldPacket> held;
  };

  void Error(const RequestKey& key, Endpoint balancer, AgentOutput* out) {
    Return packet;
    packet.flow = key.flow;
    packet.nonce = key.nonce;
    packet.request = key.number;
    packet.refused = true;
    out->sends.push_back({balancer, std::move(packet)});
  }

  void Start(AgentOutput* out) {
    while (this->running < this->slots && !this->queue.empty()) {
      Request& request = this->requests.at(this->queue.front());
      this->queue.pop_front();
      request.running = true;
      ++this->running;
      for (HeldPacket& packet : request.held) {
        out->upstream.push_back({UpstreamAction::kDeliver, packet.packet,
                                 std::move(packet.payload)});
      }
      request.held.clear();
    }
  }

  AgentIdentity identity;
  uint32_t slots = 1;
  uint32_t running = 0;
  Millis max_wait;
  std::unordered_map<FlowKey, FlowNonce> flows;
  std::unordered_map<RequestKey, Request> requests;
  std::unordered_map<RequestKey, Endpoint> answered;
  std::deque<RequestKey> queue;
  AgentCounters counters;
};

}  // namespace cornelhill::naive
