#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/turn/scheduling_decision.h"
#include "cornelhill/turn/work_class.h"

namespace cornelhill {

// Limits of a message that inspects an agent. Both kinds of reply at their
// limit fit into the size.
constexpr size_t kMaxInspectBytes = size_t{1} << 20;
constexpr uint32_t kMaxFlowsPerPage = 1000;
constexpr size_t kMaxExplainedDecisions = 128;
constexpr size_t kMaxExplanationBytes = 4096;

// Where the latest request of a flow stands.
enum class InspectedState : uint8_t { kIdle, kQueued, kRunning };

// Returns the name used on the command line, e.g. "queued". Thread-safe.
std::string_view ToString(InspectedState state);
std::string_view ToString(SchedulingOutcome outcome);

// Asks an agent for open flows, in the order of their keys.
struct FlowQuery {
  uint64_t query = 0;  // Chosen by the sender, copied into the reply.
  std::optional<FlowKey> after;
  uint32_t limit = kMaxFlowsPerPage;

  bool operator==(const FlowQuery&) const = default;
};

struct InspectedFlow {
  FlowKey flow;
  FlowNonce nonce;
  InspectedState state = InspectedState::kIdle;
  WorkClass work_class = WorkClass::kShort;
  Endpoint balancer;  // Forwarded the newest packet.
  Millis age;         // Since the agent accepted the flow.

  bool operator==(const InspectedFlow&) const = default;
};

struct FlowReply {
  uint64_t query = 0;
  std::string process;
  std::vector<InspectedFlow> flows;
  bool more = false;  // Flows after the last one were left out.

  bool operator==(const FlowReply&) const = default;
};

// Asks an agent for its scheduling decisions on a flow.
struct WhyQuery {
  uint64_t query = 0;
  FlowKey flow;

  bool operator==(const WhyQuery&) const = default;
};

struct ExplainedDecision {
  FlowNonce nonce;
  RequestNumber request;
  Millis decided;  // Wall time since the Unix epoch.
  Millis waited;
  SchedulingOutcome outcome = SchedulingOutcome::kStarted;
  WorkClass work_class = WorkClass::kShort;
  Revision revision;
  std::string text;  // Sentences for a caller.

  bool operator==(const ExplainedDecision&) const = default;
};

struct WhyReply {
  uint64_t query = 0;
  std::string process;
  std::vector<ExplainedDecision> decisions;  // Oldest first.
  bool truncated = false;                    // The earliest were left out.

  bool operator==(const WhyReply&) const = default;
};

using InspectMessage = std::variant<FlowQuery, FlowReply, WhyQuery, WhyReply>;

// Returns the evidence of a decision as it is sent. `to_wall` is the wall time
// at the start of the monotonic clock of the decision. Thread-safe.
ExplainedDecision Explain(const SchedulingDecision& decision, Millis to_wall);

// The encoder never fails; it leaves out what is beyond the limits and says so
// in the reply. The decoder fails with `kTooLarge`, `kMalformed` or
// `kUnsupportedVersion`. Both are thread-safe.
std::string Encode(const InspectMessage& message);
Result<InspectMessage> DecodeInspectMessage(std::string_view bytes);

}  // namespace cornelhill
