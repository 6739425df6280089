#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/control_state.h"
#include "cornelhill/control/spread_node.h"
#include "tests/control/fake_queue.h"

namespace cornelhill::fake {

constexpr uint64_t kServices = 20;
constexpr uint64_t kControlInstances = 3;
constexpr uint64_t kFirstDaemon = 100;

// Returns a declaration of `kServices` services; `variation` selects the
// service whose rules differ.
inline Declaration SampleDeclaration(uint32_t variation) {
  Declaration declaration;
  for (uint32_t i = 0; i < kServices; ++i) {
    ServiceDeclaration service;
    service.name = "service" + std::to_string(100 + i);
    service.address = {0x7f000a01, static_cast<uint16_t>(7000 + i)};
    service.application = service.name + "-app";
    if (i == variation % kServices) service.rules.max_queued = 1 + variation;
    declaration.services.push_back(service);
  }
  return declaration;
}

inline Announcement SampleAnnouncement(uint64_t instance,
                                       uint64_t incarnation) {
  Announcement announcement;
  announcement.instance = InstanceId(instance);
  announcement.incarnation = Incarnation(incarnation);
  announcement.application =
      "service" + std::to_string(100 + instance % kServices) + "-app";
  announcement.agent = {0x7f000201, static_cast<uint16_t>(instance)};
  return announcement;
}

// Control instances 1 to 3 and daemons with ids from 100 up in one distribution
// tree over a `FakeQueue`. Instance 1 is the first leader. After each message
// and each publication it counts violations of two invariants: no process moves
// to a lower term or revision, also across restarts, and no daemon has a
// revision in effect without a service that it needs.
class SpreadCluster {
 public:
  SpreadCluster(uint64_t seed, uint64_t daemons, uint32_t domains,
                const Faults& faults)
      : queue(seed, faults), random(seed * 7919 + 1) {
    for (uint64_t i = 0; i < kControlInstances; ++i) {
      this->AddMember(1 + i, 0, 0, true);
    }
    for (uint64_t i = 0; i < daemons; ++i) {
      const auto domain = static_cast<uint32_t>(i % domains);
      this->AddMember(kFirstDaemon + i, domain / 3, 1 + domain, false);
    }
    for (const SpreadMember& member : this->members) this->Start(member.id);
    this->Commit({"declare", "ana", PutDeclaration{{}, SampleDeclaration(0)}});
    for (uint64_t i = 0; i < kServices * 10; ++i) {
      this->Commit({"join" + std::to_string(i), "",
                    UpstreamJoin{SampleAnnouncement(1000 + i, 1)}});
    }
  }

  // Commits a command at the leader.
  CommandResponse Commit(const Command& command) {
    return this->state.Apply(
        Revision(this->state.CurrentRevision().Value() + 1), command);
  }

  // Commits a new weight for a random upstream.
  void CommitRandomChange() {
    const uint64_t instance = 1000 + this->random.Below(kServices * 10);
    this->Commit(
        {"c" + std::to_string(++this->changes), "ana",
         UpstreamWeight{InstanceId(instance),
                        1 + static_cast<uint32_t>(this->changes % 1000)}});
  }

  // Starts or restarts a process with no state.
  void Start(InstanceId id) {
    const auto member = this->MemberOf(id);
    Subscription subscription;
    if (member.control) {
      subscription.all = true;
    } else {
      const uint64_t first = id.Value() % kServices;
      subscription.names = {"service" + std::to_string(100 + first)};
      subscription.applications = {
          "service" + std::to_string(100 + (first + 7) % kServices) + "-app"};
    }
    auto node = std::make_unique<SpreadNode>(this->now, member, subscription,
                                             this->random.Next());
    std::vector<SpreadMember> known;
    for (const SpreadMember& other : this->members) {
      if (other.control || other.region == member.region) {
        known.push_back(other);
      }
    }
    node->SetMembers(this->now, known);
    if (member.control) node->SetLeader(this->now, this->leader);
    this->nodes[id] = std::move(node);
    this->next_ticks[id] = this->now;
  }

  void Stop(InstanceId id) {
    this->nodes.erase(id);
    this->next_ticks.erase(id);
  }

  // Makes `id` the leader in `new_term`; only `notified` are told.
  void ChangeLeader(InstanceId id, uint64_t new_term,
                    const std::set<InstanceId>& notified) {
    this->leader = id;
    this->term = new_term;
    for (const InstanceId node : notified) {
      this->nodes.at(node)->SetLeader(this->now, id);
    }
  }

