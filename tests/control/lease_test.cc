#include <criterion/criterion.h>

#include <set>
#include <vector>

#include "cornelhill/control/agent_lease.h"
#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/domain_collector.h"
#include "cornelhill/control/lease_table.h"
#include "tests/control/lease_cluster.h"

namespace cornelhill {
namespace {

using fake::Faults;
using fake::kLeader;
using fake::LeaseCluster;
using fake::NoFaults;

// Guards against renewals that enter the log, and against summaries that carry
// more than one bit per agent once the leader knows the agents.
Test(lease, renewals_never_become_commands) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    LeaseCluster cluster(seed, 90, Faults());
    cluster.Run(Millis(10000));
    cr_assert_eq(cluster.Upstreams(), 90, "seed %lu: %zu upstreams", seed,
                 cluster.Upstreams());
    cr_assert_eq(cluster.joins, 90, "seed %lu: %d joins", seed, cluster.joins);
    const Revision before = cluster.state.CurrentRevision();
    cluster.Run(Millis(60000));
    cr_assert(cluster.state.CurrentRevision() == before,
              "seed %lu: revision changed after %d joins and %d leaves", seed,
              cluster.joins, cluster.leaves);
    cr_assert(cluster.largest_steady_summary < 64,
              "seed %lu: steady summary of %zu bytes", seed,
              cluster.largest_steady_summary);
  }
  LeaseCluster cluster(1, 90, NoFaults());
  cluster.Run(Millis(60000));
  cr_assert_eq(cluster.collectors.size(), 3);
}

// Guards against an agent that decides on new flows after its buckets were
// reassigned. No upstream is removed while its agent may decide, under message
// loss, agent pauses, network partitions and leader changes.
Test(lease, no_upstream_is_removed_while_its_agent_may_decide) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    LeaseCluster cluster(seed, 21, Faults());
    Random random(seed);
    cluster.Run(Millis(5000));
    for (int round = 0; round < 30; ++round) {
      auto& agent = cluster.agents.at(InstanceId(100 + random.Below(21)));
      agent.paused = !agent.paused;
      const InstanceId cut(100 + random.Below(21));
      cluster.queue.SetGroup(cut, static_cast<int>(random.Below(2)));
      if (random.Chance(0.2)) cluster.ElectNewLeader();
      cluster.Run(Millis(static_cast<int64_t>(random.Below(8000))));
    }
    cr_assert_eq(cluster.unsafe_leaves, 0, "seed %lu: %d unsafe leaves", seed,
                 cluster.unsafe_leaves);
    cr_assert(cluster.leaves > 0, "seed %lu: no upstream was removed", seed);
    for (uint64_t id = 100; id < 121; ++id) {
      cluster.agents.at(InstanceId(id)).paused = false;
      cluster.queue.SetGroup(InstanceId(id), 0);
    }
    cluster.Run(Millis(20000));
    cr_assert_eq(cluster.Upstreams(), 21, "seed %lu: %zu", seed,
                 cluster.Upstreams());
    cr_assert_eq(cluster.AgentsThatMayDecide(), 21, "seed %lu: %zu", seed,
                 cluster.AgentsThatMayDecide());
  }
}

// Guards against the removal of all upstreams of a service when the leader is
// disconnected from them for a short time, and against upstreams that are never
// removed when the loss is permanent.
Test(lease, mass_expiry_removes_nothing_for_30_s) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    LeaseCluster cluster(seed, 7, Faults());
    cluster.Run(Millis(5000));
    cr_assert_eq(cluster.Upstreams(), 7);
    cluster.queue.SetGroup(kLeader, 1);
    cluster.Run(Millis(30000));
    cr_assert_eq(cluster.AgentsThatMayDecide(), 0);
    cr_assert_eq(cluster.Upstreams(), 7, "seed %lu: %zu", seed,
                 cluster.Upstreams());
    cr_assert_eq(cluster.leaves, 0);
    cluster.queue.SetGroup(kLeader, 0);
    cluster.Run(Millis(10000));
    cr_assert_eq(cluster.AgentsThatMayDecide(), 7, "seed %lu", seed);
    cr_assert_eq(cluster.leaves, 0);
    cluster.queue.SetGroup(kLeader, 1);
    cluster.Run(Millis(40000));
    cr_assert_eq(cluster.Upstreams(), 0, "seed %lu", seed);
  }
}

