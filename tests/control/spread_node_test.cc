#include "cornelhill/control/spread_node.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tests/control/spread_cluster.h"

namespace cornelhill {
namespace {

using fake::Faults;
using fake::SpreadCluster;

// Guards against a parent with too many children, a cycle, and a process with
// no path to a control instance, with any one relay suspected.
Test(spread_tree, fan_out_is_bounded_and_paths_end_at_control) {
  std::vector<SpreadMember> members;
  for (uint64_t i = 0; i < 9 + 1300; ++i) {
    SpreadMember member;
    member.id = InstanceId(i + 1);
    member.control = i < 9;
    const auto domain = static_cast<uint32_t>(i % 26);
    member.region = domain / 4;
    member.failure_domain = FailureDomainId(domain);
    members.push_back(member);
  }
  for (const uint64_t suspect : {0, 50, 51, 52, 53, 700}) {
    const std::set<InstanceId> suspected = {InstanceId(suspect)};
    std::map<InstanceId, size_t> children;
    for (const SpreadMember& member : members) {
      const SpreadMember* at = &member;
      size_t hops = 0;
      for (; !at->control; ++hops) {
        const SpreadMember* parent = ParentOf(*at, members, suspected);
        cr_assert(parent != nullptr && hops < 10);
        if (at == &member) ++children[parent->id];
        at = parent;
      }
    }
    for (const auto& [id, count] : children) {
      cr_assert(count <= kMaxChildren, "%lu has %zu children", id.Value(),
                count);
    }
  }
}

// Guards against a daemon that lags, diverges or reverts under continuous
// changes while messages are lost, delayed, duplicated and reordered and relays
// restart; and against a daemon that counts a revision as in effect although
// its parent lacked a service that it needs.
Test(spread_node, converges_under_faults_and_restarts) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    SpreadCluster cluster(seed, 60, 3, Faults());
    cluster.Run(Millis(20000));
    for (int round = 0; round < 40; ++round) {
      cluster.CommitRandomChange();
      if (round % 3 == 0) {
        const InstanceId id(100 + cluster.random.Below(60));
        cluster.Stop(id);
        cluster.Run(Millis(300));
        cluster.Start(id);
      }
      cluster.Run(Millis(400));
    }
    cluster.Run(Millis(30000), [&cluster] { return cluster.Converged(); });
    cr_assert(cluster.Converged(), "seed %lu", seed);
    cr_assert(cluster.ViewsEqual(), "seed %lu", seed);
    cr_assert_eq(cluster.reverts, 0, "seed %lu", seed);
    cr_assert_eq(cluster.incomplete, 0, "seed %lu", seed);
  }
}

// Guards against daemons that wait indefinitely for a failed relay: several
// relays, a follower of the leader among them, fail permanently at the same
// time.
Test(spread_node, relays_lost_for_good_are_replaced) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    SpreadCluster cluster(seed, 80, 4, Faults());
    cluster.Run(Millis(20000));
    std::map<InstanceId, size_t> relays;
    for (const auto& [id, node] : cluster.nodes) {
      if (node->ChildCount() > 0 && id != cluster.leader) {
        relays[id] = node->ChildCount();
      }
    }
    cr_assert(relays.size() > 4);
    int lost = 0;
    for (const auto& [id, children] : relays) {
      if (lost < 5 || cluster.random.Chance(0.5)) {
        cluster.Stop(id);
        ++lost;
      }
    }
    cluster.CommitRandomChange();
    cluster.Run(Millis(60000), [&cluster] { return cluster.Converged(); });
    cr_assert(cluster.Converged(), "seed %lu", seed);
    cr_assert_eq(cluster.reverts, 0, "seed %lu", seed);
    for (const auto& [id, node] : cluster.nodes) {
      cr_assert(node->ChildCount() <= kMaxChildren);
    }
  }
}

