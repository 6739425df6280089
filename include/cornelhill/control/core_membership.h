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

// Voters that the group keeps even where some are silent: a silent member is
// removed only once another has taken its place.
constexpr size_t kMinVoters = 3;

// A silent voter is removed after this time once another was promoted since it
// fell silent. A member that restarts is back by then as a rule.
constexpr Millis kReplacedVoterTimeout{6000};

// The same where no other was promoted under this leader: cuts last for 15 s at
// most, and each removal lowers the number of losses that the group bears.
constexpr Millis kUnreplacedVoterTimeout{40000};

// A learner whose folder was lost before it took part never comes back.
constexpr Millis kLearnerTimeout{10000};

// What a member's address text holds: where it is reached, its failure domain
// and a token of the data folder that asked to join.
struct CoreAddress {
  Endpoint endpoint;
  std::string failure_domain;
  uint64_t token = 0;

  bool operator==(const CoreAddress&) const = default;
};

// Formats and parses "10.1.0.10:7720#zone#token". Thread-safe.
std::string ToString(const CoreAddress& address);
Result<CoreAddress> ParseCoreAddress(const std::string& text);

// Repairs the group of core members without an operator: promotes learners
// that have caught up, and removes members that others have replaced. Asked by
// the leader only. Not thread-safe.
class CoreMembership {
 public:
  // Returns the next change to propose, one at a time.
  std::optional<MembershipChange> NextChange(Millis now,
                                             const ReplicaStatus& status);

 private:
  bool InactiveLongerThan(Millis now, MemberId id, Millis timeout) const;
  // Whether a member was promoted after this one was last active.
  bool HasReplacement(MemberId id) const;

  std::map<MemberId, Millis> last_active;
  std::map<MemberId, Millis> voter_since;  // As this leader has seen it.
};

}  // namespace cornelhill
