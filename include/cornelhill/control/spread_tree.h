#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"

namespace cornelhill {

// Maximum number of children of one process. A process that relays for both its
// region and its failure domain has up to `kRegionFanOut` children in other
// failure domains and `kDomainFanOut` in its own.
constexpr size_t kMaxChildren = 16;
constexpr size_t kDomainFanOut = 12;
constexpr size_t kRegionFanOut = 4;

// Average number of agents per collector. With 365 agents in a failure domain,
// the traffic of the busiest collector was 2.8 KB/s; a single collector for all
// of them would need about 13 KB/s, above the limit of 5 KB/s per process.
constexpr size_t kMaxAgentsPerCollector = 64;

// A process in the configuration distribution tree.
struct SpreadMember {
  InstanceId id;
  Endpoint endpoint;
  uint32_t region = 0;
  FailureDomainId failure_domain;
  bool control = false;

  bool operator==(const SpreadMember&) const = default;
};

// Returns the parent of `self` in the tree over `members` without `suspected`,
// or null if `self` is a control instance or no unsuspected control instance is
// left. A parent is a control instance or precedes `self` in a fixed total
// order of all processes, so processes with different member lists never form a
// cycle. `members` must contain the members of the failure domain of `self`,
// those that may relay for the other failure domains of the region, and the
// control instances. The result points into `members`. Thread-safe.
const SpreadMember* ParentOf(const SpreadMember& self,
                             const std::vector<SpreadMember>& members,
                             const std::set<InstanceId>& suspected);

// Returns the collector that `self` sends its renewals to: a member of its
// failure domain that is not suspected, or null if there is none. Agents are
// distributed by hash over one collector per `kMaxAgentsPerCollector` members.
// The result points into `members`. Thread-safe.
const SpreadMember* CollectorOf(const SpreadMember& self,
                                const std::vector<SpreadMember>& members,
                                const std::set<InstanceId>& suspected);

}  // namespace cornelhill
