#include "cornelhill/agent/agent.h"

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cornelhill {
namespace {

constexpr Endpoint kServiceAddress{0x7f000a01, 7001};
constexpr Endpoint kBalancer{0x7f000101, 6000};

Endpoint AgentAddress(int index) {
  return {0x7f000200U + static_cast<uint32_t>(index), 6100};
}

ServiceView ViewOf(int upstreams, uint64_t revision) {
  ServiceView view;
  view.id = ServiceId(1);
  view.incarnation = Incarnation(1);
  view.revision = Revision(revision);
  view.address = kServiceAddress;
  for (int i = 0; i < upstreams; ++i) {
    UpstreamInfo upstream;
    upstream.instance = InstanceId(100 + i);
    upstream.incarnation = Incarnation(1);
    upstream.agent = AgentAddress(i);
    upstream.slots = 2;
    view.upstreams.push_back(upstream);
  }
  return view;
}

// Agents that exchange messages without delay. The test acts as the balancer,
// the caller and the upstreams.
class Pool {
 public:
  explicit Pool(int count) {
    for (int i = 0; i < count; ++i) {
      this->agents.emplace_back(
          AgentIdentity{InstanceId(100 + i), Incarnation(1), AgentAddress(i)});
      this->agents.back().SetLease(Millis(1000000));
    }
  }

  void SetView(int agent, const ServiceView& view) {
    AgentOutput out;
    this->agents.at(agent).SetView(this->now, view, &out);
    this->Collect(agent, std::move(out));
    this->DeliverAll();
  }

  void SetViewEverywhere(const ServiceView& view) {
    for (size_t i = 0; i < this->agents.size(); ++i) {
      this->SetView(static_cast<int>(i), view);
    }
  }

  void Send(int agent, Forward forward) {
    AgentOutput out;
    this->agents.at(agent).OnMessage(this->now, kBalancer,
                                     DataMessage(std::move(forward)), &out);
    this->Collect(agent, std::move(out));
    this->DeliverAll();
  }

  void Tick(Millis step) {
    this->now += step;
    for (size_t i = 0; i < this->agents.size(); ++i) {
      AgentOutput out;
      this->agents[i].Tick(this->now, &out);
      this->Collect(static_cast<int>(i), std::move(out));
    }
    this->DeliverAll();
  }

  void Answer(int agent, const PacketInfo& packet) {
    AgentOutput out;
    AnswerInfo answer;
    answer.flow = packet.flow;
    answer.nonce = packet.nonce;
    answer.request = packet.request;
    answer.last = true;
    this->agents.at(agent).OnAnswer(this->now, answer, "answer", &out);
    this->Collect(agent, std::move(out));
    this->DeliverAll();
  }

  struct Delivered {
    int agent = 0;
    UpstreamPacket packet;
  };

  std::deque<Agent> agents;
  std::vector<Delivered> delivered;
  std::vector<Return> returned;
  Millis now = Millis(1000);

 private:
  struct InFlight {
    int from = 0;
    SendMessage send;
  };

  void Collect(int from, AgentOutput out) {
    for (UpstreamPacket& packet : out.upstream) {
      this->delivered.push_back({from, std::move(packet)});
    }
    for (SendMessage& send : out.sends) {
      this->in_flight.push_back({from, std::move(send)});
    }
  }

  void DeliverAll() {
    while (!this->in_flight.empty()) {
      InFlight next = std::move(this->in_flight.front());
      this->in_flight.pop_front();
      if (const auto* answer = std::get_if<Return>(&next.send.message)) {
        this->returned.push_back(*answer);
        continue;
      }
      const int to = static_cast<int>(next.send.to.address & 0xff);
      if (next.send.to == kBalancer) continue;
      AgentOutput out;
      this->agents.at(to).OnMessage(this->now, AgentAddress(next.from),
                                    std::move(next.send.message), &out);
      this->Collect(to, std::move(out));
    }
  }

  std::deque<InFlight> in_flight;
};

Forward FirstPacket(const ServiceView& view, uint16_t port, uint64_t nonce) {
  Forward forward;
  forward.service = {view.id, view.incarnation, view.revision};
  forward.packet.flow = {{0x7f006401, port}, kServiceAddress, Protocol::kUdp};
  forward.packet.nonce = FlowNonce(nonce);
  forward.packet.request = RequestNumber(1);
  forward.packet.first = true;
  forward.balancer = kBalancer;
  forward.target_incarnation = Incarnation(1);
  forward.payload = "work";
  return forward;
}

// Returns the index of the home agent of a flow.
int HomeIndex(const ServiceView& view, const Forward& forward) {
  return AssignBuckets(view).home[BucketOf(forward.packet.flow).Value()];
}

// Guards against a second run when a first packet is resent while the request
// runs, after it was answered, or through an agent that is not its home.
Test(agent, resent_request_runs_once_and_gets_the_same_answer) {
  const ServiceView view = ViewOf(3, 1);
  Pool pool(3);
  pool.SetViewEverywhere(view);
  for (uint16_t port = 1000; port < 1100; ++port) {
    const Forward first = FirstPacket(view, port, port);
    pool.delivered.clear();
    pool.Send(HomeIndex(view, first), first);
    pool.Send((HomeIndex(view, first) + 1) % 3, first);
    cr_assert_eq(pool.delivered.size(), 1);
    pool.Answer(pool.delivered[0].agent, first.packet);
    pool.returned.clear();
    pool.Send(HomeIndex(view, first), first);
    cr_assert_eq(pool.delivered.size(), 1);
    cr_assert_eq(pool.returned.size(), 1);
    cr_assert_eq(pool.returned[0].payload, "answer");
  }
}

// Guards against the loss of the former home's state when an upstream joins: a
// resent first packet that now hashes to the new agent must not run again.
Test(agent, request_runs_once_when_its_home_moves) {
  const ServiceView before = ViewOf(3, 1);
  ServiceView after = ViewOf(4, 2);
  Pool pool(4);
  for (int i = 0; i < 3; ++i) pool.SetView(i, before);
  std::vector<Forward> requests;
  for (uint16_t port = 1000; port < 1200; ++port) {
    requests.push_back(FirstPacket(before, port, port));
    pool.Send(HomeIndex(before, requests.back()), requests.back());
  }
  // Only the new agent has the new view; the others reply to its queries.
  pool.SetView(3, after);
  pool.Tick(Millis(60));
  std::map<FlowKey, int> runs;
  for (const Forward& request : requests) {
    Forward resent = request;
    resent.packet.resent = true;
    pool.Send(HomeIndex(after, resent), resent);
    pool.Send(HomeIndex(before, resent), resent);
  }
  for (int round = 0; round < 500; ++round) {
    const auto running = pool.delivered;
    for (const auto& item : running) {
      pool.Answer(item.agent, item.packet.packet);
    }
    pool.Tick(Millis(10));
  }
  for (const auto& item : pool.delivered) ++runs[item.packet.packet.flow];
  for (const auto& [flow, count] : runs) cr_assert_eq(count, 1);
}

// Guards against two agents that decide on the same bucket because one of them
// still has an old view.
Test(agent, former_home_with_an_old_view_does_not_decide_after_its_promise) {
  const ServiceView before = ViewOf(3, 1);
  const ServiceView after = ViewOf(4, 2);
  Pool pool(4);
  for (int i = 0; i < 3; ++i) pool.SetView(i, before);
  pool.SetView(3, after);
  for (uint16_t port = 1000; port < 1400; ++port) {
    const Forward first = FirstPacket(before, port, port);
    if (HomeIndex(after, first) != 3) continue;
    pool.delivered.clear();
    pool.Send(HomeIndex(before, first), first);
    cr_assert_eq(pool.delivered.size(), 1);
    cr_assert_eq(pool.delivered[0].agent, 3);
    pool.Answer(3, pool.delivered[0].packet.packet);
  }
}

// Guards against packets that reach the upstream of another service when an
// address is reused, and against messages for another incarnation.
Test(agent, drops_packets_of_another_service_or_incarnation) {
  const ServiceView view = ViewOf(1, 1);
  Pool pool(1);
  pool.SetViewEverywhere(view);
  Forward other_service = FirstPacket(view, 1000, 1);
  other_service.service.id = ServiceId(2);
  Forward other_incarnation = FirstPacket(view, 1001, 1);
  other_incarnation.service.incarnation = Incarnation(2);
  Forward other_address = FirstPacket(view, 1002, 1);
  other_address.packet.flow.service.port = 7002;
  Forward other_target = FirstPacket(view, 1003, 1);
  other_target.target_incarnation = Incarnation(9);
  for (const Forward& forward :
       {other_service, other_incarnation, other_address, other_target}) {
    pool.Send(0, forward);
  }
  cr_assert(pool.delivered.empty());
  cr_assert_eq(pool.agents[0].Counters().dropped_wrong_service, 3);
  cr_assert_eq(pool.agents[0].Counters().dropped_wrong_incarnation, 1);
}

// Guards against a decision by an agent whose lease has expired: another agent
// may be home by then.
Test(agent, decides_nothing_without_a_lease) {
  const ServiceView view = ViewOf(1, 1);
  Pool pool(1);
  pool.SetViewEverywhere(view);
  pool.now = Millis(1000000);
  pool.Send(0, FirstPacket(view, 1000, 1));
  cr_assert(pool.delivered.empty());
  cr_assert_eq(pool.agents[0].Counters().dropped_no_lease, 1);
}

// Guards against a false `not_run` and a second run after a crash. The state of
// the lost home is gone, so a resent request that must not be repeated is
// answered `may_have_run`, while a request sent for the first time runs.
Test(agent, resent_request_is_not_run_in_quarantine) {
  const ServiceView before = ViewOf(3, 1);
  ServiceView after = ViewOf(3, 2);
  after.upstreams.pop_back();
  after.lost.push_back({InstanceId(102), Incarnation(1)});
  Pool pool(3);
  pool.SetViewEverywhere(before);
  pool.SetView(0, after);
  pool.SetView(1, after);
  int resent_seen = 0;
  for (uint16_t port = 1000; port < 1400; ++port) {
    Forward forward = FirstPacket(after, port, port);
    if (HomeIndex(before, forward) != 2) continue;
    forward.packet.resent = true;
    pool.delivered.clear();
    pool.returned.clear();
    pool.Send(HomeIndex(after, forward), forward);
    cr_assert(pool.delivered.empty());
    cr_assert_eq(pool.returned.size(), 1);
    cr_assert(pool.returned[0].refusal.verdict == Verdict::kMayHaveRun);
    ++resent_seen;
    Forward fresh = FirstPacket(after, port, port + 5000);
    pool.Send(HomeIndex(after, fresh), fresh);
    for (const auto& item : pool.delivered) {
      pool.Answer(item.agent, item.packet.packet);
    }
    cr_assert_eq(pool.delivered.size(), 1);
  }
  cr_assert_gt(resent_seen, 20);
}

// Guards against a drain that breaks an open flow or accepts new flows.
Test(agent, draining_agent_serves_open_flows_and_takes_no_new_one) {
  const ServiceView before = ViewOf(2, 1);
  ServiceView after = ViewOf(2, 2);
  after.upstreams[0].draining = true;
  Pool pool(2);
  pool.SetViewEverywhere(before);
  Forward open;
  for (uint16_t port = 1000;; ++port) {
    open = FirstPacket(before, port, port);
    if (HomeIndex(before, open) == 0) break;
  }
  pool.Send(0, open);
  pool.SetViewEverywhere(after);
  pool.delivered.clear();
  // The draining agent still serves the flow, through either agent.
  Forward more = open;
  more.packet.first = false;
  more.payload = "more";
  pool.Send(0, more);
  pool.Send(1, more);
  cr_assert_eq(pool.delivered.size(), 2);
  cr_assert_eq(pool.delivered[1].agent, 0);
  pool.delivered.clear();
  for (uint16_t port = 2000; port < 2100; ++port) {
    const Forward fresh = FirstPacket(after, port, port);
    pool.Send(port % 2, fresh);
    for (const auto& item : pool.delivered) {
      cr_assert_eq(item.agent, 1);
      pool.Answer(item.agent, item.packet.packet);
    }
    pool.delivered.clear();
  }
}

// Guards against an answer that never arrives. If it was too large to store and
// all of it was lost, e.g. with a killed balancer, the resent request must be
// continued at the upstream without a new run.
Test(agent, lost_large_answer_is_continued_at_the_upstream) {
  const ServiceView view = ViewOf(1, 1);
  Pool pool(1);
  pool.SetViewEverywhere(view);
  Forward request = FirstPacket(view, 1000, 1);
  pool.Send(0, request);
  AgentOutput lost;
  AnswerInfo answer;
  answer.flow = request.packet.flow;
  answer.nonce = request.packet.nonce;
  answer.request = request.packet.request;
  for (int i = 0; i < 30; ++i) {
    answer.last = i == 29;
    pool.agents[0].OnAnswer(pool.now, answer, std::string(900, 'x'), &lost);
  }
  pool.delivered.clear();
  request.packet.resent = true;
  pool.Send(0, request);
  cr_assert_eq(pool.delivered.size(), 1);
  cr_assert_not(pool.delivered[0].packet.packet.first);
}

}  // namespace
}  // namespace cornelhill
