#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/control/agent_lease.h"
#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/domain_collector.h"
#include "cornelhill/control/lease_table.h"
#include "tests/control/fake_queue.h"

namespace cornelhill {
namespace {

using fake::FakeQueue;
using fake::Faults;

constexpr InstanceId kLeader = InstanceId(1);

Faults NoLoss() {
  Faults faults;
  faults.loss = 0;
  faults.duplication = 0;
  faults.reordering = 0;
  return faults;
}

// Agents, each also a collector of its failure domain, and one leader over a
// fake queue. Checks that no upstream is removed while its agent may decide.
class LeaseCluster {
 public:
  LeaseCluster(uint64_t seed, uint64_t agents, const Faults& faults)
      : queue(seed, faults) {
    ServiceDeclaration service;
    service.name = "aula";
    service.application = "aula-app";
    this->Commit({"declare", "ana", PutDeclaration{{}, {{service}}}});
    for (uint64_t i = 0; i < agents; ++i) {
      SpreadMember member;
      member.id = InstanceId(100 + i);
      member.failure_domain = FailureDomainId(static_cast<uint32_t>(i % 3));
      member.endpoint = {0x7f000001, static_cast<uint16_t>(1000 + i)};
      this->members.push_back(member);
    }
    for (const SpreadMember& member : this->members) {
      this->Start(member, 1000);
    }
    this->table = std::make_unique<LeaseTable>(Millis(), 1, this->state);
  }

  void Start(const SpreadMember& member, uint64_t incarnation) {
    Announcement announcement;
    announcement.instance = member.id;
    announcement.incarnation = Incarnation(incarnation);
    announcement.application = "aula-app";
    announcement.failure_domain = member.failure_domain;
    Agent& agent = this->agents[member.id];
    agent.lease = std::make_unique<AgentLease>(this->now, member, announcement,
                                               member.id.Value());
    agent.lease->SetMembers(this->now, this->members);
    agent.collector = std::make_unique<DomainCollector>(
        this->now, member.failure_domain, member.id,
        incarnation * 1000 + member.id.Value());
  }

  void Commit(const Command& command) {
    this->state.Apply(Revision(this->state.CurrentRevision().Value() + 1),
                      command);
  }

  void Run(Millis span) {
    for (const Millis end = this->now + span; this->now <= end;
         this->now += Millis(1)) {
      this->Step();
    }
  }

  void ElectNewLeader() {
    this->table =
        std::make_unique<LeaseTable>(this->now, ++this->term, this->state);
  }

  size_t Upstreams() const {
    return this->state.Store().FindByName("aula")->upstreams.size();
  }

  // Agents that may decide on new flows.
  size_t Deciding() const {
    size_t count = 0;
    for (const auto& [id, agent] : this->agents) {
      if (agent.lease->MayDecide(this->now)) ++count;
    }
    return count;
  }

  struct Agent {
    std::unique_ptr<AgentLease> lease;
    std::unique_ptr<DomainCollector> collector;
    bool paused = false;
  };

  Millis now;
  FakeQueue queue;
  ControlState state;
  uint64_t term = 1;
  std::unique_ptr<LeaseTable> table;
  std::vector<SpreadMember> members;
  std::map<InstanceId, Agent> agents;
  bool leader_running = true;
  int joins = 0;
  int leaves = 0;
  int unsafe_leaves = 0;
  size_t largest_steady_summary = 0;
  std::set<InstanceId> collectors;

 private:
  void Step() {
    if (this->leader_running && this->now.Count() % 100 == 0) {
      this->table->ConfirmLeadership(this->now + Millis(1000));
      for (const Command& command :
           this->table->OnTick(this->now, this->state)) {
        this->Note(command);
        this->Commit(command);
      }
    }
    for (auto& [id, agent] : this->agents) {
      if (agent.paused) continue;
      if (this->now >= agent.lease->NextTick()) {
        this->SendAll(id, agent.lease->OnTick(this->now));
      }
      if (this->now < agent.collector->NextTick()) continue;
      const auto summary = agent.collector->OnTick(this->now);
      if (!summary) continue;
      this->collectors.insert(id);
      const std::string bytes = Encode(ControlMessage(*summary));
      if (summary->entries.empty()) {
        this->largest_steady_summary =
            std::max(this->largest_steady_summary, bytes.size());
      }
      this->queue.Send(this->now, id, kLeader, bytes);
    }
    while (this->queue.Next() && *this->queue.Next() <= this->now) {
      this->Deliver(this->queue.Pop());
    }
  }

