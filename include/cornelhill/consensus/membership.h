#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cornelhill/base/result.h"
#include "cornelhill/base/strong_id.h"

namespace cornelhill {

// Identifies one data directory as a member of the replicated log. IDs are
// never reused: an instance whose disk was lost rejoins under a new one. 0 is
// not a valid ID.
using MemberId = StrongId<struct MemberIdTag, uint64_t>;
// Election term.
using Term = StrongId<struct TermTag, uint64_t>;
// Position in the log, starting at 1. A plain integer because the log does
// arithmetic with it; other modules use the strong type `Revision`.
using LogIndex = uint64_t;

struct Member {
  MemberId id;
  bool voter = false;
  // Committed index that the member had synced when it became a voter. A
  // replica that runs as this voter with a shorter log has lost its log.
  LogIndex caught_up_index = 0;
  // Address at which other members reach it; not interpreted by this module.
  std::string address;

  bool operator==(const Member&) const = default;
};

struct Membership {
  std::vector<Member> members;
  // Highest member ID ever assigned, including removed members.
  MemberId highest_id;

  bool operator==(const Membership&) const = default;
};

// 9 control instances, with room for learners that replace them.
constexpr size_t kMaxMembers = 32;
constexpr size_t kMaxMemberAddressBytes = 256;

// Adds a non-voting member that receives the log. `id` must be greater than
// `Membership::highest_id`.
struct AddLearner {
  MemberId id;
  std::string address;
};

// Makes a learner a voter.
struct PromoteLearner {
  MemberId id;
};

struct RemoveMember {
  MemberId id;
};

using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

// The functions below are pure and thread-safe.

// Returns null if `id` is not a member.
const Member* FindMember(const Membership& membership, MemberId id);

bool IsVoter(const Membership& membership, MemberId id);

size_t VoterCount(const Membership& membership);

// Returns the number of voters that form a quorum.
size_t QuorumSize(const Membership& membership);

// Returns how many more voters can fail before the quorum is lost. `healthy`
// are the members that respond and have synced the committed log. 0: one more
// failure stops writes. Negative: the quorum is already lost.
int FaultsTolerated(const Membership& membership,
                    const std::set<MemberId>& healthy);

// Returns the membership after `change`. `caught_up_index` is recorded for a
// promoted learner. Fails with `kInvalidArgument`, `kNotFound` or `kConflict`
// if the change cannot be applied to `membership`.
Result<Membership> ApplyChange(const Membership& membership,
                               const MembershipChange& change,
                               LogIndex caught_up_index);

}  // namespace cornelhill
