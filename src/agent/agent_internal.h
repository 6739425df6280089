#pragma once

#include <string>

#include "cornelhill/agent/agent.h"

namespace cornelhill::internal {

// Hops of the longest path of a first packet: former home, home, second
// candidate, home, agent with a reserved slot, home.
constexpr uint32_t kMaxHops = 6;

inline RequestKey KeyOf(const PacketInfo& packet) {
  return {packet.flow, packet.nonce, packet.request};
}

// Whether a packet belongs to a flow; a packet without a nonce belongs to the
// flow open under its key.
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
