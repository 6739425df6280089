#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/consensus/membership.h"
#include "cornelhill/consensus/replica.h"

namespace cornelhill {

// The group keeps at least this many voters even if some are inactive: at this
// size, an inactive voter is removed only after another member has replaced it.
constexpr size_t kMinVoters = 3;

// Inactivity after which a voter is removed if another voter was promoted in
// the meantime, or if the number of voters is even. A group of 2n voters
// tolerates as many failures as one of 2n - 1, so it tolerates one more without
// its inactive voter. A member that restarts is usually back sooner.
constexpr Millis kReplacedVoterTimeout{2000};

// Inactivity after which a voter is removed if no other was promoted under this
// leader. Network partitions last 15 s at most, and each removal lowers the
// number of failures that the group tolerates.
constexpr Millis kUnreplacedVoterTimeout{40000};

// Time that a member which shuts down gives requests in progress and the
// messages that it has sent.
constexpr Millis kDepartureDelay{300};

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

// Returns the number of voters that the group keeps so as to tolerate as many
// failures. Pure and thread-safe.
size_t MinVotersFor(size_t tolerated_failures);

// What a member that shuts down does next.
enum class DepartureStep : uint8_t {
  kWait,
  kRequestRemoval,
  kStop,
};

// Decides the next step of a member that has been shutting down for `elapsed`.
// A voter that the group can spare asks to be removed first: after a planned
// replacement it would otherwise remain a voter that no longer answers. `limit`
// bounds the wait. Pure and thread-safe.
DepartureStep NextDepartureStep(const ReplicaStatus& status, Millis elapsed,
                                Millis limit, size_t min_voters);

// Maintains the group of core members without operator intervention: promotes
// learners that have caught up, and removes members that were replaced, shut
// down or are inactive. Changes are proposed by the leader only. Not
// thread-safe.
class CoreMembership {
 public:
  explicit CoreMembership(size_t min_voters = kMinVoters)
      : min_voters(min_voters) {}

  // Returns the removal of member `id`, which is shutting down. Returns nothing
  // if this replica is not the leader, a change is in flight, or the group
  // keeps the member in case it returns. Thread-safe.
  std::optional<MembershipChange> ChangeForDeparture(
      const ReplicaStatus& status, MemberId id) const;

  // Returns the next change to propose. Returns nothing if this replica is not
  // the leader or a change is in flight.
  std::optional<MembershipChange> NextChange(Millis now,
                                             const ReplicaStatus& status);

 private:
  bool InactiveLongerThan(Millis now, MemberId id, Millis timeout) const;
  // Whether another member became a voter after this one was last active.
  bool HasReplacement(MemberId id) const;

  size_t min_voters;
  std::map<MemberId, Millis> last_active;
  // When this leader first saw each voter.
  std::map<MemberId, Millis> voter_since;
};

}  // namespace cornelhill