// Guards against a violation of invariant 8 by an old leader that is
// partitioned together with some daemons: these keep what they have in effect,
// and those that restart in the partition accept nothing, since the old leader
// may offer a lower revision than they had before.
Test(spread_node, isolated_leader_is_never_accepted) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    SpreadCluster cluster(seed, 30, 3, Faults());
    cluster.Run(Millis(20000), [&cluster] { return cluster.Converged(); });
    cr_assert(cluster.Converged(), "seed %lu", seed);
    // Instance 1 is partitioned from a quorum; some daemons still reach it.
    cluster.publishing = false;
    cluster.queue.SetGroup(InstanceId(2), 1);
    cluster.queue.SetGroup(InstanceId(3), 1);
    std::vector<InstanceId> with_new;
    for (uint64_t id = 110; id < 130; ++id) with_new.emplace_back(id);
    for (const InstanceId id : with_new) cluster.queue.SetGroup(id, 1);
    cluster.ChangeLeader(InstanceId(2), 2, {InstanceId(2), InstanceId(3)});
    cluster.publishing = true;
    for (int i = 0; i < 5; ++i) cluster.CommitRandomChange();
    cluster.Run(Millis(30000));
    const Revision newest = cluster.state.CurrentRevision();
    for (const InstanceId id : with_new) {
      cr_assert(cluster.nodes.at(id)->EffectRevision() == newest,
                "seed %lu daemon %lu", seed, id.Value());
    }
    // Daemons with the newest revision restart in the old leader's partition.
    for (uint64_t id = 110; id < 115; ++id) {
      cluster.Stop(InstanceId(id));
      cluster.queue.SetGroup(InstanceId(id), 0);
      cluster.Start(InstanceId(id));
    }
    cluster.Run(Millis(30000));
    for (uint64_t id = 110; id < 115; ++id) {
      cr_assert(!cluster.nodes.at(InstanceId(id))->HasEffect(),
                "seed %lu daemon %lu", seed, id);
    }
    cr_assert_eq(cluster.reverts, 0, "seed %lu", seed);
    // The partition heals.
    for (const SpreadMember& member : cluster.members) {
      cluster.queue.SetGroup(member.id, 0);
    }
    cluster.nodes.at(InstanceId(1))->SetLeader(cluster.now, InstanceId(2));
    cluster.Run(Millis(60000), [&cluster] { return cluster.Converged(); });
    cr_assert(cluster.Converged(), "seed %lu", seed);
    cr_assert_eq(cluster.reverts, 0, "seed %lu", seed);
  }
}

// Guards against a revert to an older state that a parent offers as confirmed,
// e.g. one restored from an old snapshot: in a reply or an unsolicited update,
// as a delta or a full update, with a lower, the same or a higher term.
Test(spread_node, lower_term_or_revision_is_rejected) {
  const Subscription all{true, {}, {}};
  ControlState old;
  old.Apply(Revision(1),
            {"1", "ana", PutDeclaration{{}, fake::SampleDeclaration(0)}});
  const StoreUpdate old_whole = old.Store().FullUpdate(all);
  ControlState state = old;
  for (uint64_t i = 2; i <= 9; ++i) {
    state.Apply(Revision(i), {std::to_string(i), "",
                              UpstreamJoin{fake::SampleAnnouncement(i, 1)}});
  }
  const SpreadMember parent{InstanceId(1), {0x7f000001, 1}, 0, {}, true};
  const SpreadMember self{InstanceId(9), {0x7f000001, 9}, 0, {}, false};
  SpreadNode node(Millis(0), self, all, 1);
  node.SetMembers(Millis(0), {parent});
  Millis now(1000);
  const auto offer = [&](uint64_t term, const StoreUpdate& update,
                         bool as_reply) {
    now = std::max(now + Millis(1), node.NextTick());
    const std::vector<Outgoing> sent = node.OnTick(now);
    cr_assert_eq(sent.size(), 1);
    SpreadUpdate message;
    message.sender = parent.id;
    const auto& digest = std::get<SpreadDigest>(sent[0].message);
    if (as_reply) message.number = digest.number;
    message.term = term;
    message.subscription_hash = digest.subscription_hash;
    message.update = update;
    (void)node.OnMessage(now, parent.endpoint, message);
  };
  offer(2, state.Store().FullUpdate(all), false);
  cr_assert(!node.HasEffect());
  offer(2, state.Store().FullUpdate(all), true);
  cr_assert(node.HasEffect() && node.EffectRevision() == Revision(9));
  for (const bool as_reply : {true, false}) {
    for (const uint64_t term : {1, 2, 3}) {
      offer(term, old_whole, as_reply);
      offer(term, old.Store().UpdateSince(Revision(1), all), as_reply);
      cr_assert(node.EffectRevision() == Revision(9));
      cr_assert_eq(node.Term(), 2);
    }
    state.Apply(Revision(state.CurrentRevision().Value() + 1),
                {as_reply ? "x" : "y", "",
                 UpstreamJoin{fake::SampleAnnouncement(50, as_reply)}});
    offer(1, state.Store().FullUpdate(all), as_reply);
    cr_assert(node.EffectRevision() == Revision(9));
  }
  cr_assert(node.Counters().lower_revision > 0);
  cr_assert(node.Counters().lower_term > 0);
}

