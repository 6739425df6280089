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

// Limits that the decoders and `ControlState` enforce.
constexpr size_t kMaxNameBytes = 64;  // Services, applications, operators.
constexpr size_t kMaxRequestIdBytes = 64;
// Largest listener document.
constexpr size_t kMaxListenerDocumentBytes = size_t{512} * 1024;
constexpr uint32_t kMaxSlots = 65535;
constexpr uint32_t kMaxWeight = 10000;

// What an agent says of itself and its upstream. `sequence` is the number of
// the renewal that the announcement counts as.
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

// Replaces the declaration. `base` is the revision of the declaration that the
// operator edited: the revision of the `PutDeclaration` that wrote it.
struct PutDeclaration {
  Revision base;
  Declaration declaration;

  bool operator==(const PutDeclaration&) const = default;
};

// Adds an upstream or replaces what is known of its instance.
struct UpstreamJoin {
  Announcement announcement;

  bool operator==(const UpstreamJoin&) const = default;
};

// Removes an upstream. Without effect on a later incarnation of the instance.
struct UpstreamLeave {
  InstanceId instance;
  Incarnation incarnation;
  // Its agent did not say that it leaves: what it knew of flows is lost.
  bool lost = false;

  bool operator==(const UpstreamLeave&) const = default;
};

// Ends the time in which the loss of an upstream is stated in the view of its
// service.
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

// Replaces the listeners where `version` is above the one in effect; an equal
// or lower version changes nothing. `document` is in the operator's format and
// was checked before it was proposed.
struct PutListeners {
  uint64_t version = 0;
  std::string document;

  bool operator==(const PutListeners&) const = default;
};

// A change of the replicated state. `request_id` makes it idempotent.
struct Command {
  std::string request_id;
  std::string operator_name;  // Empty for commands of the lease table.
  std::variant<PutDeclaration, UpstreamJoin, UpstreamLeave, UpstreamDrain,
               UpstreamWeight, ForgetLost, PutListeners>
      body;

  bool operator==(const Command&) const = default;
};

// Names a change in the log and who made it.
struct ChangeRef {
  Revision revision;
  std::string operator_name;
  std::string request_id;

  bool operator==(const ChangeRef&) const = default;
};

enum class CommandOutcome : uint8_t {
  kApplied = 0,
  // The state already was as the command asks.
  kUnchanged = 1,
  // Another change on the same base won; `lost_to` names the latest.
  kConflict = 2,
  kNotFound = 3,
  kInvalid = 4,
  // The incarnation is not above the last one known of the instance.
  kStaleIncarnation = 5,
};

// Number of `CommandOutcome` values.
constexpr uint32_t kCommandOutcomeCount = 6;

struct CommandResponse {
  CommandOutcome outcome = CommandOutcome::kApplied;
  Revision revision;  // Of the entry that carried the command.
  std::string message;
  ChangeRef lost_to;  // Set where `outcome` is `kConflict`.

  bool operator==(const CommandResponse&) const = default;
};

}  // namespace cornelhill
