#include "cornelhill/control/core_membership.h"

#include <criterion/criterion.h>

namespace cornelhill {
namespace {

std::string Address(uint32_t host, uint64_t token) {
  return ToString(CoreAddress{{host, 7720}, "a", token});
}

ReplicaStatus Leading(const std::vector<Member>& members) {
  ReplicaStatus status;
  status.self = MemberId(1);
  status.role = ReplicaRole::kLeader;
  for (const Member& member : members) {
    status.members.push_back({member, 0, true, true});
    status.membership.members.push_back(member);
  }
  return status;
}

Test(core_membership, address_text_round_trips) {
  const CoreAddress address{{0x0a01000a, 7720}, "norte-a", 12345};
  cr_assert(ParseCoreAddress(ToString(address)).value() == address);
  cr_assert_not(ParseCoreAddress("10.1.0.10:7720").has_value());
  cr_assert_not(ParseCoreAddress("10.1.0.10:7720#a#x").has_value());
  cr_assert_not(ParseCoreAddress("#a#1").has_value());
}

// Guards against a member that lost its disk and rejoined being counted as two
// voters, the old one and the new one.
Test(core_membership, member_that_lost_its_disk_is_replaced) {
  CoreMembership membership;
  ReplicaStatus status = Leading({{MemberId(1), true, 0, Address(1, 1)},
                                  {MemberId(2), true, 0, Address(2, 2)},
                                  {MemberId(3), true, 0, Address(3, 3)},
                                  {MemberId(4), false, 0, Address(3, 9)}});
  status.members[2].active = false;
  auto change = membership.NextChange(Millis(0), status);
  cr_assert_eq(std::get<PromoteLearner>(*change).id.Value(), 4U);
  status.members[3].member.voter = true;
  status.membership.members[3].voter = true;
  change = membership.NextChange(Millis(10), status);
  cr_assert_eq(std::get<RemoveMember>(*change).id.Value(), 3U);
}

// Guards against a network partition shrinking the group although no other
// member has replaced the inactive one.
Test(core_membership, inactive_member_stays_until_replaced) {
  CoreMembership membership;
  ReplicaStatus status = Leading({{MemberId(1), true, 0, Address(1, 1)},
                                  {MemberId(2), true, 0, Address(2, 2)},
                                  {MemberId(3), true, 0, Address(3, 3)}});
  status.members[2].active = false;
  for (int64_t t = 0; t < 60000; t += 500) {
    cr_assert_not(membership.NextChange(Millis(t), status).has_value());
  }
  const Member added{MemberId(4), true, 0, Address(4, 4)};
  status.members.push_back({added, 0, true, true});
  status.membership.members.push_back(added);
  const auto change = membership.NextChange(Millis(60000), status);
  cr_assert_eq(std::get<RemoveMember>(*change).id.Value(), 3U);
}

// Guards against a group that tolerates no failure: a replacement had joined as
// fourth voter, the replaced member then left for good, and a new leader, which
// had seen neither, kept it for 40 s. The loss of one more disk in that time
// left two of four voters, so the group never had a leader again.
Test(core_membership, a_fourth_voter_does_not_keep_an_inactive_one) {
  CoreMembership membership;
  ReplicaStatus status = Leading({{MemberId(1), true, 0, Address(1, 1)},
                                  {MemberId(2), true, 0, Address(2, 2)},
                                  {MemberId(3), true, 0, Address(3, 3)},
                                  {MemberId(4), true, 0, Address(4, 4)}});
  status.members[2].active = false;
  std::optional<MembershipChange> change;
  Millis now;
  for (; !change.has_value() && now < Millis(10000); now += Millis(500)) {
    change = membership.NextChange(now, status);
  }
  cr_assert(change.has_value());
  cr_assert_eq(std::get<RemoveMember>(*change).id.Value(), 3U);
  cr_assert_gt(now, kReplacedVoterTimeout, "a restart takes less time");
}

// Guards against a partition that disconnects two of six members reducing the
// number of failures that the group tolerates although no other member has
// replaced them. Six voters tolerate two failures, and so do five.
Test(core_membership, large_group_keeps_its_tolerance_during_a_partition) {
  CoreMembership membership;
  std::vector<Member> members;
  for (uint64_t id = 1; id <= 6; ++id) {
    members.push_back(
        {MemberId(id), true, 0, Address(static_cast<uint32_t>(id), id)});
  }
  ReplicaStatus status = Leading(members);
  cr_assert_not(membership.NextChange(Millis(0), status).has_value());
  status.members[4].active = false;
  status.members[5].active = false;
  for (int64_t t = 500; t < 30000; t += 500) {
    const auto change = membership.NextChange(Millis(t), status);
    if (!change.has_value()) continue;
    const MemberId removed = std::get<RemoveMember>(*change).id;
    cr_assert_geq(removed.Value(), 5U, "active members stay");
    std::erase_if(members,
                  [removed](const Member& item) { return item.id == removed; });
    cr_assert_geq((members.size() - 1) / 2, 2U);
    status = Leading(members);
    status.members[4].active = false;
  }
  cr_assert_eq(members.size(), 5U);
  cr_assert(membership.NextChange(Millis(71000), status).has_value());
}

Test(core_membership, one_change_at_a_time_and_by_the_leader_only) {
  CoreMembership membership;
  ReplicaStatus status = Leading({{MemberId(1), true, 0, Address(1, 1)},
                                  {MemberId(2), false, 0, Address(2, 2)}});
  status.change_in_flight = true;
  cr_assert_not(membership.NextChange(Millis(0), status).has_value());
  status.change_in_flight = false;
  status.role = ReplicaRole::kFollower;
  cr_assert_not(membership.NextChange(Millis(0), status).has_value());
}

}  // namespace
}  // namespace cornelhill
