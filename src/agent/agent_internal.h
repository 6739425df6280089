#pragma once

#include <string>

#include "cornelhill/agent/agent.h"

namespace cornelhill::internal {

// Hops on the longest path of a first packet: former home, home, second
// candidate, home, agent with a reserved slot, home.
constexpr uint32_t kMaxHops = 6;

inline RequestKey KeyOf(const PacketInfo& packet) {
  return {packet.flow, packet.nonce, packet.request};
}

// Returns whether a packet with nonce `seen` belongs to the flow with nonce
// `known`. A packet without a nonce belongs to the open flow of its key.
inline bool NonceMatches(FlowNonce known, FlowNonce seen) {
  return seen == FlowNonce() || known == seen;
}

inline FlowBuffer& BufferOf(Flow& flow) {
  if (flow.buffer == nullptr) flow.buffer = std::make_unique<FlowBuffer>();
  return *flow.buffer;
}

void SendAnswer(const RequestKey& key, Endpoint balancer, std::string payload,
                AgentOutput* out);
void SendRefusal(const RequestKey& key, Endpoint balancer,
                 const Refusal& refusal, std::string original,
                 AgentOutput* out);

}  // namespace cornelhill::internal
