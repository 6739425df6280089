#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/result.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/control/command.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/service_store.h"

namespace cornelhill {

// Capacity of each of the two response caches that deduplicate retries.
// Operator commands and lease table commands have separate caches, so that a
// restart of every agent does not evict a response that an operator may still
// request.
constexpr size_t kMaxCachedResponses = 4096;

// Maximum number of departed instances whose last incarnation, drain state and
// weight are retained.
constexpr size_t kMaxDepartedInstances = 4096;

// Largest snapshot that `Restore` accepts.
constexpr size_t kMaxSnapshotBytes = size_t{64} * 1024 * 1024;

// An upstream that has joined, with the settings that operators applied to it.
struct RegisteredUpstream {
  Announcement announcement;  // `sequence` is always 0.
  bool draining = false;
  uint32_t operator_weight = 0;  // 0 selects the announced weight.

  bool operator==(const RegisteredUpstream&) const = default;
};

// The deterministic state machine behind the replicated log: applying the same
// commands at the same revisions yields the same state and responses on every
// instance. An upstream belongs to the service that declares its application,
// so an instance is in at most one service. Not thread-safe.
class ControlState {
 public:
  // Applies the log entry at `revision`. Idempotent: while the response to a
  // request ID is cached, a repeated command returns it and changes nothing.
  // Requires `revision` to be above `CurrentRevision()`.
  CommandResponse Apply(Revision revision, const Command& command);

  // Advances to `revision` for a log entry without a command (e.g. a membership
  // change). Requires `revision` to be above `CurrentRevision()`.
  void Skip(Revision revision);

  // Returns the revision of the last entry applied or skipped.
  Revision CurrentRevision() const { return this->store.CurrentRevision(); }

  // Serializes and deserializes the complete state. `Restore` fails with
  // `kCorrupt`, `kTooLarge` or `kUnsupportedVersion`.
  std::string Snapshot() const;
  static Result<ControlState> Restore(std::string_view bytes);

  // Returns the view of a service at the revision of its last change, or null
  // if there is no such service. Valid until the next command.
  const ServiceView* ViewOf(ServiceId service) const {
    return this->store.Find(service);
  }
  std::optional<ServiceDigest> DigestOf(ServiceId service) const {
    return this->store.DigestOf(service);
  }

  // Returns the services with their change history, from which views and
  // updates are built.
  const ServiceStore& Store() const { return this->store; }

  // The declaration in effect and the change that put it into effect.
  Declaration CurrentDeclaration() const;
  const ChangeRef& DeclarationChange() const {
    return this->declaration_change;
  }

  // Lost upstreams that views still list, by application.
  const std::map<std::string, std::vector<LostUpstream>>& LostUpstreams()
      const {
    return this->lost;
  }

  // Returns the listener document with the highest version; version 0 if none
  // has been put yet.
  const PutListeners& Listeners() const { return this->listeners; }

  const std::map<InstanceId, RegisteredUpstream>& Upstreams() const {
    return this->upstreams;
  }

  // Returns the last incarnation of an instance, registered or departed; 0 if
  // the instance is unknown.
  Incarnation LastIncarnation(InstanceId instance) const;

  // Returns up to `limit` changes, latest first. At most `kMaxHistory` are
  // retained: half for operators and half for the lease table, so that a
  // restart of many agents does not evict the changes made by operators.
  std::vector<HistoryEntry> History(size_t limit) const;

  // Returns the cached response to a request, or `std::nullopt`.
  std::optional<CommandResponse> ResponseOf(
      const std::string& request_id) const;

 private:
  struct Service {
    ServiceId id;
    Incarnation incarnation;
    ServiceDeclaration declaration;
  };
  struct Departed {
    Incarnation incarnation;
    Revision revision;
    bool draining = false;
    uint32_t operator_weight = 0;
  };
  struct CachedResponse {
    uint64_t command_hash = 0;
    CommandResponse response;
  };
  // The latest `kMaxCachedResponses` responses; the oldest is evicted first.
  struct ResponseCache {
    std::deque<std::string> order;
    std::unordered_map<std::string, CachedResponse> responses;
    void Add(const std::string& id, CachedResponse response);
  };

  CommandResponse Execute(Revision revision, const Command& command);
  CommandResponse Execute(Revision revision, const Command& command,
                          const PutDeclaration& put);
  CommandResponse Execute(Revision revision, const Command& command,
                          const UpstreamJoin& join);
  CommandResponse Execute(Revision revision, const Command& command,
                          const UpstreamLeave& leave);
  CommandResponse Execute(Revision revision, const Command& command,
                          const ForgetLost& forget);
  CommandResponse Execute(Revision revision, const Command& command,
                          const UpstreamDrain& drain);
  CommandResponse Execute(Revision revision, const Command& command,
                          const UpstreamWeight& weight);
  CommandResponse Execute(Revision revision, const Command& command,
                          const PutListeners& put);
  // Rebuilds the view of the service that declares `application`, if any.
  void RefreshView(Revision revision, const std::string& application);
  void RefreshView(Revision revision, const Service& service);
  void RecordChange(Revision revision, const Command& command,
                    std::string summary);
  void AppendHistory(HistoryEntry entry);
  void RemoveUpstream(Revision revision, InstanceId instance);
  void RecordLoss(const Announcement& announcement);
  ResponseCache& ResponseCacheFor(const Command& command);

  ServiceStore store;
  std::map<std::string, Service> services;  // By name.
  std::map<InstanceId, RegisteredUpstream> upstreams;
  std::map<std::string, std::set<InstanceId>> upstreams_by_application;
  // Lost upstreams that views still list, by application.
  std::map<std::string, std::vector<LostUpstream>> lost;
  std::map<InstanceId, Departed> departed;
  std::set<std::pair<Revision, InstanceId>> departed_order;
  ServiceId last_service_id;
  Incarnation last_incarnation;
  ChangeRef declaration_change;
  PutListeners listeners;
  ResponseCache operator_responses;
  ResponseCache membership_responses;
  std::deque<HistoryEntry> operator_history;    // Oldest first.
  std::deque<HistoryEntry> membership_history;  // Oldest first.
};

}  // namespace cornelhill
