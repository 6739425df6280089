#include "cornelhill/control/service_store.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <utility>

#include "cornelhill/base/hash.h"

namespace cornelhill {

namespace {

// Serializes values as fixed-width little-endian words, because the protobuf
// encoding, and so its hash, may differ between protobuf releases.
class HashInput {
 public:
  void Add(uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) {
      this->bytes.push_back(static_cast<char>(value >> shift));
    }
  }
  void Add(std::string_view text) {
    this->Add(uint64_t{text.size()});
    this->bytes.append(text);
  }
  uint64_t Hash() const { return Hash64(this->bytes); }

 private:
  std::string bytes;
};

void AddRules(const SchedulingRules& rules, HashInput* input) {
  input->Add(static_cast<uint64_t>(rules.short_quantum.Count()));
  input->Add(uint64_t{rules.short_bytes});
  input->Add(uint64_t{rules.short_reserve_permille});
  input->Add(uint64_t{rules.straggler_permille});
  input->Add(static_cast<uint64_t>(rules.straggler_after.Count()));
  input->Add(static_cast<uint64_t>(rules.max_wait.Count()));
  input->Add(uint64_t{rules.max_queued_per_caller});
  input->Add(uint64_t{rules.max_queued});
  input->Add(uint64_t{rules.caller_rate});
  input->Add(uint64_t{rules.retry_permille});
}

uint64_t HashService(const ServiceView& view, std::string_view application) {
  HashInput input;
  input.Add(uint64_t{view.id.Value()});
  input.Add(view.incarnation.Value());
  input.Add(view.revision.Value());
  input.Add(view.name);
  input.Add(uint64_t{view.address.address} << 16 | view.address.port);
  input.Add(application);
  AddRules(view.rules, &input);
  for (const UpstreamInfo& upstream : view.upstreams) {
    input.Add(upstream.instance.Value());
    input.Add(upstream.incarnation.Value());
    input.Add(uint64_t{upstream.agent.address} << 16 | upstream.agent.port);
    input.Add(uint64_t{upstream.failure_domain.Value()});
    input.Add(uint64_t{upstream.slots});
    input.Add(uint64_t{upstream.weight});
    input.Add(uint64_t{upstream.draining});
  }
  for (const LostUpstream& lost : view.lost) {
    input.Add(lost.instance.Value());
    input.Add(lost.incarnation.Value());
  }
  return input.Hash();
}

bool HeaderEquals(const ServiceView& a, const ServiceView& b) {
  return a.incarnation == b.incarnation && a.name == b.name &&
         a.address == b.address && a.rules == b.rules && a.lost == b.lost;
}

}  // namespace

bool Matches(const Subscription& subscription, std::string_view name,
             std::string_view application) {
  return subscription.all ||
         std::binary_search(subscription.names.begin(),
                            subscription.names.end(), name) ||
         std::binary_search(subscription.applications.begin(),
                            subscription.applications.end(), application);
}

bool Covers(const Subscription& superset, const Subscription& subset) {
  if (superset.all) return true;
  return !subset.all &&
         std::includes(superset.names.begin(), superset.names.end(),
                       subset.names.begin(), subset.names.end()) &&
         std::includes(superset.applications.begin(),
                       superset.applications.end(), subset.applications.begin(),
                       subset.applications.end());
}

Subscription Normalize(Subscription subscription) {
  for (std::vector<std::string>* names :
       {&subscription.names, &subscription.applications}) {
    std::sort(names->begin(), names->end());
    names->erase(std::unique(names->begin(), names->end()), names->end());
  }
  return Union(subscription, {});
}

Subscription Union(const Subscription& a, const Subscription& b) {
  Subscription out;
  out.all = a.all || b.all;
  // With `all` set, names would change the hash but not the set of services.
  if (out.all) return out;
  std::set_union(a.names.begin(), a.names.end(), b.names.begin(), b.names.end(),
                 std::back_inserter(out.names));
  std::set_union(a.applications.begin(), a.applications.end(),
                 b.applications.begin(), b.applications.end(),
                 std::back_inserter(out.applications));
  return out;
}

