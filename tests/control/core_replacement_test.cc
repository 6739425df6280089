// Replacement of core members, with `CoreMembership` and `NextDepartureStep`
// in charge of a modelled group: at which moments it survives further losses.

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <vector>

#include "cornelhill/control/core_membership.h"

namespace cornelhill {
namespace {

// Time in which a machine that was added must be able to take the place of the
// one that it replaces.
constexpr Millis kCatchUp{4000};
constexpr Millis kStep{50};
constexpr Millis kMembershipPeriod{500};
constexpr Millis kDepartureLimit{5500};

// A group in which each committed change takes effect at once. The leader is
// the running voter with the lowest ID.
class Group {
 public:
  Group(size_t size, size_t tolerated_failures)
      : tolerated(tolerated_failures),
        min_voters(MinVotersFor(tolerated_failures)),
        decisions(min_voters) {
    for (size_t i = 0; i < size; ++i) {
      this->group.members.push_back({this->NewId(), true, 0, this->Address()});
      this->running.insert(this->group.highest_id);
    }
  }

  // Starts a member with an empty disk.
  MemberId Add() {
    const MemberId id = this->NewId();
    this->group.members.push_back({id, false, 0, this->Address()});
    this->running.insert(id);
    return id;
  }

  void Kill(MemberId id) { this->running.erase(id); }

  // Shuts the members down at the same time. Returns when all have ended.
  void Stop(const std::vector<MemberId>& leaving) {
    const Millis started = this->now;
    std::set<MemberId> left(leaving.begin(), leaving.end());
    while (!left.empty()) {
      for (const MemberId id : leaving) {
        if (!left.contains(id)) continue;
        ReplicaStatus status = this->Status();
        status.self = id;
        const DepartureStep step = NextDepartureStep(
            status, this->now - started, kDepartureLimit, this->min_voters);
        if (step == DepartureStep::kStop) {
          left.erase(id);
          this->running.erase(id);
        } else if (step == DepartureStep::kRequestRemoval) {
          this->Apply(this->decisions.ChangeForDeparture(this->Status(), id));
        }
      }
      this->Run(kStep);
    }
  }

  void Run(Millis time) {
    for (const Millis end = this->now + time; this->now < end;) {
      this->now += kStep;
      if (this->now.Count() % kMembershipPeriod.Count() != 0) continue;
      this->Apply(this->decisions.NextChange(this->now, this->Status()));
    }
  }

  // A new leader has seen none of what happened before.
  void ChangeLeader() { this->decisions = CoreMembership(this->min_voters); }

  size_t Voters() const { return VoterCount(this->group); }

  // Whether a quorum remains if the disks of as many running voters are lost as
  // the deployment tolerates.
  bool SurvivesTheToleratedLosses() const {
    return this->RunningVoters() >= QuorumSize(this->group) + this->tolerated;
  }

 private:
  MemberId NewId() {
    this->group.highest_id = MemberId(this->group.highest_id.Value() + 1);
    return this->group.highest_id;
  }

  std::string Address() const {
    const auto host = static_cast<uint32_t>(this->group.highest_id.Value());
    return ToString(CoreAddress{{host, 7720}, "a", host});
  }

  size_t RunningVoters() const {
    return static_cast<size_t>(std::count_if(
        this->group.members.begin(), this->group.members.end(),
        [this](const Member& member) {
          return member.voter && this->running.contains(member.id);
        }));
  }

  ReplicaStatus Status() const {
    ReplicaStatus status;
    status.role = ReplicaRole::kLeader;
    status.membership = this->group;
    for (const Member& member : this->group.members) {
      const bool active = this->running.contains(member.id);
      if (active && member.voter && status.self == MemberId()) {
        status.self = member.id;
      }
      status.members.push_back({member, 0, active, active});
    }
    return status;
  }

  void Apply(const std::optional<MembershipChange>& change) {
    // Without a quorum nothing is committed.
    if (!change.has_value() || this->RunningVoters() < QuorumSize(this->group))
      return;
    this->group = ApplyChange(this->group, *change, 0).value();
  }

