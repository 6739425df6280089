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

// Extends the lease of an announced agent, or ends it if the agent is
// `leaving`.
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
  // The collector does not know the agent and needs its announcement.
  kUnknown = 1,
  // The incarnation is too low or its lease has expired.
  kRefused = 2,
};

// Number of `RenewalStatus` values.
constexpr uint32_t kRenewalStatusCount = 3;

// From a collector to an agent. If refused, the agent continues under an
// incarnation above `known`.
struct RenewalAck {
  InstanceId instance;
  Incarnation incarnation;
  uint64_t sequence = 0;
  RenewalStatus status = RenewalStatus::kGranted;
  Incarnation known;

  bool operator==(const RenewalAck&) const = default;
};

// A changed slot of a collector's roster. `removed` is set if the agent
// announced that it leaves.
struct RosterEntry {
  uint32_t slot = 0;
  bool removed = false;
  Announcement announcement;

  bool operator==(const RosterEntry&) const = default;
};

// From a collector to the leader, once per period. `entries` are the changes
// from roster version `base` to `roster_version`; bit i of `renewed` is set if
// the agent in slot i renewed its lease.
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
// highest known one.
struct RefusedLease {
  InstanceId instance;
  Incarnation incarnation;
  Incarnation known;

  bool operator==(const RefusedLease&) const = default;
};

// From the leader to a collector. A `roster_version` below the summary's `base`
// requests the entries changed since that version.
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

// Reports to the leader that `observer` cannot reach an upstream's agent.
struct LossReport {
  InstanceId observer;
  InstanceId instance;
  Incarnation incarnation;

  bool operator==(const LossReport&) const = default;
};

// A process that is behind the current revision, with the one it has in effect.
struct Lagging {
  InstanceId instance;
  Revision revision;

  bool operator==(const Lagging&) const = default;
};

// The revisions that the processes of a subtree have in effect. `lagging` has
// at most `kMaxLaggingProcesses` entries, so that the size of the report does
// not grow with the subtree.
struct EffectReport {
  uint32_t processes = 0;
  Revision lowest;
  std::vector<Lagging> lagging;  // Furthest behind first.

  bool operator==(const EffectReport&) const = default;
};

// From a process to its parent in the distribution tree, once a second.
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
  bool want_whole = false;  // The last update could not be applied.
  Millis uptime;            // Set by a process without a revision in effect.

  bool operator==(const SpreadDigest&) const = default;
};

enum class SpreadStatus : uint8_t {
  kOk = 0,
  // The parent has the maximum number of children.
  kFull = 1,
  // The parent does not know the child's subscription.
  kNeedSubscription = 2,
  // The parent has no confirmed revision, or lacks some of the subscribed
  // services.
  kCannotConfirm = 3,
};

// Number of `SpreadStatus` values.
constexpr uint32_t kSpreadStatusCount = 4;

// From a parent to a child. `number` is that of the digest it replies to, or 0
// if a change triggered the update. `confirmed_age` is an upper bound on the
// time since a quorum confirmed `term` and `update.revision`.
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
  // Returns the declaration and its revision, for `diff` and as the base of an
  // `apply`.
  kDeclaration = 7,
  kHistory = 8,
  kMembers = 9,
};

// Number of `OperatorRequestKind` values.
constexpr uint32_t kOperatorRequestKindCount = 10;

// From the operator's command-line tool to a control instance.
struct OperatorRequest {
  std::string request_id;
  std::string operator_name;
  OperatorRequestKind kind = OperatorRequestKind::kStatus;
  std::string service;      // kUpstreams; empty selects all.
  InstanceId instance;      // kDrain, kUndrain, kWeight.
  uint32_t weight = 0;      // kWeight.
  uint32_t limit = 0;       // kHistory; 0 means all that are retained.
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
  // Another instance is the leader; `leader` is its endpoint.
  kNotLeader = 5,
  // The instance cannot reach a quorum, so it cannot answer.
  kCannotConfirm = 6,
};

// Number of `OperatorOutcome` values.
constexpr uint32_t kOperatorOutcomeCount = 7;

// One service as listed by `services` and `status`.
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
  ChangeRef lost_to;  // Set if `outcome` is `kConflict`.
  Endpoint leader;    // Set if `outcome` is `kNotLeader` and it is known.
  Revision declaration_revision;
  Declaration declaration;
  std::vector<ServiceStatus> services;
  std::vector<UpstreamInfo> upstreams;
  std::vector<HistoryEntry> history;
  std::vector<MemberStatus> members;
  EffectReport report;

  bool operator==(const OperatorResponse&) const = default;
};

// A consensus message of the replicated log, encoded by the consensus codec.
struct ConsensusPacket {
  std::string message;

  bool operator==(const ConsensusPacket&) const = default;
};

// From a control instance without a data directory: a request to become a
// member.
struct JoinRequest {
  std::string name;
  Endpoint endpoint;
  uint64_t token = 0;  // Random; generated once per new data directory.

  bool operator==(const JoinRequest&) const = default;
};

// The member id that the group has assigned to a joining instance.
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