uint64_t HashSubscription(const Subscription& subscription) {
  HashInput input;
  input.Add(uint64_t{subscription.all});
  input.Add(uint64_t{subscription.names.size()});
  for (const std::string& name : subscription.names) input.Add(name);
  for (const std::string& name : subscription.applications) input.Add(name);
  return input.Hash();
}

void ServiceStore::AdvanceAndPrune(Revision next) {
  assert(next >= this->revision);
  // Prunes only every 256 revisions to avoid iterating over all services for
  // each command.
  constexpr uint64_t kPruneIntervalRevisions = 256;
  const bool prune_due = next.Value() / kPruneIntervalRevisions !=
                         this->revision.Value() / kPruneIntervalRevisions;
  this->revision = next;
  if (!prune_due || next.Value() <= kMaxDeltaRevisions) return;
  const Revision oldest(next.Value() - kMaxDeltaRevisions);
  const auto is_expired = [oldest](const auto& removal) {
    return removal.second < oldest;
  };
  std::erase_if(this->removed, is_expired);
  for (auto& [id, entry] : this->services) {
    std::erase_if(entry.removals, is_expired);
  }
}

void ServiceStore::Advance(Revision next) { this->AdvanceAndPrune(next); }

void ServiceStore::Put(Revision next, ServiceId id,
                       const std::optional<ServiceView>& view,
                       std::string_view application) {
  this->AdvanceAndPrune(next);
  if (!view) {
    if (this->services.erase(id) > 0) this->removed[id] = next;
    return;
  }
  const auto [found, added] = this->services.try_emplace(id);
  Entry& entry = found->second;
  if (added) {
    entry.header_revision = next;
    entry.application_revision = next;
  } else {
    if (entry.view.upstreams == view->upstreams &&
        HeaderEquals(entry.view, *view) && entry.application == application) {
      return;
    }
    if (!HeaderEquals(entry.view, *view)) entry.header_revision = next;
    if (entry.application != application) {
      entry.header_revision = next;
      entry.application_revision = next;
    }
  }

  std::map<InstanceId, size_t> before;
  for (size_t i = 0; i < entry.view.upstreams.size(); ++i) {
    before.emplace(entry.view.upstreams[i].instance, i);
  }
  std::vector<Revision> upstream_revisions;
  for (const UpstreamInfo& upstream : view->upstreams) {
    const auto old = before.find(upstream.instance);
    const bool same =
        old != before.end() && entry.view.upstreams[old->second] == upstream;
    upstream_revisions.push_back(same ? entry.upstream_revisions[old->second]
                                      : next);
    if (old != before.end()) before.erase(old);
    entry.removals.erase(upstream.instance);
  }
  for (const auto& [instance, index] : before) entry.removals[instance] = next;

  entry.view = *view;
  entry.view.revision = next;
  entry.application = application;
  entry.upstream_revisions = std::move(upstream_revisions);
  entry.hash = HashService(entry.view, entry.application);
}

const ServiceView* ServiceStore::Find(ServiceId id) const {
  const auto found = this->services.find(id);
  return found == this->services.end() ? nullptr : &found->second.view;
}

const ServiceView* ServiceStore::FindByName(std::string_view name) const {
  for (const auto& [id, entry] : this->services) {
    if (entry.view.name == name) return &entry.view;
  }
  return nullptr;
}

std::vector<const ServiceView*> ServiceStore::Views() const {
  std::vector<const ServiceView*> views;
  views.reserve(this->services.size());
  for (const auto& [id, entry] : this->services) views.push_back(&entry.view);
  return views;
}

std::string_view ServiceStore::ApplicationOf(ServiceId id) const {
  const auto found = this->services.find(id);
  if (found == this->services.end()) return {};
  return found->second.application;
}

std::optional<ServiceDigest> ServiceStore::DigestOf(ServiceId id) const {
  const auto found = this->services.find(id);
  if (found == this->services.end()) return std::nullopt;
  const Entry& entry = found->second;
  return ServiceDigest{id, entry.view.incarnation, entry.view.revision,
                       entry.hash};
}

uint64_t ServiceStore::Hash(const Subscription& subscription) const {
  uint64_t hash = 0;
  for (const auto& [id, entry] : this->services) {
    if (Matches(subscription, entry.view.name, entry.application)) {
      hash = HashCombine(hash, entry.hash);
    }
  }
  return hash;
}

