#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/control/command.h"
#include "cornelhill/control/service_change.h"

namespace cornelhill {

// Extends the lease of an agent that has announced itself, or ends it where
// the agent is `leaving`.
struct Renewal {
  InstanceId instance;
  Incarnation incarnation;
  uint64_t sequence = 0;
  bool leaving = false;

  bool operator==(const Renewal&) const = default;
};

enum class RenewalStatus : uint8_t {
  // The leader holds a lease that covers the renewal.
  kGranted = 0,
  // The collector needs the whole announcement.
  kUnknown = 1,
  // The incarnation is too low or its lease has ended.
  kRefused = 2,
};

// Number of `RenewalStatus` values.
constexpr uint32_t kRenewalStatusCount = 3;

// From a collector to an agent. Where refused, the agent continues under an
// incarnation above `known`.
struct RenewalAck {
  InstanceId instance;
  Incarnation incarnation;
  uint64_t sequence = 0;
  RenewalStatus status = RenewalStatus::kGranted;
  Incarnation known;

  bool operator==(const RenewalAck&) const = default;
};

// A changed slot of a collector's roster. `removed` where the agent has said
// that it leaves.
struct RosterEntry {
  uint32_t slot = 0;
  bool removed = false;
  Announcement announcement;

  bool operator==(const RosterEntry&) const = default;
};

// From a collector to the leader, once a period. `entries` bring the leader
// from roster version `base` to `roster_version`; bit i of `renewed` is set
// where slot i renewed.
struct DomainSummary {
  FailureDomainId failure_domain;
  InstanceId collector;
  uint64_t epoch = 0;
  uint64_t number = 0;
  uint64_t base = 0;
  uint64_t roster_version = 0;
  std::vector<RosterEntry> entries;
  std::string renewed;

  bool operator==(const DomainSummary&) const = default;
};

// A lease that the leader did not extend, with the refused incarnation and the
// highest one known.
struct RefusedLease {
  InstanceId instance;
  Incarnation incarnation;
  Incarnation known;

  bool operator==(const RefusedLease&) const = default;
};

// The leader's reply. A `roster_version` below the summary's `base` asks for
// the entries since then.
struct SummaryAck {
  FailureDomainId failure_domain;
  InstanceId collector;
  uint64_t epoch = 0;
  uint64_t number = 0;
  uint64_t roster_version = 0;
  uint64_t term = 0;
  std::vector<RefusedLease> refused;

  bool operator==(const SummaryAck&) const = default;
};

// A process that cannot reach an upstream's agent tells the leader.
struct LossReport {
  InstanceId observer;
  InstanceId instance;
  Incarnation incarnation;

  bool operator==(const LossReport&) const = default;
};

// A process that is behind, with the revision it has in effect.
struct Lagging {
  InstanceId instance;
  Revision revision;

  bool operator==(const Lagging&) const = default;
};

// What the processes of a subtree have in effect. The number of `lagging` is
// bounded, so that the report's size does not grow with the subtree.
struct EffectReport {
  uint32_t processes = 0;
  Revision lowest;
  std::vector<Lagging> lagging;  // The furthest behind first.

  bool operator==(const EffectReport&) const = default;
};

// From a process to its parent, once a second.
struct SpreadDigest {
  InstanceId sender;
  uint64_t number = 0;
  uint64_t term = 0;
  Revision revision;
  uint64_t hash = 0;
  uint64_t subscription_hash = 0;
  bool has_subscription = false;
  Subscription subscription;
  EffectReport report;
  bool want_whole = false;  // What was sent last did not fit.
  Millis uptime;            // Set by a process with nothing in effect.

  bool operator==(const SpreadDigest&) const = default;
};

enum class SpreadStatus : uint8_t {
  kOk = 0,
  // The parent has its full number of children.
  kFull = 1,
  // The parent does not know the child's subscription.
  kNeedSubscription = 2,
  // The parent itself holds nothing confirmed, or not all services asked for.
  kCannotConfirm = 3,
};

// Number of `SpreadStatus` values.
constexpr uint32_t kSpreadStatusCount = 4;

// From a parent to a child. `number` is that of the digest it replies to, or 0
// where it was sent because of a change. `confirmed_age` is an upper bound of
// the time since a quorum confirmed `term` and `revision`.
struct SpreadUpdate {
  InstanceId sender;
  uint64_t number = 0;
  SpreadStatus status = SpreadStatus::kOk;
  uint64_t term = 0;
  Millis confirmed_age;
  uint64_t subscription_hash = 0;
  StoreUpdate update;