// Guards against a restarted process that accepts a reply to a digest sent
// before the restart: the update was confirmed before the restart, so its
// revision may be lower than the one that the process had in effect.
Test(spread_node, reply_to_digest_from_before_restart_is_rejected) {
  const Subscription all{true, {}, {}};
  ControlState state;
  state.Apply(Revision(1),
              {"1", "ana", PutDeclaration{{}, fake::SampleDeclaration(0)}});
  const SpreadMember parent{InstanceId(1), {0x7f000001, 1}, 0, {}, true};
  const SpreadMember self{InstanceId(9), {0x7f000001, 9}, 0, {}, false};
  SpreadNode root(Millis(0), parent, all, 1);
  SpreadNode earlier(Millis(0), self, all, 2);
  earlier.SetMembers(Millis(0), {parent});
  Millis now(1000);
  (void)root.Publish(now, 1, state.Store(), now);
  const std::vector<Outgoing> digest = earlier.OnTick(now);
  const std::vector<Outgoing> late =
      root.OnMessage(now, self.endpoint, digest.at(0).message);
  cr_assert(std::get<SpreadUpdate>(late.at(0).message).status ==
            SpreadStatus::kOk);

  SpreadNode restarted(now + Millis(100), self, all, 3);
  restarted.SetMembers(now + Millis(100), {parent});
  now += Millis(500);
  cr_assert_eq(restarted.OnTick(now).size(), 1);
  (void)restarted.OnMessage(now, parent.endpoint, late.at(0).message);
  cr_assert(!restarted.HasEffect());
}

// Guards against a process whose configuration diverges from its parent's: an
// update that leads to a different hash is not applied, and the process
// requests a full update.
Test(spread_node, update_with_hash_mismatch_is_rejected_and_repaired) {
  const Subscription all{true, {}, {}};
  ControlState state;
  state.Apply(Revision(1),
              {"1", "ana", PutDeclaration{{}, fake::SampleDeclaration(0)}});
  ServiceStore store;
  cr_assert(store.Apply(state.Store().FullUpdate(all), all).has_value());
  state.Apply(Revision(2),
              {"2", "", UpstreamJoin{fake::SampleAnnouncement(5, 1)}});
  StoreUpdate damaged = state.Store().UpdateSince(Revision(1), all);
  cr_assert_eq(damaged.services.size(), 1);
  damaged.services[0].upstreams[0].upstream.slots = 77;
  cr_assert(store.Apply(damaged, all).has_error());
  cr_assert(store.CurrentRevision() == Revision(1));

  const SpreadMember parent{InstanceId(1), {0x7f000001, 1}, 0, {}, true};
  const SpreadMember self{InstanceId(9), {0x7f000001, 9}, 0, {}, false};
  SpreadNode root(Millis(0), parent, all, 1);
  SpreadNode node(Millis(0), self, all, 2);
  node.SetMembers(Millis(0), {parent});
  Millis now(1000);
  bool asked = false;
  for (int round = 0; round < 4; ++round) {
    (void)root.Publish(now, 1, state.Store(), now);
    now = std::max(now + Millis(1), node.NextTick());
    for (const Outgoing& digest : node.OnTick(now)) {
      asked |= std::get<SpreadDigest>(digest.message).want_whole;
      for (Outgoing& reply :
           root.OnMessage(now, self.endpoint, digest.message)) {
        auto& update = std::get<SpreadUpdate>(reply.message);
        if (round == 1) update.update.hash ^= 1;
        (void)node.OnMessage(now, parent.endpoint, reply.message);
      }
    }
    state.Apply(Revision(state.CurrentRevision().Value() + 1),
                {"s" + std::to_string(round), "",
                 UpstreamJoin{fake::SampleAnnouncement(6, 1 + round)}});
  }
  cr_assert(asked);
  cr_assert(node.Counters().mismatches == 1);
  cr_assert(node.EffectRevision() == root.EffectRevision());
  cr_assert(node.Store().Hash(all) == root.Store().Hash(all));
}

