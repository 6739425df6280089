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

// Header of a datagram between caller and upstream (udp ingress).
struct CallerDatagram {
  FlowNonce nonce;
  RequestNumber request;
  bool first = false;
  bool last = false;
  bool repeatable = false;
  bool cancel = false;
  bool resent = false;  // Set on every transmission but the first.
  Millis deadline;      // Remaining time; 0 means none.
  bool refused = false;
  Refusal refusal;
  std::string payload;

  bool operator==(const CallerDatagram&) const = default;
};

// A packet in the platform's tunnel.
struct Encapsulated {
  FlowKey flow;
  std::string payload;

  bool operator==(const Encapsulated&) const = default;
};

// Names a service together with the state the sender acted on.
struct ServiceRef {
  ServiceId id;
  Incarnation incarnation;
  Revision revision;

  bool operator==(const ServiceRef&) const = default;
};

// What an ingress plug-in reads from a packet of a flow.
struct PacketInfo {
  FlowKey flow;
  FlowNonce nonce;
  RequestNumber request;
  bool first = false;
  bool last = false;
  bool reset = false;
  bool repeatable = false;
  bool cancel = false;
  bool resent = false;  // Set on every transmission but the first.
  Millis deadline;      // Remaining time; 0 means none.

  bool operator==(const PacketInfo&) const = default;
};

// How a packet came to an agent.
enum class ForwardRoute : uint8_t {
  kFromBalancer = 0,
  // From the home agent to the owner it has recorded.
  kToOwner = 1,
  // A new flow offered to the second candidate.
  kOffer = 2,
  // A new flow offered to an agent with slots reserved for short work.
  kOfferReserve = 3,
  // The offered agent declines; the home decides again.
  kHandBack = 4,
  // From a former home to the present one, or the reverse during a handover.
  kToHome = 5,
};

// Number of `ForwardRoute` values.
constexpr uint32_t kForwardRouteCount = 6;

// What the home agent has learned of a caller's work, for an agent that has
// not.
enum class ClassHint : uint8_t {
  kNone = 0,
  kShort = 1,
  kLong = 2,
  kStraggler = 3,
};

// Number of `ClassHint` values.
constexpr uint32_t kClassHintCount = 4;

// A packet on its way to the upstream.
struct Forward {
  ServiceRef service;
  PacketInfo packet;
  Endpoint balancer;
  uint32_t hops = 0;
  ForwardRoute route = ForwardRoute::kFromBalancer;
  uint32_t load_milli = 0;  // Sender's load: requests per slot times 1000.
  ClassHint class_hint = ClassHint::kNone;
  // Life of the agent that the packet is meant for.
  Incarnation target_incarnation;
  // The agent that passed the packet on; zero from a balancer.
  InstanceId sender;
  Incarnation sender_incarnation;
  std::string payload;

  bool operator==(const Forward&) const = default;
};

// A packet of an answer, or a refusal, on its way to the caller.
struct Return {
  FlowKey flow;
  FlowNonce nonce;
  RequestNumber request;
  bool refused = false;
  Refusal refusal;
  std::string payload;

  bool operator==(const Return&) const = default;
};

// Tells a balancer which agent owns a flow.
struct OwnerHint {
  FlowKey flow;
  FlowNonce nonce;
  ServiceId service;
  InstanceId owner_instance;
  Endpoint owner;

  bool operator==(const OwnerHint&) const = default;
};

// Tells the home agent that the sender owns a flow, or that the flow closed.
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

// Asks what the receiver knows of the flows of some buckets. The receiver
// promises to decide on no new flow of these buckets under an older revision.
struct DirectoryQuery {
  ServiceRef service;
  InstanceId requester;
  Incarnation requester_incarnation;
  BucketSet buckets;

  bool operator==(const DirectoryQuery&) const = default;
};

// Where one use of a flow key lives.
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
  ServiceRef service;  // Revision of the query.
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
