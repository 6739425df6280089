#pragma once

#include <bitset>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/base/verdict.h"

namespace cornelhill {

// Why a request was not served.
struct Refusal {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  Millis retry_after;

  bool operator==(const Refusal&) const = default;
};

// A datagram between caller and upstream (UDP ingress).
struct CallerDatagram {
  FlowNonce nonce;
  RequestNumber request;
  bool first = false;
  bool last = false;
  bool repeatable = false;
  bool cancel = false;
  bool resent = false;  // Set on retransmissions.
  Millis deadline;      // Remaining time; 0 means no deadline.
  bool refused = false;
  Refusal refusal;
  std::string payload;

  bool operator==(const CallerDatagram&) const = default;
};

// A packet encapsulated in the platform's tunnel.
struct Encapsulated {
  FlowKey flow;
  std::string payload;

  bool operator==(const Encapsulated&) const = default;
};

// Identifies a service and the configuration revision that the sender used.
struct ServiceRef {
  ServiceId id;
  Incarnation incarnation;
  Revision revision;

  bool operator==(const ServiceRef&) const = default;
};

// The packet metadata that an ingress plug-in extracts.
struct PacketInfo {
  FlowKey flow;
  FlowNonce nonce;
  RequestNumber request;
  bool first = false;
  bool last = false;
  bool reset = false;
  bool repeatable = false;
  bool cancel = false;
  bool resent = false;  // Set on retransmissions.
  Millis deadline;      // Remaining time; 0 means no deadline.

  bool operator==(const PacketInfo&) const = default;
};

// Why a packet was forwarded to an agent.
enum class ForwardRoute : uint8_t {
  kFromBalancer = 0,
  // From the home agent to the recorded owner of the flow.
  kToOwner = 1,
  // A new flow offered to the second candidate agent.
  kOffer = 2,
  // A new flow offered to an agent with slots reserved for short work.
  kOfferReserve = 3,
  // The agent declines an offered flow; the home agent selects again.
  kHandBack = 4,
  // From the former home agent to the current one, or the reverse during a
  // handover.
  kToHome = 5,
};

// Number of `ForwardRoute` values.
constexpr uint32_t kForwardRouteCount = 6;

// The home agent's classification of a caller's requests, for agents that have
// no statistics of their own.
enum class ClassHint : uint8_t {
  kNone = 0,
  kShort = 1,
  kLong = 2,
  kStraggler = 3,
};

// Number of `ClassHint` values.
constexpr uint32_t kClassHintCount = 4;

// A packet forwarded towards an upstream.
struct Forward {
  ServiceRef service;
  PacketInfo packet;
  Endpoint balancer;
  uint32_t hops = 0;
  ForwardRoute route = ForwardRoute::kFromBalancer;
  uint32_t load_milli = 0;  // Sender's load: 1000 * requests per slot.
  ClassHint class_hint = ClassHint::kNone;
  // Incarnation of the agent that the packet is addressed to.
  Incarnation target_incarnation;
  // The agent that forwarded the packet; zero if a balancer sent it.
  InstanceId sender;
  Incarnation sender_incarnation;
  std::string payload;

  bool operator==(const Forward&) const = default;
};

// A response packet, or a refusal, returned to the caller.
struct Return {
  FlowKey flow;
  FlowNonce nonce;
  RequestNumber request;
  bool refused = false;
  Refusal refusal;
  std::string payload;

  bool operator==(const Return&) const = default;
};

// Informs a balancer which agent owns a flow.
struct OwnerHint {
  FlowKey flow;
  FlowNonce nonce;
  ServiceId service;
  InstanceId owner_instance;
  Endpoint owner;

  bool operator==(const OwnerHint&) const = default;
};

// Informs the home agent that the sender owns a flow, or that the flow has
// closed.
struct OwnerReport {
  FlowKey flow;
  FlowNonce nonce;
  ServiceId service;
  bool closed = false;
  Incarnation owner_incarnation;

  bool operator==(const OwnerReport&) const = default;
};

// One bit for each bucket of a service.
using BucketSet = std::bitset<kBucketCount>;

// Requests the flows that the receiver has recorded for a set of buckets. After
// receiving it, the receiver must not place new flows of these buckets under an
// older revision.
struct DirectoryQuery {
  ServiceRef service;
  InstanceId requester;
  Incarnation requester_incarnation;
  BucketSet buckets;

  bool operator==(const DirectoryQuery&) const = default;
};

// The owner of a flow. The nonce tells successive flows with the same key
// apart.
struct FlowLocation {
  FlowKey flow;
  FlowNonce nonce;
  InstanceId owner;
  bool closed = false;
  Incarnation owner_incarnation;

  bool operator==(const FlowLocation&) const = default;
};

// One page of the reply to a `DirectoryQuery`.
struct DirectoryReply {
  ServiceRef service;  // Carries the revision of the query.
  InstanceId responder;
  Incarnation responder_incarnation;
  uint32_t page = 0;
  uint32_t page_count = 1;
  std::vector<FlowLocation> entries;

  bool operator==(const DirectoryReply&) const = default;
};

using DataMessage = std::variant<Forward, Return, OwnerHint, OwnerReport,
                                 DirectoryQuery, DirectoryReply>;

}  // namespace cornelhill