  void Deliver(const FakeQueue::Delivery& delivery) {
    const Result<ControlMessage> message = DecodeControlMessage(delivery.bytes);
    if (!message) std::abort();
    if (delivery.to == kLeader) {
      if (!this->leader_running) return;
      const auto ack = this->table->OnSummary(
          this->now, this->state, std::get<DomainSummary>(message.value()));
      if (ack) {
        this->queue.Send(this->now, kLeader, delivery.from,
                         Encode(ControlMessage(*ack)));
      }
      return;
    }
    Agent& agent = this->agents.at(delivery.to);
    if (agent.paused) return;
    if (const auto* ack = std::get_if<SummaryAck>(&message.value())) {
      this->SendAll(delivery.to,
                    agent.collector->OnSummaryAck(this->now, *ack));
    } else if (const auto* reply = std::get_if<RenewalAck>(&message.value())) {
      agent.lease->OnAck(this->now, *reply);
    } else {
      this->SendAll(delivery.to, agent.collector->OnAgent(this->now, Endpoint(),
                                                          message.value()));
    }
  }

  void Note(const Command& command) {
    if (std::holds_alternative<UpstreamJoin>(command.body)) ++this->joins;
    const auto* leave = std::get_if<UpstreamLeave>(&command.body);
    if (leave == nullptr) return;
    ++this->leaves;
    const AgentLease& lease = *this->agents.at(leave->instance).lease;
    if (lease.CurrentIncarnation() == leave->incarnation &&
        lease.MayDecide(this->now)) {
      ++this->unsafe_leaves;
    }
  }

  void SendAll(InstanceId from, const std::vector<Outgoing>& messages) {
    for (const Outgoing& message : messages) {
      this->queue.Send(this->now, from, message.to, Encode(message.message));
    }
  }
};

// Guards against renewals that enter the log, and against summaries that carry
// more than a bit for each agent once the leader knows them.
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
              "seed %lu: %d joins, %d leaves", seed, cluster.joins,
              cluster.leaves);
    cr_assert(cluster.largest_steady_summary < 64, "%zu bytes",
              cluster.largest_steady_summary);
  }
  LeaseCluster cluster(1, 90, NoLoss());
  cluster.Run(Millis(60000));
  cr_assert_eq(cluster.collectors.size(), 3);
}

// Guards against an agent that decides on new flows after its buckets were
// given away: while messages are lost, agents are paused or cut off, and the
// leader changes, no upstream is removed while its agent may decide.
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
    cr_assert_eq(cluster.unsafe_leaves, 0, "seed %lu", seed);
    cr_assert(cluster.leaves > 0, "seed %lu", seed);
    for (uint64_t id = 100; id < 121; ++id) {
      cluster.agents.at(InstanceId(id)).paused = false;
      cluster.queue.SetGroup(InstanceId(id), 0);
    }
    cluster.Run(Millis(20000));
    cr_assert_eq(cluster.Upstreams(), 21, "seed %lu: %zu", seed,
                 cluster.Upstreams());
    cr_assert_eq(cluster.Deciding(), 21, "seed %lu: %zu", seed,
                 cluster.Deciding());
  }
}

