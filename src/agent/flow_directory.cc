#include "cornelhill/agent/flow_directory.h"

#include <algorithm>

#include "cornelhill/agent/deduplication_cache.h"

namespace cornelhill {

void FlowDirectory::Record(Millis now, const FlowUse& use, InstanceId owner,
                           Incarnation owner_incarnation, bool closed) {
  const Millis lifetime = closed ? kResendLifetime : kOpenEntryLifetime;
  Entry& entry = this->entries[use];
  // A closed flow never reopens; ignores late reports that it is open.
  if (entry.closed && !closed) return;
  entry = Entry{owner, owner_incarnation, closed, now + lifetime};
  if (!closed) this->newest[use.flow] = use.nonce;
}

const FlowDirectory::Entry* FlowDirectory::Find(FlowUse* use) const {
  if (use->nonce == FlowNonce()) {
    const auto known = this->newest.find(use->flow);
    if (known == this->newest.end()) return nullptr;
    use->nonce = known->second;
  }
  const auto found = this->entries.find(*use);
  return found == this->entries.end() ? nullptr : &found->second;
}

void FlowDirectory::Erase(const FlowUse& use) {
  this->entries.erase(use);
  const auto known = this->newest.find(use.flow);
  if (known != this->newest.end() && known->second == use.nonce) {
    this->newest.erase(known);
  }
}

void FlowDirectory::Expire(Millis now) {
  std::vector<FlowUse> expired;
  for (const auto& [use, entry] : this->entries) {
    if (entry.expires <= now) expired.push_back(use);
  }
  for (const FlowUse& use : expired) this->Erase(use);
}

std::vector<FlowLocation> FlowDirectory::EntriesIn(
    const BucketSet& buckets) const {
  std::vector<FlowLocation> found;
  for (const auto& [use, entry] : this->entries) {
    if (!buckets[BucketOf(use.flow).Value()]) continue;
    found.push_back({use.flow, use.nonce, entry.owner, entry.closed,
                     entry.owner_incarnation});
  }
  std::sort(found.begin(), found.end(),
            [](const FlowLocation& a, const FlowLocation& b) {
              return FlowUse{a.flow, a.nonce} < FlowUse{b.flow, b.nonce};
            });
  return found;
}

}  // namespace cornelhill