  bool operator==(const SpreadUpdate&) const = default;
};

enum class OperatorRequestKind : uint8_t {
  kStatus = 0,
  kServices = 1,
  kUpstreams = 2,
  kDrain = 3,
  kUndrain = 4,
  kWeight = 5,
  kApply = 6,
  // Returns the declaration and its revision, for `diff` and as base of an
  // `apply`.
  kDeclaration = 7,
  kHistory = 8,
  kMembers = 9,
};

// Number of `OperatorRequestKind` values.
constexpr uint32_t kOperatorRequestKindCount = 10;

// From the operator's tool to a control instance.
struct OperatorRequest {
  std::string request_id;
  std::string operator_name;
  OperatorRequestKind kind = OperatorRequestKind::kStatus;
  std::string service;      // kUpstreams; empty means all.
  InstanceId instance;      // kDrain, kUndrain, kWeight.
  uint32_t weight = 0;      // kWeight.
  uint32_t limit = 0;       // kHistory; 0 means all that is kept.
  Revision base;            // kApply.
  Declaration declaration;  // kApply.

  bool operator==(const OperatorRequest&) const = default;
};

enum class OperatorOutcome : uint8_t {
  kOk = 0,
  kUnchanged = 1,
  kConflict = 2,
  kNotFound = 3,
  kInvalid = 4,
  // Another instance leads; `leader` is its endpoint.
  kNotLeader = 5,
  // The instance cannot reach a quorum, so it answers nothing.
  kCannotConfirm = 6,
};

// Number of `OperatorOutcome` values.
constexpr uint32_t kOperatorOutcomeCount = 7;

// One service as `services` and `status` list it.
struct ServiceStatus {
  ServiceId id;
  Incarnation incarnation;
  Revision revision;
  std::string name;
  Endpoint address;
  std::string application;
  uint32_t upstreams = 0;
  uint32_t draining = 0;
  uint32_t slots = 0;

  bool operator==(const ServiceStatus&) const = default;
};

struct HistoryEntry {
  ChangeRef change;
  std::string summary;

  bool operator==(const HistoryEntry&) const = default;
};

// One member of the group of control instances.
struct MemberStatus {
  InstanceId instance;
  Endpoint endpoint;
  bool voter = true;
  bool leader = false;

  bool operator==(const MemberStatus&) const = default;
};

struct OperatorResponse {
  std::string request_id;
  OperatorOutcome outcome = OperatorOutcome::kOk;
  std::string message;
  uint64_t term = 0;
  Revision revision;
  ChangeRef lost_to;  // Set where `outcome` is `kConflict`.
  Endpoint leader;    // Set where `outcome` is `kNotLeader` and it is known.
  Revision declaration_revision;
  Declaration declaration;
  std::vector<ServiceStatus> services;
  std::vector<UpstreamInfo> upstreams;
  std::vector<HistoryEntry> history;
  std::vector<MemberStatus> members;
  EffectReport report;

  bool operator==(const OperatorResponse&) const = default;
};

// A message of the replicated log, encoded by its own codec.
struct ConsensusPacket {
  std::string message;

  bool operator==(const ConsensusPacket&) const = default;
};

// From a control instance without a data directory: asks to become a member.
struct JoinRequest {
  std::string name;
  Endpoint endpoint;
  uint64_t token = 0;  // Drawn once for each new data directory.

  bool operator==(const JoinRequest&) const = default;
};

// The member id that the group has given to a joining instance.
struct JoinReply {
  uint64_t token = 0;
  uint64_t member = 0;

  bool operator==(const JoinReply&) const = default;
};

using ControlMessage =
    std::variant<Announcement, Renewal, RenewalAck, DomainSummary, SummaryAck,
                 LossReport, SpreadDigest, SpreadUpdate, OperatorRequest,
                 OperatorResponse, ConsensusPacket, JoinRequest, JoinReply>;

}  // namespace cornelhill