// Guards against the loss of most upstreams of a service being treated as
// several independent losses because they fail one after another.
Test(lease, losses_within_one_lease_duration_count_together) {
  LeaseCluster cluster(1, 7, NoFaults());
  cluster.Run(Millis(5000));
  for (uint64_t id = 100; id < 105; ++id) {
    cluster.agents.at(InstanceId(id)).paused = true;
    cluster.Run(Millis(1000));
  }
  cluster.Run(Millis(15000));
  cr_assert_eq(cluster.Upstreams(), 7, "%zu", cluster.Upstreams());
  cluster.Run(Millis(20000));
  cr_assert_eq(cluster.Upstreams(), 2, "%zu", cluster.Upstreams());
}

// Guards against the removal delay being applied although a second process has
// reported the loss, and against a report alone removing a live upstream.
Test(lease, second_observer_confirms_a_mass_expiry) {
  LeaseCluster cluster(1, 7, NoFaults());
  cluster.Run(Millis(5000));
  cluster.table->OnLossReport(
      cluster.now, {InstanceId(7), InstanceId(106), Incarnation(1000)});
  cluster.Run(Millis(5000));
  cr_assert_eq(cluster.Upstreams(), 7);
  cr_assert_eq(cluster.leaves, 0);
  for (uint64_t id = 100; id < 104; ++id) {
    cluster.agents.at(InstanceId(id)).paused = true;
  }
  cluster.Run(Millis(10000));
  cr_assert_eq(cluster.Upstreams(), 7);
  cr_assert_eq(cluster.table->RetainedCount(), 4);
  for (uint64_t id = 100; id < 103; ++id) {
    cluster.table->OnLossReport(
        cluster.now, {InstanceId(7), InstanceId(id), Incarnation(1000)});
  }
  cluster.Run(Millis(200));
  cr_assert_eq(cluster.Upstreams(), 4);
}

// Guards against an upstream that is never removed after its instance crashed.
Test(lease, single_loss_is_removed_after_its_lease) {
  LeaseCluster cluster(1, 7, NoFaults());
  cluster.Run(Millis(5000));
  cluster.agents.at(InstanceId(103)).paused = true;
  cluster.Run(Millis(4000));
  cr_assert_eq(cluster.Upstreams(), 7);
  cluster.Run(Millis(4000));
  cr_assert_eq(cluster.Upstreams(), 6);
}

// Guards against a new leader that removes upstreams whose renewals it has not
// received yet.
Test(lease, new_leader_grants_full_leases) {
  LeaseCluster cluster(1, 21, NoFaults());
  cluster.Run(Millis(5000));
  cluster.leader_running = false;
  cluster.Run(Millis(3000));
  cluster.leader_running = true;
  cluster.ElectNewLeader();
  cluster.Run(Millis(20000));
  cr_assert_eq(cluster.leaves, 0, "%d leaves", cluster.leaves);
  cr_assert_eq(cluster.joins, 21, "%d joins", cluster.joins);
  cr_assert_eq(cluster.AgentsThatMayDecide(), 21);
}

// Guards against leases that expire because their collector failed. Another
// process must take over in time.
Test(lease, collector_takeover_ends_no_lease) {
  LeaseCluster cluster(1, 30, NoFaults());
  cluster.Run(Millis(5000));
  const std::set<InstanceId> first = cluster.collectors;
  for (const InstanceId id : first) cluster.agents.at(id).paused = true;
  for (int i = 0; i < 80; ++i) {
    cluster.Run(Millis(100));
    cr_assert(cluster.AgentsThatMayDecide() >= 30 - first.size(),
              "too few agents with a lease at step %d", i);
  }
}