  // Runs for `span` or until `done` returns true.
  void Run(Millis span, const std::function<bool()>& done = nullptr) {
    const Millis end = this->now + span;
    while (this->now <= end && !(done && done())) {
      // One step: publication and due ticks first, then message deliveries.
      if (this->publishing && this->nodes.contains(this->leader) &&
          (this->published != this->state.CurrentRevision() ||
           this->now >= this->next_publish)) {
        this->published = this->state.CurrentRevision();
        this->next_publish = this->now + Millis(500);
        SpreadNode& node = *this->nodes.at(this->leader);
        this->SendAll(this->leader,
                      node.Publish(this->now, this->term, this->state.Store(),
                                   this->now));
        this->CheckInvariants(this->leader);
      }
      for (auto& [id, at] : this->next_ticks) {
        if (at > this->now) continue;
        SpreadNode& node = *this->nodes.at(id);
        this->SendAll(id, node.OnTick(this->now));
        at = node.NextTick();
      }
      while (this->queue.Next() && *this->queue.Next() <= this->now) {
        const FakeQueue::Delivery delivery = this->queue.Pop();
        const auto found = this->nodes.find(delivery.to);
        if (found == this->nodes.end()) continue;
        const Result<ControlMessage> message =
            DecodeControlMessage(delivery.bytes);
        if (!message) std::abort();
        this->SendAll(delivery.to,
                      found->second->OnMessage(
                          this->now, this->MemberOf(delivery.from).endpoint,
                          message.value()));
        this->next_ticks[delivery.to] = found->second->NextTick();
        this->CheckInvariants(delivery.to);
      }
      this->now += Millis(1);
    }
  }

  // Whether every running daemon has the leader's state in effect.
  bool Converged() const {
    return std::all_of(this->nodes.begin(), this->nodes.end(),
                       [this](const auto& entry) {
                         return entry.second->EffectRevision() ==
                                this->state.CurrentRevision();
                       });
  }

  // Whether the views of every daemon equal those of the leader, and every
  // daemon holds the service it subscribes to by name.
  bool ViewsEqual() const {
    for (const auto& [id, node] : this->nodes) {
      for (const ServiceView* view : node->Store().Views()) {
        const ServiceView* want = this->state.ViewOf(view->id);
        if (want == nullptr || !(*want == *view)) return false;
      }
      const uint64_t first = id.Value() % kServices;
      if (!this->MemberOf(id).control &&
          node->Store().FindByName("service" + std::to_string(100 + first)) ==
              nullptr) {
        return false;
      }
    }
    return true;
  }

  const SpreadMember& MemberOf(InstanceId id) const {
    const uint64_t value = id.Value();
    return this->members[value < kFirstDaemon
                             ? value - 1
                             : kControlInstances + value - kFirstDaemon];
  }

  Millis now;
  FakeQueue queue;
  Random random;
  ControlState state;
  std::vector<SpreadMember> members;
  std::map<InstanceId, std::unique_ptr<SpreadNode>> nodes;
  InstanceId leader = InstanceId(1);
  uint64_t term = 1;
  // Whether the leader reaches a quorum.
  bool publishing = true;
  // Number of times that a process moved to a lower term or revision.
  int reverts = 0;
  // Number of times that a daemon had a revision in effect without a service
  // that it needs.
  int incomplete = 0;

 private:
  void AddMember(uint64_t id, uint32_t region, uint32_t domain, bool control) {
    SpreadMember member;
    member.id = InstanceId(id);
    member.endpoint = {0x7f000001, static_cast<uint16_t>(10000 + id)};
    member.region = region;
    member.failure_domain = FailureDomainId(domain);
    member.control = control;
    this->members.push_back(member);
  }

  void SendAll(InstanceId from, const std::vector<Outgoing>& messages) {
    for (const Outgoing& message : messages) {
      this->queue.Send(this->now, from, message.to, Encode(message.message));
    }
  }

  void CheckInvariants(InstanceId id) {
    const SpreadNode& node = *this->nodes.at(id);
    if (!node.HasEffect()) return;
    const uint64_t first = id.Value() % kServices;
    if (id.Value() >= kFirstDaemon &&
        node.Store().FindByName("service" + std::to_string(100 + first)) ==
            nullptr) {
      ++this->incomplete;
    }
    auto& highest = this->highest[id];
    const std::pair at(node.Term(), node.EffectRevision());
    if (at.first < highest.first || at.second < highest.second) {
      ++this->reverts;
    }
    highest = {std::max(highest.first, at.first),
               std::max(highest.second, at.second)};
  }

  std::map<InstanceId, Millis> next_ticks;
  std::map<InstanceId, std::pair<uint64_t, Revision>> highest;
  Revision published;
  Millis next_publish;
  uint64_t changes = 0;
};

}  // namespace cornelhill::fake
