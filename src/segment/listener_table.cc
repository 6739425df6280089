#include "cornelhill/segment/listener_table.h"

#include <functional>
#include <set>

#include "cornelhill/base/hash.h"

namespace cornelhill {

uint64_t HashShares(const Listener& listener) {
  uint64_t hash = 0;
  for (const ListenerShare& share : listener.shares) {
    hash = HashCombine(hash, share.service.Value());
    hash = HashCombine(hash, share.weight);
  }
  return hash;
}

bool ListenerTable::Apply(const ListenerSet& set) {
  if (set.version <= this->version) return false;
  std::set<Endpoint> present;
  for (const Listener& listener : set.listeners) {
    present.insert(listener.address);
    Entry& entry = this->entries[listener.address];
    if (entry.changed != 0 && entry.listener == listener) continue;
    entry = {listener, set.version};
    this->removed.erase(listener.address);
  }
  std::vector<Endpoint> removed_addresses;
  for (const auto& [address, entry] : this->entries) {
    if (!present.contains(address)) removed_addresses.push_back(address);
  }
  for (const Endpoint& address : removed_addresses) {
    this->Remove(address, set.version);
  }
  this->SetVersion(set.version);
  return true;
}

void ListenerTable::Remove(const Endpoint& address, uint64_t removed_version) {
  this->entries.erase(address);
  this->removed[address] = removed_version;
}

void ListenerTable::SetVersion(uint64_t new_version) {
  this->version = new_version;
  this->known_versions.insert(new_version);
  if (this->known_versions.size() <= kMaxKnownVersions) return;
  this->known_versions.erase(this->known_versions.begin());
  const uint64_t oldest = *this->known_versions.begin();
  std::erase_if(this->removed,
                [oldest](const auto& item) { return item.second <= oldest; });
}

bool ListenerTable::Apply(const ListenerDelta& delta) {
  if (delta.to <= this->version) return false;
  if (delta.base != 0 && delta.base != this->version) return false;
  if (delta.base == 0) {
    this->entries.clear();
    this->removed.clear();
    this->known_versions.clear();
  }
  for (const ListenerChange& change : delta.changes) {
    if (change.removed) {
      this->Remove(change.listener.address, change.changed);
    } else {
      this->entries[change.listener.address] = {change.listener,
                                                change.changed};
      this->removed.erase(change.listener.address);
    }
  }
  this->SetVersion(delta.to);
  return true;
}

const Listener* ListenerTable::Find(const Endpoint& address) const {
  const auto found = this->entries.find(address);
  return found == this->entries.end() ? nullptr : &found->second.listener;
}

ListenerDelta ListenerTable::DeltaSince(uint64_t from) const {
  const bool whole = !this->known_versions.contains(from);
  ListenerDelta delta{whole ? 0 : from, this->version, {}};
  for (const auto& [address, entry] : this->entries) {
    if (!whole && entry.changed <= from) continue;
    delta.changes.push_back({entry.listener, entry.changed, false});
  }
  if (whole) return delta;
  for (const auto& [address, removed_version] : this->removed) {
    if (removed_version <= from) continue;
    Listener listener;
    listener.address = address;
    delta.changes.push_back({listener, removed_version, true});
  }
  return delta;
}

ServiceKey ListenerTable::PickService(const Listener& listener,
                                      const SegmentFlow& flow) {
  uint64_t total = 0;
  for (const ListenerShare& share : listener.shares) total += share.weight;
  if (total == 0) return {};
  uint64_t point = std::hash<SegmentFlow>()(flow) % total;
  for (const ListenerShare& share : listener.shares) {
    if (point < share.weight) return share.service;
    point -= share.weight;
  }
  return {};
}

}  // namespace cornelhill
