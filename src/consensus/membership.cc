#include "cornelhill/consensus/membership.h"

#include <algorithm>

namespace cornelhill {

namespace {

std::string Name(MemberId id) { return "member " + std::to_string(id.Value()); }

}  // namespace

const Member* FindMember(const Membership& membership, MemberId id) {
  const auto found =
      std::find_if(membership.members.begin(), membership.members.end(),
                   [id](const Member& member) { return member.id == id; });
  return found == membership.members.end() ? nullptr : &*found;
}

bool IsVoter(const Membership& membership, MemberId id) {
  const Member* member = FindMember(membership, id);
  return member != nullptr && member->voter;
}

size_t VoterCount(const Membership& membership) {
  return static_cast<size_t>(
      std::count_if(membership.members.begin(), membership.members.end(),
                    [](const Member& member) { return member.voter; }));
}

size_t QuorumSize(const Membership& membership) {
  return VoterCount(membership) / 2 + 1;
}

int FaultsTolerated(const Membership& membership,
                    const std::set<MemberId>& healthy) {
  int count = 0;
  for (const Member& member : membership.members) {
    if (member.voter && healthy.contains(member.id)) ++count;
  }
  return count - static_cast<int>(QuorumSize(membership));
}

Result<Membership> ApplyChange(const Membership& membership,
                               const MembershipChange& change,
                               LogIndex caught_up_index) {
  Membership next = membership;
  if (const auto* add = std::get_if<AddLearner>(&change)) {
    if (add->id <= membership.highest_id) {
      return Error{ErrorCode::kConflict,
                   Name(add->id) +
                       " is not new: a new ID must be greater than " +
                       std::to_string(membership.highest_id.Value())};
    }
    if (membership.members.size() >= kMaxMembers) {
      return Error{ErrorCode::kInvalidArgument,
                   "the membership already has the limit of " +
                       std::to_string(kMaxMembers) + " members"};
    }
    if (add->address.size() > kMaxMemberAddressBytes) {
      return Error{ErrorCode::kInvalidArgument,
                   "address of " + std::to_string(add->address.size()) +
                       " bytes is larger than " +
                       std::to_string(kMaxMemberAddressBytes)};
    }
    next.members.push_back({add->id, false, 0, add->address});
    next.highest_id = add->id;
    return next;
  }
  const MemberId id = std::holds_alternative<PromoteLearner>(change)
                          ? std::get<PromoteLearner>(change).id
                          : std::get<RemoveMember>(change).id;
  const auto found =
      std::find_if(next.members.begin(), next.members.end(),
                   [id](const Member& member) { return member.id == id; });
  if (found == next.members.end()) {
    return Error{ErrorCode::kNotFound, Name(id) + " does not exist"};
  }
  if (std::holds_alternative<PromoteLearner>(change)) {
    if (found->voter) {
      return Error{ErrorCode::kConflict, Name(id) + " is a voter already"};
    }
    found->voter = true;
    found->caught_up_index = caught_up_index;
    return next;
  }
  if (found->voter && VoterCount(membership) == 1) {
    return Error{ErrorCode::kInvalidArgument,
                 Name(id) + " is the only voter and cannot be removed"};
  }
  next.members.erase(found);
  return next;
}

}  // namespace cornelhill
