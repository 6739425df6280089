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

// Responses that are kept for retries: this many of operators and, apart from
// them, this many of the lease table, so that a restart of every agent does
// not push out the response that an operator still asks for.
constexpr size_t kMaxCachedResponses = 4096;

// Departed instances whose last incarnation, drain and weight are kept.
constexpr size_t kMaxDepartedInstances = 4096;

// Largest snapshot that `Restore` accepts.
constexpr size_t kMaxSnapshotBytes = size_t{64} * 1024 * 1024;

// An upstream's agent as the state knows it.
struct RegisteredUpstream {
  Announcement announcement;  // `sequence` is 0.
  bool draining = false;
  uint32_t operator_weight = 0;  // 0 means as announced.

  bool operator==(const RegisteredUpstream&) const = default;
};

// The deterministic state machine behind the replicated log: equal commands at
// equal revisions give equal states and responses on every instance. An
// upstream belongs to the service that declares its application, so an
// instance is in at most one service. Not thread-safe.
class ControlState {
 public:
  // Applies the log entry at `revision`. A request ID whose response is kept
  // gets that response again and changes nothing. Requires a revision above
  // the last one.
  CommandResponse Apply(Revision revision, const Command& command);

  // Moves to `revision` for a log entry that holds no command (e.g. a change of
  // members). Requires a revision above the last one.
  void Skip(Revision revision);

  // Revision of the last entry applied or skipped.
  Revision CurrentRevision() const { return this->store.CurrentRevision(); }

  // The whole state as bytes, and its reverse. `Restore` fails with `kCorrupt`,
  // `kTooLarge` or `kUnsupportedVersion`.
  std::string Snapshot() const;
  static Result<ControlState> Restore(std::string_view bytes);

  // Returns the view of a service at the revision of its last change, or null.
  // Valid until the next command.
  const ServiceView* ViewOf(ServiceId service) const {
    return this->store.Find(service);
  }
  std::optional<ServiceDigest> DigestOf(ServiceId service) const {
    return this->store.DigestOf(service);
  }

  // The services with their changes, for views, deltas and distribution.
  const ServiceStore& Store() const { return this->store; }

  // The declaration in effect and the change that wrote it.
  Declaration CurrentDeclaration() const;
  const ChangeRef& DeclarationChange() const {
    return this->declaration_change;
  }

  // Losses that are still stated in views, by application.
  const std::map<std::string, std::vector<LostUpstream>>& LostUpstreams()
      const {
    return this->lost;
  }

  // The listener document with the highest version; version 0 where there is
  // none yet.
  const PutListeners& Listeners() const { return this->listeners; }

  const std::map<InstanceId, RegisteredUpstream>& Upstreams() const {
    return this->upstreams;
  }

  // Last incarnation of an instance, present or departed; 0 where unknown.
  Incarnation LastIncarnation(InstanceId instance) const;

  // Returns the last changes, the latest first. At most `kMaxHistory` are kept:
  // half of operators and half of the lease table, so that a restart of many
  // agents does not push out what operators did.
  std::vector<HistoryEntry> History(size_t limit) const;

  // Returns the kept response of a request, or nothing.
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
  // The last responses, the oldest first.
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
  // Rebuilds the view of the service that declares `application`.
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
  // Losses that are still stated in views, by application.
  std::map<std::string, std::vector<LostUpstream>> lost;
  std::map<InstanceId, Departed> departed;
  std::set<std::pair<Revision, InstanceId>> departed_order;
  ServiceId last_service_id;
  Incarnation last_incarnation;
  ChangeRef declaration_change;
  PutListeners listeners;
  ResponseCache operator_responses;
  ResponseCache membership_responses;
  std::deque<HistoryEntry> operator_history;    // The oldest first.
  std::deque<HistoryEntry> membership_history;  // The oldest first.
};

}  // namespace cornelhill
