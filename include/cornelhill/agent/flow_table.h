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

// Where the latest request of a flow stands.
enum class FlowState : uint8_t {
  kIdle,     // Answered; the flow is open and holds no slot.
  kQueued,   // Waits for its turn; no packet has reached the upstream.
  kRunning,  // Holds a slot.
};

// A packet kept until the request's turn.
struct HeldPacket {
  PacketInfo packet;
  std::string payload;
};

// Packets of a request that waits, and the answer of one that runs.
struct FlowBuffer {
  std::vector<HeldPacket> held;
  // What a repeatable request has had delivered, should it be queued again.
  std::vector<HeldPacket> delivered;
  bool was_started = false;
  // Whether packets followed those in `delivered`.
  bool more_delivered = false;
  // Empty where the answer is too large to keep.
  std::vector<std::string> answer;
  size_t answer_bytes = 0;
  // The newest packet passed to the upstream, for a cancellation.
  std::string newest_payload;
};

// A flow that the upstream of this agent began.
struct Flow {
  FlowNonce nonce;
  RequestNumber request;
  FlowState state = FlowState::kIdle;
  bool repeatable = false;
  bool caller_closed = false;
  bool upstream_closed = false;
  bool refused = false;  // The latest request; its late packets go nowhere.
  Endpoint balancer;     // Forwarded the newest packet; answers go there.
  Millis accepted;
  Millis last_active;
  std::unique_ptr<FlowBuffer> buffer;  // Null while idle.
};

// The open flows of one upstream. Not thread-safe.
using FlowTable = std::unordered_map<FlowKey, Flow>;

}  // namespace cornelhill
