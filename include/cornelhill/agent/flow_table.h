#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// State of the latest request of a flow.
enum class FlowState : uint8_t {
  kIdle,     // Answered; the flow is open and holds no slot.
  kQueued,   // Not started, or cancelled at the upstream and queued again.
  kRunning,  // Holds a slot.
};

// A packet held until its request starts.
struct HeldPacket {
  PacketInfo packet;
  std::string payload;
};

// Packets of a queued request and the answer of a running one.
struct FlowBuffer {
  std::vector<HeldPacket> held;
  // Packets delivered for a repeatable request, needed to queue it again.
  std::vector<HeldPacket> delivered;
  bool was_started = false;
  // Whether more packets were delivered after those in `delivered`.
  bool more_delivered = false;
  // Empty if the answer is too large to store.
  std::vector<std::string> answer;
  size_t answer_bytes = 0;
  // The latest packet delivered to the upstream; sent with a cancellation.
  std::string newest_payload;
};

// A flow owned by the upstream of this agent.
struct Flow {
  FlowNonce nonce;
  RequestNumber request;
  FlowState state = FlowState::kIdle;
  bool repeatable = false;
  bool caller_closed = false;
  bool upstream_closed = false;
  bool refused = false;  // Latest request; its late packets are not delivered.
  Endpoint balancer;     // Sent the latest packet; answers are sent to it.
  Millis accepted;
  Millis last_active;
  std::unique_ptr<FlowBuffer> buffer;  // Null while idle.
};

// The open flows of one upstream. Not thread-safe.
using FlowTable = std::unordered_map<FlowKey, Flow>;

}  // namespace cornelhill