ServiceChange ServiceStore::ChangeSince(const Entry& entry, Revision from,
                                        bool whole) {
  ServiceChange change;
  change.id = entry.view.id;
  change.incarnation = entry.view.incarnation;
  change.revision = entry.view.revision;
  change.whole = whole;
  change.has_header = whole || entry.header_revision > from;
  if (change.has_header) {
    change.header = {entry.header_revision,     entry.view.name,
                     entry.view.address,        entry.view.rules,
                     entry.application,         entry.view.lost,
                     entry.application_revision};
  }
  for (size_t i = 0; i < entry.view.upstreams.size(); ++i) {
    if (whole || entry.upstream_revisions[i] > from) {
      change.upstreams.push_back(
          {entry.view.upstreams[i], entry.upstream_revisions[i]});
    }
  }
  for (const auto& [instance, at] : entry.removals) {
    if (!whole && at > from) change.removals.push_back({instance, at});
  }
  return change;
}

StoreUpdate ServiceStore::UpdateSince(Revision from,
                                      const Subscription& subscription,
                                      const Subscription& known) const {
  if (from == Revision() || from > this->revision ||
      from < this->last_full_update ||
      this->revision.Value() - from.Value() > kMaxDeltaRevisions) {
    return this->FullUpdate(subscription);
  }
  StoreUpdate update;
  update.from = from;
  update.revision = this->revision;
  update.hash = this->Hash(subscription);
  for (const auto& [id, entry] : this->services) {
    if (Matches(subscription, entry.view.name, entry.application)) {
      // A subscriber that starts to match the service because its application
      // changed has no earlier version to apply a delta to.
      const bool newly_subscribed =
          entry.application_revision > from ||
          !Matches(known, entry.view.name, entry.application);
      if (newly_subscribed || entry.view.revision > from) {
        update.services.push_back(ChangeSince(entry, from, newly_subscribed));
      }
    } else if (entry.application_revision > from) {
      ServiceChange removal;
      removal.id = id;
      removal.revision = entry.application_revision;
      removal.removed = true;
      update.services.push_back(std::move(removal));
    }
  }
  for (const auto& [id, at] : this->removed) {
    if (at <= from) continue;
    ServiceChange removal;
    removal.id = id;
    removal.revision = at;
    removal.removed = true;
    update.services.push_back(std::move(removal));
  }
  return update;
}

StoreUpdate ServiceStore::FullUpdate(const Subscription& subscription) const {
  StoreUpdate update;
  update.revision = this->revision;
  update.whole = true;
  update.hash = this->Hash(subscription);
  for (const auto& [id, entry] : this->services) {
    if (Matches(subscription, entry.view.name, entry.application)) {
      update.services.push_back(ChangeSince(entry, Revision(), true));
    }
  }
  return update;
}

void ServiceStore::ApplyChange(const ServiceChange& change, Entry* entry) {
  if (change.whole) {
    // Removals are retained for processes further down the distribution tree
    // that may not have applied them yet.
    for (const UpstreamInfo& upstream : entry->view.upstreams) {
      entry->removals[upstream.instance] = change.revision;
    }
    entry->view.upstreams.clear();
    entry->upstream_revisions.clear();
  }
  entry->view.id = change.id;
  entry->view.incarnation = change.incarnation;
  entry->view.revision = change.revision;
  if (change.has_header) {
    entry->header_revision = change.header.revision;
    entry->view.name = change.header.name;
    entry->view.address = change.header.address;
    entry->view.rules = change.header.rules;
    entry->view.lost = change.header.lost;
    entry->application = change.header.application;
    entry->application_revision = change.header.application_revision;
  }

  std::map<InstanceId, UpstreamChange> merged;
  for (size_t i = 0; i < entry->view.upstreams.size(); ++i) {
    merged[entry->view.upstreams[i].instance] = {entry->view.upstreams[i],
                                                 entry->upstream_revisions[i]};
  }
  for (const UpstreamRemoval& removal : change.removals) {
    merged.erase(removal.instance);
    entry->removals[removal.instance] = removal.revision;
  }
  for (const UpstreamChange& upstream : change.upstreams) {
    merged[upstream.upstream.instance] = upstream;
    entry->removals.erase(upstream.upstream.instance);
  }
  entry->view.upstreams.clear();
  entry->upstream_revisions.clear();
  for (const auto& [instance, upstream] : merged) {
    entry->view.upstreams.push_back(upstream.upstream);
    entry->upstream_revisions.push_back(upstream.revision);
  }
  entry->hash = HashService(entry->view, entry->application);
}

