#pragma once

#include <algorithm>
#include <cstdlib>
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

namespace cornelhill::fake {

constexpr InstanceId kLeader = InstanceId(1);

inline Faults NoFaults() {
  Faults faults;
  faults.loss = 0;
  faults.duplication = 0;
  faults.reordering = 0;
  return faults;
}

// Simulates agents, each of which is also a collector of its failure domain,
// and one leader, connected by a `FakeQueue`. Counts in `unsafe_leaves` the
// upstreams that are removed while their agent may decide.
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

  // Number of agents whose lease permits decisions on new flows.
  size_t AgentsThatMayDecide() const {
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
        this->CountCommand(command);
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

  void CountCommand(const Command& command) {
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

}  // namespace cornelhill::fake
