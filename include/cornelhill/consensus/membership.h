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

// Identifies one data directory as a member of the replicated log. Never
// reused: an instance whose disk was lost returns under a new one. 0 is no
// member.
using MemberId = StrongId<struct MemberIdTag, uint64_t>;
// Numbers the elections.
using Term = StrongId<struct TermTag, uint64_t>;
// Position in the log, starting at 1. A plain integer because the log computes
// with it; `Revision` is the strong form that other modules use.
using LogIndex = uint64_t;

struct Member {
  MemberId id;
  bool voter = false;
  // The member had synced this committed index when it became a voter. A
  // replica that is asked to act as this voter and holds less has lost its log.
  LogIndex caught_up_index = 0;
  // Where other members reach it; opaque to this module.
  std::string address;

  bool operator==(const Member&) const = default;
};

struct Membership {
  std::vector<Member> members;
  // Highest member ID ever used, including removed members.
  MemberId highest_id;

  bool operator==(const Membership&) const = default;
};

// 9 control instances, and room for learners that replace them.
constexpr size_t kMaxMembers = 32;
constexpr size_t kMaxMemberAddressBytes = 256;

// Adds a member that receives the log and has no vote. `id` must be above
// `Membership::highest_id`.
struct AddLearner {
  MemberId id;
  std::string address;
};

// Gives a learner its vote.
struct PromoteLearner {
  MemberId id;
};

struct RemoveMember {
  MemberId id;
};

using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

// The functions below are pure and thread-safe.

// Returns null where `id` is not a member.
const Member* FindMember(const Membership& membership, MemberId id);

bool IsVoter(const Membership& membership, MemberId id);

size_t VoterCount(const Membership& membership);

// Returns the number of voters that form a quorum.
size_t QuorumSize(const Membership& membership);

// Returns how many more voters may fail before the quorum is lost, where
// `healthy` are the members that answer and have synced the committed log.
// 0: the next fault stops writes. Negative: the quorum is lost already.
int FaultsTolerated(const Membership& membership,
                    const std::set<MemberId>& healthy);

// Returns the membership after `change`. `caught_up_index` is recorded for a
// promoted learner. Fails with `kInvalidArgument`, `kNotFound` or `kConflict`
// where the change does not fit the membership.
Result<Membership> ApplyChange(const Membership& membership,
                               const MembershipChange& change,
                               LogIndex caught_up_index);

}  // namespace cornelhill
