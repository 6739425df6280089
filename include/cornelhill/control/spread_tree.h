#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"

namespace cornelhill {

// Children of one process, at most. A process that relays for its region and
// its failure domain has `kRegionFanOut` of one kind and `kDomainFanOut` of the
// other.
constexpr size_t kMaxChildren = 16;
constexpr size_t kDomainFanOut = 12;
constexpr size_t kRegionFanOut = 4;

// Agents that share one collector. One agent costs its collector about 50 bytes
// a second, so 64 stay below the 5 KB a second of a process.
constexpr size_t kMaxAgentsPerCollector = 64;

// A process that takes part in the distribution of configuration.
struct SpreadMember {
  InstanceId id;
  Endpoint endpoint;
  uint32_t region = 0;
  FailureDomainId failure_domain;
  bool control = false;

  bool operator==(const SpreadMember&) const = default;
};

// Returns the parent of `self` in the tree over `members` without `suspected`,
// or null for a control instance and where no control instance is left. A
// parent is a control instance or precedes `self` in one order of all
// processes, so that processes with different knowledge never form a cycle.
// Needs the members of the own failure domain, those that may relay for the
// other failure domains of the region, and the control instances. Points into
// `members`. Thread-safe.
const SpreadMember* ParentOf(const SpreadMember& self,
                             const std::vector<SpreadMember>& members,
                             const std::set<InstanceId>& suspected);

// Returns the collector of the renewals of `self`: a member of its failure
// domain that is not suspected, or null. Agents are spread over one collector
// for each `kMaxAgentsPerCollector` members. Points into `members`.
// Thread-safe.
const SpreadMember* CollectorOf(const SpreadMember& self,
                                const std::vector<SpreadMember>& members,
                                const std::set<InstanceId>& suspected);

}  // namespace cornelhill
