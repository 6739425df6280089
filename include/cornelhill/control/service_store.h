#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelhill/base/result.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/control/service_change.h"
#include "cornelhill/route/service_view.h"

namespace cornelhill {

// A process that is further behind than this gets a full update. Records of
// older removals are pruned.
constexpr uint64_t kMaxDeltaRevisions = 1000;

// Identifies the content of a service at one revision.
struct ServiceDigest {
  ServiceId id;
  Incarnation incarnation;
  Revision revision;
  uint64_t hash = 0;

  bool operator==(const ServiceDigest&) const = default;
};

// Returns whether the subscription includes the service. Thread-safe.
bool Matches(const Subscription& subscription, std::string_view name,
             std::string_view application);

// Returns whether `superset` includes every service of `subset`. Thread-safe.
bool Covers(const Subscription& superset, const Subscription& subset);

// Returns the subscription with its names and applications sorted and without
// duplicates. Thread-safe.
Subscription Normalize(Subscription subscription);

// Returns the subscription that includes the services of both. Requires
// normalized subscriptions. Thread-safe.
Subscription Union(const Subscription& a, const Subscription& b);

// Returns a hash that identifies a normalized subscription. Thread-safe.
uint64_t HashSubscription(const Subscription& subscription);

// The services at one revision, with enough change history to compute deltas
// from earlier revisions. Held by the control instances and by every process of
// the distribution tree. Not thread-safe.
class ServiceStore {
 public:
  Revision CurrentRevision() const { return this->revision; }

  // Adds, replaces or removes (`std::nullopt`) one service at `revision`, and
  // advances the store to that revision. `view.revision` is ignored. Requires
  // `revision` not to be below the current one.
  void Put(Revision revision, ServiceId id,
           const std::optional<ServiceView>& view,
           std::string_view application);

  // Advances the store to `revision` without changing a service. Requires
  // `revision` not to be below the current one.
  void Advance(Revision revision);

  // Returns null if the service is unknown. Valid until the next change.
  const ServiceView* Find(ServiceId id) const;
  const ServiceView* FindByName(std::string_view name) const;

  // Returns every service, sorted by id. Valid until the next change.
  std::vector<const ServiceView*> Views() const;

  std::string_view ApplicationOf(ServiceId id) const;

  std::optional<ServiceDigest> DigestOf(ServiceId id) const;

  // Returns a hash over the services of the subscription.
  uint64_t Hash(const Subscription& subscription) const;

  // Returns the update that brings a store of `subscription` from revision
  // `from` to the current one. This is a delta, or a full update if `from` is
  // 0, ahead of this store, more than `kMaxDeltaRevisions` behind, or older
  // than the last full update that this store applied. `known` is the
  // subscription that the receiver had at `from`; services outside it are sent
  // in full.
  StoreUpdate UpdateSince(Revision from, const Subscription& subscription,
                          const Subscription& known) const;
  StoreUpdate UpdateSince(Revision from,
                          const Subscription& subscription) const {
    return this->UpdateSince(from, subscription, subscription);
  }

  // Returns an update that contains every service of the subscription in full.
  StoreUpdate FullUpdate(const Subscription& subscription) const;

  // Applies an update for `subscription` and removes services outside it. Fails
  // with `kConflict` and changes nothing if the update starts above the current
  // revision, ends below it, or yields a hash other than `update.hash`.
  Result<void> Apply(const StoreUpdate& update,
                     const Subscription& subscription);

  // Exports and imports the complete content, including recorded removals.
  std::vector<ServiceChange> Export() const;
  std::vector<std::pair<ServiceId, Revision>> ExportRemovedServices() const;
  static ServiceStore Import(
      Revision revision, const std::vector<ServiceChange>& services,
      const std::vector<std::pair<ServiceId, Revision>>& removed);

 private:
  struct Entry {
    ServiceView view;
    std::string application;
    Revision header_revision;
    Revision application_revision;
    std::vector<Revision> upstream_revisions;  // Parallel to `view.upstreams`.
    std::map<InstanceId, Revision> removals;
    uint64_t hash = 0;
  };

  static ServiceChange ChangeSince(const Entry& entry, Revision from,
                                   bool whole);
  static void ApplyChange(const ServiceChange& change, Entry* entry);
  void AdvanceAndPrune(Revision next);

  Revision revision;
  // Revision of the last full update applied. Earlier removals are unknown, so
  // a process behind this revision needs a full update as well.
  Revision last_full_update;
  std::map<ServiceId, Entry> services;
  std::map<ServiceId, Revision> removed;
};

}  // namespace cornelhill
