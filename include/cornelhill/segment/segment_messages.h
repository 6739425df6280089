#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/segment/listener_table.h"
#include "cornelhill/segment/segment.h"

namespace cornelhill {

// State of an upstream as its agent reports it.
enum class UpstreamState : uint8_t {
  kUnknown = 0,  // No report yet, or the last report has timed out.
  kReady = 1,
  kDraining = 2,
  kGone = 3,
};

// Number of `UpstreamState` values.
constexpr uint32_t kUpstreamStateCount = 4;

// Why an agent refuses an offered flow.
enum class OfferRefusal : uint8_t {
  kNone = 0,
  kNotReady = 1,      // The upstream is in a state other than ready.
  kWrongService = 2,  // The agent serves another service.
  kFull = 3,          // The upstream returned the packet.
  kStale = 4,         // The listener's shares have changed since the version
                      // that the balancer stated.
  kUnresponsive = 5,  // The upstream has not replied to the first packet.
  kBusy = 6,          // No free slot, and another agent is less loaded.
};

// Number of `OfferRefusal` values.
constexpr uint32_t kOfferRefusalCount = 7;

std::string_view ToString(UpstreamState state);
std::string_view ToString(OfferRefusal refusal);

enum class SegmentMessageKind : uint8_t {
  // Balancer to agent.
  kOffer = 1,    // First packet of a flow, for an agent that may take it.
  kDeliver = 2,  // A packet for the owner of its flow.
  kProbe = 3,    // Sent by a home agent: a packet for the owner of its flow,
                 // in case the receiver is the owner.
  // Agent to balancer.
  kOfferAccepted = 4,
  kOfferRefused = 5,  // Contains the offered packet.
  // The sender does not have the flow. In reply to a delivery it contains the
  // packet; in reply to a probe, which goes to the home agent, only the flow.
  kNotHeld = 6,
  kOwnerFound = 7,  // In reply to a probe: the sender owns the flow.
  // Balancer to a home agent of the flow: a packet for the flow's owner, which
  // the home agent finds. It forwards the packet as `kProbe`.
  kLookup = 8,
  kOwnerUpdate = 9,  // Agent to the flow's home agents: the sender owns it.
  // Home agent to balancer: every agent that the balancer listed has replied
  // that it does not have the flow.
  kNoOwner = 10,
};

// A message between balancers and agents, or between agents. Fields not used by
// a kind have their defaults.
struct SegmentMessage {
  SegmentMessageKind kind = SegmentMessageKind::kDeliver;
  std::string datagram;
  ServiceKey service;             // Offer: the service to serve the flow.
  uint64_t listener_version = 0;  // Offer: of the sender's listeners.
  uint64_t listener_shares = 0;   // Offer: hash of the listener's shares.
  uint32_t tries = 0;  // Offer and refusal: number of earlier offers.
  OfferRefusal refusal = OfferRefusal::kNone;
  // Offer: of the flow's listener.
  Millis timeout;
  Millis target_latency;
  uint32_t priority = 0;
  SegmentFlow flow;  // `kOfferAccepted`, `kNotHeld`, `kOwnerFound`,
                     // `kOwnerUpdate` and `kNoOwner`.
  // Offer: the flow's home agents, which store the address of its owner.
  // Lookup: the agents that may own the flow: silent ones, likely owners, all
  // others.
  std::vector<Endpoint> agents;
  // Lookup: the number of agents at the front of `agents` that have not
  // reported lately. Their answer is not waited for.
  uint32_t silent_agent_count = 0;
  Endpoint requester;  // Probe: the balancer that looks up the owner.
  // From an agent: busy flows per slot times 1000. Offer: the load above which
  // the balancer's next choice is the better one.
  uint32_t load_milli = 0;
  uint32_t open_flows = 0;                        // From an agent.
  UpstreamState state = UpstreamState::kUnknown;  // From an agent.

  bool operator==(const SegmentMessage&) const = default;
};

// An agent in the directory of core members and balancers.
struct AgentRecord {
  Endpoint address;  // Of its data socket.
  ServiceKey service;
  std::string failure_domain;
  Incarnation incarnation;  // Of its upstream.
  UpstreamState state = UpstreamState::kUnknown;
  uint32_t slots = 1;
  uint32_t load_milli = 0;
  uint32_t open_flows = 0;
  Millis age;  // Time since the agent reported this.

  bool operator==(const AgentRecord&) const = default;
};

// From a daemon to a core member, sent periodically and on each change.
struct Hello {
  bool balancer = false;
  bool directory = false;  // Requests the agent directory.
  uint64_t listener_version = 0;
  std::vector<AgentRecord> agent;  // At most one, of the sender.
};

// From a core member to a daemon.
struct Update {
  ListenerDelta listeners;  // None if `to` is 0.
  std::vector<AgentRecord> agents;
  std::vector<std::string> members;  // Addresses of the core members.
  // `agents` contains every live agent: the sender has run long enough to have
  // received a report of each.
  bool complete = false;
};

// From a core member that has no member id, may have been removed or shuts
// down.
struct CoreJoin {
  std::string address;
  uint64_t token = 0;
  uint64_t member = 0;
  bool leaving = false;  // Asks to be removed.
  // Takes part in the first start of the deployment, without a data directory.
  bool founding = false;
};

struct CoreJoinReply {
  uint64_t token = 0;
  uint64_t member = 0;
  bool removed = false;
  std::string leader;
};

// An encoded consensus message.
struct CoreConsensus {
  std::string message;
  std::string from;
};

// From a leader that shuts down, to the other core members.
struct CoreHandOver {
  uint64_t member = 0;
};

using NodeMessage = std::variant<Hello, Update, CoreJoin, CoreJoinReply,
                                 CoreConsensus, CoreHandOver>;

// A message and its destination.
struct PeerMessage {
  Endpoint to;
  SegmentMessage message;
};

// A packet to a caller.
struct CallerPacket {
  Endpoint caller;
  std::string datagram;
};

// Maximum number of agents in one message.
constexpr size_t kMaxListedAgents = 200;
// Number of agents that are probed first. A flow is placed at one of the eight
// agents that rank first for its addresses; agents that joined since then may
// have moved the owner further down the ranking.
constexpr size_t kLikelyOwners = 12;

// Encoding never fails. Decoding fails with `kMalformed`, `kTooLarge` or
// `kUnsupportedVersion`. All functions are thread-safe.
std::string Encode(SegmentMessage message);
std::string Encode(const NodeMessage& message);
Result<SegmentMessage> DecodeSegmentMessage(std::string_view bytes);
Result<NodeMessage> DecodeNodeMessage(std::string_view bytes);

}  // namespace cornelhill
