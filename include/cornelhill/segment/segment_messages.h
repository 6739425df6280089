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

// What an upstream says of itself through its agent.
enum class UpstreamState : uint8_t {
  kUnknown = 0,  // Not heard yet, or not heard for too long.
  kReady = 1,
  kDraining = 2,
  kGone = 3,
};

// Number of `UpstreamState` values.
constexpr uint32_t kUpstreamStateCount = 4;

// Why an agent does not take a new flow.
enum class OfferRefusal : uint8_t {
  kNone = 0,
  kNotReady = 1,      // State other than ready.
  kWrongService = 2,  // The agent serves another service.
  kFull = 3,          // The upstream returned the packet.
  kStale = 4,         // The listener has changed since the balancer's version.
  kUnresponsive = 5,  // The upstream has not replied to the first packet.
  kBusy = 6,          // No free slot, and another agent has less load.
};

// Number of `OfferRefusal` values.
constexpr uint32_t kOfferRefusalCount = 7;

std::string_view ToString(UpstreamState state);
std::string_view ToString(OfferRefusal refusal);

enum class SegmentMessageKind : uint8_t {
  // Balancer to agent.
  kOffer = 1,    // First packet of a flow, for an agent that may take it.
  kDeliver = 2,  // A packet for the owner of its flow.
  kProbe = 3,    // A packet for whichever agent owns its flow.
  // Agent to balancer.
  kOfferAccepted = 4,  // The offer was taken.
  kOfferRefused = 5,   // The offer was not taken; holds the packet.
  kNotHeld = 6,        // The flow of a delivered packet is not known; holds it.
                       // Without a packet: that of a sought one.
  kOwnerFound = 7,     // The flow of a sought packet is held here.
  // Balancer to a home of the flow: a packet for its owner, which the receiver
  // finds. It passes the packet on as `kProbe`.
  kLookup = 8,
  kOwnerUpdate = 9,  // Agent to the homes of the flow: the sender holds it.
  // Home to balancer: every agent that the balancer named has said that it does
  // not hold the flow.
  kNoOwner = 10,
};

// A message between a balancer and an agent. Fields that a kind does not name
// keep their defaults.
struct SegmentMessage {
  SegmentMessageKind kind = SegmentMessageKind::kDeliver;
  std::string datagram;
  ServiceKey service;             // Offer: for which service.
  uint64_t listener_version = 0;  // Offer: of the sender's listeners.
  uint64_t listener_shares = 0;   // Offer: hash of the listener's shares.
  uint32_t tries = 0;             // Offer and refusal: offers made before.
  OfferRefusal refusal = OfferRefusal::kNone;
  SegmentFlow flow;  // Held, load, not held, holds and no holder.
  // Offer: the homes, which keep the address of the flow's owner. Seek at home:
  // agents that may hold the flow, the likely ones first.
  std::vector<Endpoint> agents;
  // Seek at home: so many of `agents`, at the front, have said nothing lately
  // and need not answer.
  uint32_t silent_agents = 0;
  Endpoint requester;  // Seek: the balancer that the home asks for.
  // From an agent: busy flows per slot times 1000. Offer: an agent with more is
  // a worse choice than the balancer's next one.
  uint32_t load_milli = 0;
  uint32_t open_flows = 0;                        // From an agent.
  UpstreamState state = UpstreamState::kUnknown;  // From an agent.

  bool operator==(const SegmentMessage&) const = default;
};

// One agent as core members and balancers know it.
struct AgentRecord {
  Endpoint address;  // Of its data socket.
  ServiceKey service;
  std::string failure_domain;
  Incarnation incarnation;  // Of its upstream.
  UpstreamState state = UpstreamState::kUnknown;
  uint32_t slots = 1;
  uint32_t load_milli = 0;
  uint32_t open_flows = 0;
  Millis age;  // Time since the agent said so.

  bool operator==(const AgentRecord&) const = default;
};

// From a daemon to a core member, periodically and on a change.
struct Hello {
  bool balancer = false;
  bool directory = false;  // Asks for the agents, too.
  uint64_t listener_version = 0;
  std::vector<AgentRecord> agent;  // At most one: of the sender.
};

// From a core member to a daemon.
struct Update {
  ListenerDelta listeners;  // `to` is 0 where there is none.
  std::vector<AgentRecord> agents;
  std::vector<std::string> members;  // Addresses of the core members.
  // `agents` are all that live: the sender has run long enough to have heard of
  // each.
  bool complete = false;
};

// From a core member without a member id, or one that may have been removed.
struct CoreJoin {
  std::string address;
  uint64_t token = 0;
  uint64_t member = 0;
};

struct CoreJoinReply {
  uint64_t token = 0;
  uint64_t member = 0;
  bool removed = false;
  std::string leader;
};

// A consensus message in its own encoding.
struct CoreConsensus {
  std::string message;
  std::string from;
};

// From a leader that stops, to the other core members.
struct CoreHandOver {
  uint64_t member = 0;
};

using NodeMessage = std::variant<Hello, Update, CoreJoin, CoreJoinReply,
                                 CoreConsensus, CoreHandOver>;

// A message and where it goes.
struct PeerMessage {
  Endpoint to;
  SegmentMessage message;
};

// A packet for a caller, whose end of the flow is `caller`.
struct CallerPacket {
  Endpoint caller;
  std::string datagram;
};

// Agents that one message may name.
constexpr size_t kMaxListedAgents = 200;
// So many agents are likely to hold a flow and are asked first. A flow is
// placed at one of eight agents that its addresses select; agents that joined
// since have moved these down.
constexpr size_t kLikelyOwners = 12;

// Encoders never fail. Decoders fail with `kMalformed`, `kTooLarge` or
// `kUnsupportedVersion`. All are thread-safe.
std::string Encode(SegmentMessage message);
std::string Encode(const NodeMessage& message);
Result<SegmentMessage> DecodeSegmentMessage(std::string_view bytes);
Result<NodeMessage> DecodeNodeMessage(std::string_view bytes);

}  // namespace cornelhill