Result<void> ServiceStore::Apply(const StoreUpdate& update,
                                 const Subscription& subscription) {
  if (update.revision < this->revision) {
    return Fail(ErrorCode::kConflict,
                "update to revision " +
                    std::to_string(update.revision.Value()) +
                    " is older than revision " +
                    std::to_string(this->revision.Value()));
  }
  if (!update.whole && update.from > this->revision) {
    return Fail(ErrorCode::kConflict,
                "update from revision " + std::to_string(update.from.Value()) +
                    " starts above revision " +
                    std::to_string(this->revision.Value()));
  }
  // Changes are made on copies, so that a hash mismatch leaves the store
  // unchanged.
  std::map<ServiceId, std::optional<Entry>> changes;
  for (const ServiceChange& change : update.services) {
    if (change.removed) {
      changes[change.id] = std::nullopt;
      continue;
    }
    const auto found = this->services.find(change.id);
    // Already applied: the update starts below the revision of this store.
    if (found != this->services.end() && !update.whole &&
        found->second.view.revision >= change.revision) {
      continue;
    }
    Entry entry;
    if (found != this->services.end()) entry = found->second;
    ApplyChange(change, &entry);
    changes[change.id] = std::move(entry);
  }
  if (update.whole) {
    for (const auto& [id, entry] : this->services) {
      changes.try_emplace(id, std::nullopt);
    }
  }

  uint64_t hash = 0;
  const auto add = [&hash, &subscription](const Entry& entry) {
    if (Matches(subscription, entry.view.name, entry.application)) {
      hash = HashCombine(hash, entry.hash);
    }
  };
  auto unchanged = this->services.begin();
  for (const auto& [id, entry] : changes) {
    for (; unchanged != this->services.end() && unchanged->first < id;
         ++unchanged) {
      add(unchanged->second);
    }
    if (unchanged != this->services.end() && unchanged->first == id)
      ++unchanged;
    if (entry) add(*entry);
  }
  for (; unchanged != this->services.end(); ++unchanged) add(unchanged->second);
  if (hash != update.hash) {
    return Fail(ErrorCode::kConflict,
                "update to revision " +
                    std::to_string(update.revision.Value()) +
                    " does not match its hash");
  }

  for (auto& [id, entry] : changes) {
    if (entry && Matches(subscription, entry->view.name, entry->application)) {
      this->services[id] = std::move(*entry);
    } else if (this->services.erase(id) > 0) {
      this->removed[id] = update.revision;
    }
  }
  this->AdvanceAndPrune(update.revision);
  if (update.whole) this->last_full_update = update.revision;
  return boost::outcome_v2::success();
}

std::vector<ServiceChange> ServiceStore::Export() const {
  std::vector<ServiceChange> out;
  for (const auto& [id, entry] : this->services) {
    ServiceChange change = ChangeSince(entry, Revision(), true);
    for (const auto& [instance, at] : entry.removals) {
      change.removals.push_back({instance, at});
    }
    out.push_back(std::move(change));
  }
  return out;
}

std::vector<std::pair<ServiceId, Revision>>
ServiceStore::ExportRemovedServices() const {
  return {this->removed.begin(), this->removed.end()};
}

ServiceStore ServiceStore::Import(
    Revision revision, const std::vector<ServiceChange>& services,
    const std::vector<std::pair<ServiceId, Revision>>& removed) {
  ServiceStore store;
  store.revision = revision;
  for (const ServiceChange& change : services) {
    ApplyChange(change, &store.services[change.id]);
  }
  store.removed.insert(removed.begin(), removed.end());
  return store;
}

}  // namespace cornelhill
