#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/config/declaration.h"

namespace cornelhill {

// Limits enforced by the decoders and by `ControlState`.
constexpr size_t kMaxNameBytes = 64;  // Services, applications, operators.
constexpr size_t kMaxRequestIdBytes = 64;
constexpr size_t kMaxListenerDocumentBytes = size_t{960} * 1024;
constexpr uint32_t kMaxSlots = 65535;
constexpr uint32_t kMaxWeight = 10000;

// The registration of an agent and its upstream. An announcement also renews
// the lease; `sequence` is its number in the sequence of renewals.
struct Announcement {
  InstanceId instance;
  Incarnation incarnation;
  std::string application;
  Endpoint agent;
  FailureDomainId failure_domain;
  uint32_t slots = 1;
  uint32_t weight = 100;
  uint64_t sequence = 0;

  bool operator==(const Announcement&) const = default;
};

// Replaces the declaration. `base` identifies the declaration that the operator
// edited, by the revision of the `PutDeclaration` that put it into effect.
struct PutDeclaration {
  Revision base;
  Declaration declaration;

  bool operator==(const PutDeclaration&) const = default;
};

// Adds an upstream, or replaces the announcement of its instance.
struct UpstreamJoin {
  Announcement announcement;

  bool operator==(const UpstreamJoin&) const = default;
};

// Removes an upstream. Has no effect on a later incarnation of the instance.
struct UpstreamLeave {
  InstanceId instance;
  Incarnation incarnation;
  // The agent did not announce that it leaves, so its flow state is lost.
  bool lost = false;

  bool operator==(const UpstreamLeave&) const = default;
};

// Removes a lost upstream from the list of losses in its service's view.
struct ForgetLost {
  InstanceId instance;
  Incarnation incarnation;

  bool operator==(const ForgetLost&) const = default;
};

// Starts (`draining`) or ends the drain of an upstream.
struct UpstreamDrain {
  InstanceId instance;
  bool draining = true;

  bool operator==(const UpstreamDrain&) const = default;
};

// Sets the weight of an upstream; 0 returns to the announced weight.
struct UpstreamWeight {
  InstanceId instance;
  uint32_t weight = 0;

  bool operator==(const UpstreamWeight&) const = default;
};

// Replaces the listeners if `version` is above the version in effect; an equal
// or lower version changes nothing. `document` is in the operator's format and
// is validated before it is proposed.
struct PutListeners {
  uint64_t version = 0;
  std::string document;

  bool operator==(const PutListeners&) const = default;
};

// A change to the replicated state. `request_id` makes it idempotent.
struct Command {
  std::string request_id;
  std::string operator_name;  // Empty for commands from the lease table.
  std::variant<PutDeclaration, UpstreamJoin, UpstreamLeave, UpstreamDrain,
               UpstreamWeight, ForgetLost, PutListeners>
      body;

  bool operator==(const Command&) const = default;
};

// Identifies a change in the log and the operator who made it.
struct ChangeRef {
  Revision revision;
  std::string operator_name;
  std::string request_id;

  bool operator==(const ChangeRef&) const = default;
};

enum class CommandOutcome : uint8_t {
  kApplied = 0,
  // The state already matched the command.
  kUnchanged = 1,
  // The base is out of date; `lost_to` is the change that is in effect.
  kConflict = 2,
  kNotFound = 3,
  kInvalid = 4,
  // The incarnation is not above the last known one of the instance.
  kStaleIncarnation = 5,
};

// Number of `CommandOutcome` values.
constexpr uint32_t kCommandOutcomeCount = 6;

struct CommandResponse {
  CommandOutcome outcome = CommandOutcome::kApplied;
  Revision revision;  // Of the log entry with the command.
  std::string message;
  ChangeRef lost_to;  // Set if `outcome` is `kConflict`.

  bool operator==(const CommandResponse&) const = default;
};

}  // namespace cornelhill
