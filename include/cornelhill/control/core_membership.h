#pragma once

#include <map>
#include <optional>
#include <string>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/consensus/membership.h"
#include "cornelhill/consensus/replica.h"

namespace cornelhill {

// The group keeps this many voters even if some are inactive: at this size, an
// inactive voter is removed only after another member has replaced it.
constexpr size_t kMinVoters = 3;

// Inactivity after which a voter is removed if another voter was promoted in
// the meantime, or if the group tolerates more failures without it. A member
// that restarts is usually back sooner.
constexpr Millis kReplacedVoterTimeout{6000};

// Inactivity after which a voter is removed if no other was promoted under this
// leader. Network partitions last 15 s at most, and each removal lowers the
// number of failures that the group tolerates.
constexpr Millis kUnreplacedVoterTimeout{40000};

// Inactivity after which a learner is removed. A learner that lost its data
// directory before it became a voter never comes back.
constexpr Millis kLearnerTimeout{10000};

// Contents of a member's address string: its endpoint, its failure domain and a
// token that identifies the data directory that requested to join.
struct CoreAddress {
  Endpoint endpoint;
  std::string failure_domain;
  uint64_t token = 0;

  bool operator==(const CoreAddress&) const = default;
};

// Formats and parses "10.1.0.10:7720#zone#token". Thread-safe.
std::string ToString(const CoreAddress& address);
Result<CoreAddress> ParseCoreAddress(const std::string& text);

// Maintains the group of core members without operator intervention: promotes
// learners that have caught up, and removes members that were replaced or are
// inactive. Changes are proposed by the leader only. Not thread-safe.
class CoreMembership {
 public:
  // Returns the next change to propose. Returns nothing if this replica is not
  // the leader or a change is in flight.
  std::optional<MembershipChange> NextChange(Millis now,
                                             const ReplicaStatus& status);

 private:
  bool InactiveLongerThan(Millis now, MemberId id, Millis timeout) const;
  // Whether another member became a voter after this one was last active.
  bool HasReplacement(MemberId id) const;

  std::map<MemberId, Millis> last_active;
  // When this leader first saw each voter.
  std::map<MemberId, Millis> voter_since;
};

}  // namespace cornelhill