  size_t tolerated;
  size_t min_voters;
  CoreMembership decisions;
  Millis now;
  Membership group;
  std::set<MemberId> running;
};

struct Deployment {
  size_t members;
  size_t tolerated_failures;
};

constexpr std::array<Deployment, 6> kDeployments = {
    {{3, 1}, {4, 1}, {5, 2}, {6, 2}, {8, 2}, {9, 4}}};

// Guards against a group that never has a leader again: a member that had been
// replaced as planned ended and stayed a voter, and disks that may be lost in
// that state left no quorum.
Test(core_replacement, a_planned_replacement_leaves_all_failures_to_tolerate) {
  for (const Deployment& deployment : kDeployments) {
    for (size_t count = 1; count <= 2; ++count) {
      for (const bool new_leader : {false, true}) {
        Group group(deployment.members, deployment.tolerated_failures);
        group.Run(Millis(10000));
        std::vector<MemberId> leaving;
        for (size_t i = 0; i < count; ++i) {
          group.Add();
          leaving.push_back(MemberId(deployment.members - i));
        }
        group.Run(kCatchUp);
        if (new_leader) group.ChangeLeader();
        group.Stop(leaving);
        cr_assert(group.SurvivesTheToleratedLosses(),
                  "%zu members, %zu replaced, %zu voters left",
                  deployment.members, count, group.Voters());
      }
    }
  }
}

// Guards against the same state after a member was lost without notice: its
// successor had started, and had had its time to catch up.
Test(core_replacement, a_lost_member_is_replaced_within_the_catch_up_time) {
  for (const Deployment& deployment : kDeployments) {
    for (const bool new_leader : {false, true}) {
      Group group(deployment.members, deployment.tolerated_failures);
      group.Run(Millis(10000));
      group.Kill(MemberId(deployment.members));
      group.Run(Millis(1000));
      group.Add();
      group.Run(Millis(1000));
      if (new_leader) group.ChangeLeader();
      group.Run(kCatchUp - Millis(1000));
      cr_assert(group.SurvivesTheToleratedLosses(), "%zu members, %zu voters",
                deployment.members, group.Voters());
    }
  }
}

// Guards against a restart costing a member its place where the group needs it:
// until the member returns, the group tolerates one failure less.
Test(core_replacement, a_group_of_minimum_size_keeps_a_member_that_restarts) {
  for (const Deployment& deployment : {kDeployments[0], kDeployments[2]}) {
    Group group(deployment.members, deployment.tolerated_failures);
    group.Run(Millis(10000));
    group.Stop({MemberId(2)});
    group.Run(Millis(1500));
    cr_assert_eq(group.Voters(), deployment.members);
  }
}

// Guards against a member that waits for its removal until it is killed: the
// group has just the voters that it needs, or it has no leader.
Test(core_replacement, a_departure_ends) {
  ReplicaStatus status;
  status.self = MemberId(2);
  for (uint64_t id = 1; id <= 3; ++id) {
    status.membership.members.push_back({MemberId(id), true, 0, ""});
  }
  const Millis limit(2000);
  const auto step = [&](int64_t elapsed) {
    return NextDepartureStep(status, Millis(elapsed), limit, kMinVoters);
  };
  cr_assert(step(0) == DepartureStep::kWait, "sent messages need some time");
  cr_assert(step(kDepartureDelay.Count()) == DepartureStep::kStop);
  status.membership.members.push_back({MemberId(4), false, 0, ""});
  cr_assert(step(500) == DepartureStep::kRequestRemoval);
  cr_assert(step(2000) == DepartureStep::kStop);
  status.membership.members.erase(status.membership.members.begin() + 1);
  status.change_in_flight = true;
  cr_assert(step(500) == DepartureStep::kWait, "not committed yet");
  status.change_in_flight = false;
  cr_assert(step(500) == DepartureStep::kStop);
}

}  // namespace
}  // namespace cornelhill
