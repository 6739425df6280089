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

// A process that is further behind gets every service whole. Removals older
// than this are forgotten.
constexpr uint64_t kMaxDeltaRevisions = 1000;

// Identifies the content of a service at one revision.
struct ServiceDigest {
  ServiceId id;
  Incarnation incarnation;
  Revision revision;
  uint64_t hash = 0;

  bool operator==(const ServiceDigest&) const = default;
};

// Returns whether the service is in the subscription. Thread-safe.
bool Matches(const Subscription& subscription, std::string_view name,
             std::string_view application);

// Returns whether every service of `part` is in `whole`. Thread-safe.
bool Covers(const Subscription& whole, const Subscription& part);

// Returns the subscription with its names in order and without duplicates.
Subscription Normalize(Subscription subscription);

// Returns the subscription that holds the services of both. Thread-safe.
Subscription Union(const Subscription& a, const Subscription& b);

// Returns a hash that differs between subscriptions. Thread-safe.
uint64_t HashSubscription(const Subscription& subscription);

// The services known at one revision, with what is needed to state how they
// changed since an earlier one. Kept by control and by every process of the
// distribution tree. Not thread-safe.
class ServiceStore {
 public:
  Revision CurrentRevision() const { return this->revision; }

  // Replaces one service, adds it, or removes it (`std::nullopt`) at
  // `revision`, and moves the store to that revision. `view.revision` is
  // ignored. Requires a revision not below the current one.
  void Put(Revision revision, ServiceId id,
           const std::optional<ServiceView>& view,
           std::string_view application);

  // Moves the store to `revision` without a change of a service. Requires a
  // revision not below the current one.
  void Advance(Revision revision);

  // Returns null where the service is unknown. Valid until the next change.
  const ServiceView* Find(ServiceId id) const;
  const ServiceView* FindByName(std::string_view name) const;

  // Returns every service, ordered by id. Valid until the next change.
  std::vector<const ServiceView*> Views() const;

  std::string_view ApplicationOf(ServiceId id) const;

  std::optional<ServiceDigest> DigestOf(ServiceId id) const;

  // Hash over the services of the subscription.
  uint64_t Hash(const Subscription& subscription) const;

  // Returns what brings a store of `subscription` from `from` to the current
  // revision: a delta, or a whole update where `from` is more than
  // `kMaxDeltaRevisions` behind, is 0, or is ahead. The delta holds services
  // that are not in `known` whole: the receiver has subscribed to them since.
  StoreUpdate UpdateSince(Revision from, const Subscription& subscription,
                          const Subscription& known) const;
  StoreUpdate UpdateSince(Revision from,
                          const Subscription& subscription) const {
    return this->UpdateSince(from, subscription, subscription);
  }

  // Returns every service of the subscription whole.
  StoreUpdate FullUpdate(const Subscription& subscription) const;

  // Applies an update for `subscription` and drops services outside it. Fails
  // with `kConflict` and changes nothing where the update starts above the
  // current revision, ends below it, or leads to another hash than it states.
  Result<void> Apply(const StoreUpdate& update,
                     const Subscription& subscription);

  // The whole content including known removals, and its reverse.
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
  // Revision of the last whole update; what was removed before it is unknown,
  // so that a process behind it needs a whole update too.
  Revision last_full_update;
  std::map<ServiceId, Entry> services;
  std::map<ServiceId, Revision> removed;
};

}  // namespace cornelhill