// Guards against a `status` report that misses processes or whose size grows
// with their number.
Test(spread_node, report_counts_every_process_in_bounded_size) {
  SpreadCluster cluster(3, 200, 6, Faults());
  cluster.Run(Millis(40000));
  const EffectReport report = cluster.nodes.at(cluster.leader)->Report();
  cr_assert_eq(report.processes, 200, "%u processes", report.processes);
  cr_assert(report.lowest == cluster.state.CurrentRevision());
  cluster.Stop(InstanceId(150));
  cluster.CommitRandomChange();
  cluster.Run(Millis(100));
  const EffectReport behind = cluster.nodes.at(cluster.leader)->Report();
  cr_assert(behind.lowest < cluster.state.CurrentRevision());
  cr_assert(!behind.lagging.empty() &&
            behind.lagging.size() <= kMaxLaggingProcesses);
}

// Guards against a process that keeps a service which a change of the
// declaration removed from its subscription, and against a delta that omits a
// removal.
Test(spread_node, delta_equals_full_update_for_any_missed_range) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Random random(seed);
    ControlState state;
    const Subscription subscription{
        false, {"service101"}, {"service103-app", "service104-app"}};
    std::map<uint64_t, ServiceStore> lagging;
    for (uint64_t i = 1; i <= 300; ++i) {
      Command command{"r" + std::to_string(i), "ana", {}};
      const uint64_t instance = 1000 + random.Below(60);
      if (i == 1 || random.Chance(0.1)) {
        Declaration declaration =
            fake::SampleDeclaration(static_cast<uint32_t>(random.Below(9)));
        if (random.Chance(0.5)) {
          std::swap(declaration.services[3].application,
                    declaration.services[8].application);
        }
        if (random.Chance(0.3))
          declaration.services.erase(declaration.services.begin() + 1);
        command.body =
            PutDeclaration{state.DeclarationChange().revision, declaration};
      } else if (random.Chance(0.3)) {
        command.body = UpstreamLeave{InstanceId(instance), Incarnation(i)};
      } else {
        command.body = UpstreamJoin{fake::SampleAnnouncement(instance, i)};
      }
      state.Apply(Revision(i), command);
      if (i % 40 == 0) {
        ServiceStore& store = lagging[i];
        cr_assert(
            store.Apply(state.Store().FullUpdate(subscription), subscription)
                .has_value());
      }
      for (auto& [from, store] : lagging) {
        if (!random.Chance(0.05)) continue;
        const StoreUpdate update =
            state.Store().UpdateSince(store.CurrentRevision(), subscription);
        cr_assert(!update.whole);
        const Result<void> applied = store.Apply(update, subscription);
        cr_assert(applied.has_value(), "seed %lu from %lu to %lu", seed, from,
                  i);
        cr_assert(store.Hash(subscription) == state.Store().Hash(subscription));
      }
    }
  }
}

}  // namespace
}  // namespace cornelhill
