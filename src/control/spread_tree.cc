#include "cornelhill/control/spread_tree.h"

#include <algorithm>
#include <map>
#include <utility>

#include "cornelhill/base/hash.h"

namespace cornelhill {

namespace {

constexpr uint64_t kOrderSeed = 0x5b8e;
constexpr uint64_t kCollectorSeed = 0x91c3;

// Sort key of the total order in which every parent precedes its children.
// Hashed, so that the relays are not all processes with adjacent ids.
std::pair<uint64_t, uint64_t> OrderOf(const SpreadMember& member) {
  return {HashCombine(kOrderSeed, member.id.Value()), member.id.Value()};
}

bool Precedes(const SpreadMember* a, const SpreadMember* b) {
  return OrderOf(*a) < OrderOf(*b);
}

// Returns the number of members in `ordered` that precede `self`, which need
// not be in it.
size_t RankOf(const SpreadMember& self,
              const std::vector<const SpreadMember*>& ordered) {
  return static_cast<size_t>(
      std::lower_bound(ordered.begin(), ordered.end(), &self, Precedes) -
      ordered.begin());
}

}  // namespace

const SpreadMember* ParentOf(const SpreadMember& self,
                             const std::vector<SpreadMember>& members,
                             const std::set<InstanceId>& suspected) {
  if (self.control) return nullptr;
  std::vector<const SpreadMember*> domain;
  std::vector<const SpreadMember*> control;
  std::map<FailureDomainId, const SpreadMember*> relays;
  for (const SpreadMember& member : members) {
    if (suspected.contains(member.id) || member.id == self.id) continue;
    if (member.control) {
      control.push_back(&member);
    } else if (member.region == self.region) {
      if (member.failure_domain == self.failure_domain) {
        domain.push_back(&member);
      } else {
        const SpreadMember*& relay = relays[member.failure_domain];
        if (relay == nullptr || Precedes(&member, relay)) relay = &member;
      }
    }
  }
  std::sort(domain.begin(), domain.end(), Precedes);
  const size_t rank = RankOf(self, domain);
  if (rank > 0) return domain[(rank - 1) / kDomainFanOut];

  std::vector<const SpreadMember*> region;
  for (const auto& [id, relay] : relays) region.push_back(relay);
  std::sort(region.begin(), region.end(), Precedes);
  const size_t region_rank = RankOf(self, region);
  if (region_rank > 0) return region[(region_rank - 1) / kRegionFanOut];

  if (control.empty()) return nullptr;
  std::sort(control.begin(), control.end(), Precedes);
  return control[self.region % control.size()];
}

const SpreadMember* CollectorOf(const SpreadMember& self,
                                const std::vector<SpreadMember>& members,
                                const std::set<InstanceId>& suspected) {
  size_t count = 0;
  std::vector<const SpreadMember*> alive;
  for (const SpreadMember& member : members) {
    if (member.control || member.failure_domain != self.failure_domain) {
      continue;
    }
    // Suspected members count towards the number of groups, so that one
    // suspicion does not reassign the agents of every collector.
    ++count;
    if (!suspected.contains(member.id)) alive.push_back(&member);
  }
  if (alive.empty()) return nullptr;
  const size_t groups =
      (count + kMaxAgentsPerCollector - 1) / kMaxAgentsPerCollector;
  const uint64_t group = HashCombine(kCollectorSeed, self.id.Value()) % groups;
  return *std::min_element(
      alive.begin(), alive.end(),
      [group](const SpreadMember* a, const SpreadMember* b) {
        const auto order = [group](const SpreadMember* member) {
          return std::pair(HashCombine(group, member->id.Value()),
                           member->id.Value());
        };
        return order(a) < order(b);
      });
}

}  // namespace cornelhill