// Guards against a late message of an earlier incarnation of an agent, and
// against a restart after the wall clock was set back.
Test(lease, lower_incarnation_is_refused) {
  LeaseCluster cluster(1, 7, NoFaults());
  cluster.Run(Millis(5000));
  Announcement old;
  old.instance = InstanceId(103);
  old.incarnation = Incarnation(999);
  old.application = "aula-app";
  const auto ack =
      cluster.table->OnAnnouncement(cluster.now, cluster.state, old);
  cr_assert(ack && ack->status == RenewalStatus::kRefused);
  cr_assert(ack->known == Incarnation(1000));
  cluster.Start(cluster.members[3], 500);
  cluster.Run(Millis(5000));
  const AgentLease& lease = *cluster.agents.at(InstanceId(103)).lease;
  cr_assert(lease.CurrentIncarnation() == Incarnation(1001));
  cr_assert(lease.MayDecide(cluster.now));
}

// Guards against an agent that continues under its old incarnation after a
// pause longer than its lease.
Test(lease, paused_agent_continues_under_a_new_incarnation) {
  LeaseCluster cluster(1, 7, NoFaults());
  cluster.Run(Millis(5000));
  auto& agent = cluster.agents.at(InstanceId(103));
  agent.paused = true;
  cluster.Run(Millis(6000));
  agent.paused = false;
  cr_assert(!agent.lease->MayDecide(cluster.now));
  cluster.Run(Millis(3000));
  cr_assert(agent.lease->CurrentIncarnation() == Incarnation(1001));
  cr_assert(agent.lease->MayDecide(cluster.now));
}

// Guards against a lease counted from its acknowledgement, which may arrive so
// late that the leader's lease expires first, and against an expired agent that
// continues under its old incarnation until it is refused.
Test(lease, lease_counts_from_before_the_renewal_was_sent) {
  const SpreadMember self{InstanceId(9), {0x7f000001, 9}, 0, {}, false};
  Announcement announcement;
  announcement.instance = self.id;
  announcement.incarnation = Incarnation(10);
  AgentLease lease(Millis(0), self, announcement, 1);
  lease.SetMembers(Millis(0), {self});
  const Millis sent = lease.NextTick();
  const std::vector<Outgoing> messages = lease.OnTick(sent);
  cr_assert_eq(messages.size(), 1);
  const uint64_t sequence =
      std::get<Announcement>(messages[0].message).sequence;
  cr_assert(!lease.MayDecide(sent));
  lease.OnAck(sent + Millis(4000), {self.id, Incarnation(10), sequence,
                                    RenewalStatus::kGranted, Incarnation()});
  cr_assert(lease.MayDecide(sent + kLeaseDuration - Millis(1)));
  cr_assert(!lease.MayDecide(sent + kLeaseDuration));
  (void)lease.OnTick(sent + kLeaseDuration);
  cr_assert(lease.CurrentIncarnation() == Incarnation(11));
  cr_assert(!lease.MayDecide(sent + kLeaseDuration));
}

// Guards against a deposed leader that extends leases which its successor ends.
Test(lease, unconfirmed_leader_grants_nothing) {
  LeaseCluster cluster(1, 7, NoFaults());
  Announcement announcement;
  announcement.instance = InstanceId(500);
  announcement.incarnation = Incarnation(1);
  announcement.application = "aula-app";
  LeaseTable table(Millis(0), 1, cluster.state);
  cr_assert(!table.OnAnnouncement(Millis(0), cluster.state, announcement));
  table.ConfirmLeadership(Millis(100));
  cr_assert(table.OnAnnouncement(Millis(99), cluster.state, announcement)
                .has_value());
  cr_assert(!table.OnAnnouncement(Millis(100), cluster.state, announcement));
}

// Guards against a planned departure that takes effect only after the lease
// expires.
Test(lease, leaving_agent_is_removed_at_once) {
  LeaseCluster cluster(1, 7, NoFaults());
  cluster.Run(Millis(5000));
  AgentLease& lease = *cluster.agents.at(InstanceId(103)).lease;
  for (const Outgoing& message : lease.Leave(cluster.now)) {
    cluster.queue.Send(cluster.now, InstanceId(103), message.to,
                       Encode(message.message));
  }
  cr_assert(!lease.MayDecide(cluster.now));
  cluster.Run(Millis(1500));
  cr_assert_eq(cluster.Upstreams(), 6);
  cr_assert(lease.HasLeft());
}

}  // namespace
}  // namespace cornelhill