// Guards against a loss of the path to control that empties a service, and
// against one that never ends where the loss is real.
Test(lease, mass_expiry_removes_nothing_for_30_s) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    LeaseCluster cluster(seed, 7, Faults());
    cluster.Run(Millis(5000));
    cr_assert_eq(cluster.Upstreams(), 7);
    cluster.queue.SetGroup(kLeader, 1);
    cluster.Run(Millis(30000));
    cr_assert_eq(cluster.Deciding(), 0);
    cr_assert_eq(cluster.Upstreams(), 7, "seed %lu: %zu", seed,
                 cluster.Upstreams());
    cr_assert_eq(cluster.leaves, 0);
    cluster.queue.SetGroup(kLeader, 0);
    cluster.Run(Millis(10000));
    cr_assert_eq(cluster.Deciding(), 7, "seed %lu", seed);
    cr_assert_eq(cluster.leaves, 0);
    cluster.queue.SetGroup(kLeader, 1);
    cluster.Run(Millis(40000));
    cr_assert_eq(cluster.Upstreams(), 0, "seed %lu", seed);
  }
}

// Guards against a hold where a second process has seen the loss, and against
// a report alone that removes a live upstream.
Test(lease, second_observer_confirms_a_mass_expiry) {
  LeaseCluster cluster(1, 7, NoLoss());
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
  cr_assert_eq(cluster.table->HeldCount(), 4);
  for (uint64_t id = 100; id < 103; ++id) {
    cluster.table->OnLossReport(
        cluster.now, {InstanceId(7), InstanceId(id), Incarnation(1000)});
  }
  cluster.Run(Millis(200));
  cr_assert_eq(cluster.Upstreams(), 4);
}

// Guards against an upstream that stays after its instance crashed.
Test(lease, single_loss_is_removed_after_its_lease) {
  LeaseCluster cluster(1, 7, NoLoss());
  cluster.Run(Millis(5000));
  cluster.agents.at(InstanceId(103)).paused = true;
  cluster.Run(Millis(4000));
  cr_assert_eq(cluster.Upstreams(), 7);
  cluster.Run(Millis(4000));
  cr_assert_eq(cluster.Upstreams(), 6);
}

// Guards against a new leader that removes upstreams whose renewals it has not
// seen yet.
Test(lease, new_leader_grants_full_leases) {
  LeaseCluster cluster(1, 21, NoLoss());
  cluster.Run(Millis(5000));
  cluster.leader_running = false;
  cluster.Run(Millis(3000));
  cluster.leader_running = true;
  cluster.ElectNewLeader();
  cluster.Run(Millis(20000));
  cr_assert_eq(cluster.leaves, 0, "%d leaves", cluster.leaves);
  cr_assert_eq(cluster.joins, 21, "%d joins", cluster.joins);
  cr_assert_eq(cluster.Deciding(), 21);
}

// Guards against leases that end because their collector is gone: another
// process takes over in time.
Test(lease, collector_takeover_ends_no_lease) {
  LeaseCluster cluster(1, 30, NoLoss());
  cluster.Run(Millis(5000));
  const std::set<InstanceId> first = cluster.collectors;
  for (const InstanceId id : first) cluster.agents.at(id).paused = true;
  for (int i = 0; i < 80; ++i) {
    cluster.Run(Millis(100));
    cr_assert(cluster.Deciding() >= 30 - first.size(), "at %d", i);
  }
}

// Guards against a late message of an earlier life of an agent, and against a
// restart with a clock that went back.
Test(lease, lower_incarnation_is_refused) {
  LeaseCluster cluster(1, 7, NoLoss());
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

// Guards against an agent that was paused and goes on under its old life.
Test(lease, paused_agent_continues_under_a_new_incarnation) {
  LeaseCluster cluster(1, 7, NoLoss());
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

// Guards against a lease counted from its acknowledgement, which may come so
// late that the leader's lease ends first, and against an expired agent that
// goes on under its old life before anyone refuses it.
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

// Guards against a deposed leader that prolongs leases its successor ends.
Test(lease, unconfirmed_leader_grants_nothing) {
  LeaseCluster cluster(1, 7, NoLoss());
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

// Guards against a planned departure that waits for the lease to end.
Test(lease, leaving_agent_is_removed_at_once) {
  LeaseCluster cluster(1, 7, NoLoss());
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
