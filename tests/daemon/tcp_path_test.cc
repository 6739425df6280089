// Whole IP packets with TCP flags from a fake of the platform's tunnel through
// balancers and agents to a fake upstream and back. Decisions and plug-ins are
// the product's; only the sockets are missing.

#include <criterion/criterion.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/agent/agent.h"
#include "cornelhill/base/random.h"
#include "cornelhill/ingress/ingress.h"
#include "cornelhill/route/balancer.h"

namespace cornelhill {
namespace {

constexpr Endpoint kService{0x0a00ff01, 443};
constexpr int kAgents = 3;
constexpr int kBalancers = 3;

Endpoint BalancerAddress(int index) {
  return {0x0a000100U + static_cast<uint32_t>(index), 6000};
}

Endpoint AgentAddress(int index) {
  return {0x0a000200U + static_cast<uint32_t>(index), 6000};
}

ServiceView MakeView() {
  ServiceView view;
  view.id = ServiceId(1);
  view.incarnation = Incarnation(1);
  view.revision = Revision(1);
  view.address = kService;
  for (int i = 0; i < kAgents; ++i) {
    UpstreamInfo upstream;
    upstream.instance = InstanceId(100 + i);
    upstream.incarnation = Incarnation(1);
    upstream.agent = AgentAddress(i);
    upstream.slots = 8;
    view.upstreams.push_back(upstream);
  }
  return view;
}

std::string Segment(const FlowKey& flow, bool to_caller, int flags,
                    uint32_t sequence, const std::string& data = "") {
  const Endpoint& from = to_caller ? flow.service : flow.caller;
  const Endpoint& to = to_caller ? flow.caller : flow.service;
  Tins::TCP tcp(to.port, from.port);
  tcp.flags(static_cast<Tins::small_uint<12>>(flags));
  tcp.seq(sequence);
  // libtins takes addresses in network byte order.
  Tins::IP ip = Tins::IP(Tins::IPv4Address(__builtin_bswap32(to.address)),
                         Tins::IPv4Address(__builtin_bswap32(from.address))) /
                tcp;
  if (!data.empty()) ip = ip / Tins::RawPDU(data);
  const std::vector<uint8_t> bytes = ip.serialize();
  return {bytes.begin(), bytes.end()};
}

// The whole path without sockets: messages are delivered at once and in order.
class Path {
 public:
  Path()
      : ingress(*IngressRegistry::Global().Find("ip")),
        delivery(*DeliveryRegistry::Global().Find("ip")) {
    for (int i = 0; i < kBalancers; ++i) {
      this->balancers.emplace_back(1024).SetView(this->view);
    }
    for (int i = 0; i < kAgents; ++i) {
      this->agents.emplace_back(
          AgentIdentity{InstanceId(100 + i), Incarnation(1), AgentAddress(i)});
      this->agents.back().SetLease(Millis(1000000));
    }
    for (int i = 0; i < kAgents; ++i) {
      AgentOutput out;
      this->agents[i].SetView(this->now, this->view, &out);
      this->Carry(i, std::move(out));
    }
  }

  // A packet from a caller reaches a balancer through the tunnel.
  void FromCaller(int balancer, const FlowKey& flow, std::string bytes) {
    const Encapsulated packet{flow, std::move(bytes)};
    const Result<PacketInfo> info = this->ingress.read(packet);
    cr_assert(info.has_value());
    RouteDrop drop = RouteDrop::kNoUpstream;
    const auto decision = this->balancers[balancer].Route(flow, &drop);
    cr_assert(decision.has_value());
    Forward forward;
    forward.service = decision->service;
    forward.packet = info.value();
    forward.balancer = BalancerAddress(balancer);
    forward.target_incarnation = decision->target;
    forward.payload = packet.payload;
    const Endpoint from = forward.balancer;
    this->Send(from, {decision->agent, std::move(forward)});
  }

  // A packet from the upstream beside an agent.
  void FromUpstream(int agent, const FlowKey& flow, std::string bytes) {
    const Encapsulated packet{flow, std::move(bytes)};
    const Result<AnswerInfo> answer = this->delivery.read_answer(packet);
    cr_assert(answer.has_value());
    AgentOutput out;
    this->agents[agent].OnAnswer(this->now, answer.value(), packet.payload,
                                 &out);
    this->Carry(agent, std::move(out));
  }

  ServiceView view = MakeView();
  Millis now = Millis(1000);
  std::deque<Balancer> balancers;
  std::deque<Agent> agents;
  // What upstreams and callers received.
  std::map<FlowKey, std::vector<std::pair<int, std::string>>> at_upstream;
  std::map<FlowKey, std::vector<std::string>> at_caller;

 private:
  void Carry(int agent, AgentOutput out) {
    for (UpstreamPacket& packet : out.upstream) {
      const Result<Encapsulated> wrapped =
          packet.action == UpstreamAction::kCancel
              ? this->delivery.cancel(packet.packet, packet.payload)
              : this->delivery.encapsulate(packet.packet,
                                           std::move(packet.payload));
      cr_assert(wrapped.has_value());
      this->at_upstream[wrapped.value().flow].emplace_back(
          agent, wrapped.value().payload);
    }
    for (SendMessage& send : out.sends) {
      this->Send(AgentAddress(agent), std::move(send));
    }
  }

  void Send(Endpoint from, SendMessage send) {
    if (auto* answer = std::get_if<Return>(&send.message)) {
      Encapsulated packet{answer->flow, std::move(answer->payload)};
      if (answer->refused) {
        PacketInfo original;
        original.flow = answer->flow;
        original.nonce = answer->nonce;
        const Result<Encapsulated> refusal =
            this->ingress.refuse(original, answer->refusal, packet.payload);
        cr_assert(refusal.has_value());
        packet = refusal.value();
      }
      this->at_caller[packet.flow].push_back(packet.payload);
      return;
    }
    if (const auto* hint = std::get_if<OwnerHint>(&send.message)) {
      this->balancers[send.to.address & 0xff].OnOwnerHint(*hint);
      return;
    }
    const int to = static_cast<int>(send.to.address & 0xff);
    AgentOutput out;
    this->agents[to].OnMessage(this->now, from, std::move(send.message), &out);
    this->Carry(to, std::move(out));
  }

  const IngressPlugin& ingress;
  const DeliveryPlugin& delivery;
};

FlowKey FlowOf(uint16_t port) {
  return {{0x0a000005, port}, kService, Protocol::kTcp};
}

constexpr int kSyn = Tins::TCP::SYN;
constexpr int kAck = Tins::TCP::ACK;
constexpr int kFin = Tins::TCP::FIN;
constexpr int kRst = Tins::TCP::RST;

// Guards against a TCP flow that breaks because its segments reach different
// balancers, and against a segment that is changed or reordered on the way.
Test(tcp_path, sprayed_segments_reach_one_upstream_unchanged) {
  constexpr uint64_t kSeed = 20261204;
  Random random(kSeed);
  Path path;
  for (uint16_t port = 2000; port < 2012; ++port) {
    const FlowKey flow = FlowOf(port);
    std::vector<std::string> sent = {Segment(flow, false, kSyn, 500)};
    for (uint32_t i = 0; i < 20; ++i) {
      sent.push_back(Segment(flow, false, kAck, 501 + i, "x"));
    }
    for (const std::string& bytes : sent) {
      path.FromCaller(static_cast<int>(random.Below(kBalancers)), flow, bytes);
    }
    const auto& received = path.at_upstream[flow];
    cr_assert_eq(received.size(), sent.size());
    for (size_t i = 0; i < sent.size(); ++i) {
      cr_assert_eq(received[i].first, received[0].first);
      cr_assert(received[i].second == sent[i]);
    }
    const std::string answer = Segment(flow, true, kAck, 9000, "answer");
    const std::string last = Segment(flow, true, kFin | kAck, 9006);
    path.FromUpstream(received[0].first, flow, answer);
    path.FromUpstream(received[0].first, flow, last);
    const std::vector<std::string> expected = {answer, last};
    cr_assert(path.at_caller[flow] == expected);
  }
}

// Guards against the death of a balancer cutting a TCP flow: the others hold
// nothing that the flow depends on.
Test(tcp_path, flow_survives_the_loss_of_a_balancer) {
  Path path;
  const FlowKey flow = FlowOf(3000);
  path.FromCaller(0, flow, Segment(flow, false, kSyn, 500));
  path.FromCaller(0, flow, Segment(flow, false, kAck, 501, "x"));
  // Balancer 0 is gone; 1 and 2 have never seen the flow.
  path.FromCaller(1, flow, Segment(flow, false, kAck, 502, "y"));
  path.FromCaller(2, flow, Segment(flow, false, kFin | kAck, 503));
  const auto& received = path.at_upstream[flow];
  cr_assert_eq(received.size(), 4);
  for (const auto& [agent, bytes] : received) {
    cr_assert_eq(agent, received[0].first);
  }
}

// Guards against a connection attempt that is left to time out: where every
// upstream drains, the SYN is answered with a RST and reaches no upstream.
Test(tcp_path, refused_syn_gets_a_reset) {
  Path path;
  for (Agent& agent : path.agents) agent.Drain();
  const FlowKey flow = FlowOf(4000);
  path.FromCaller(1, flow, Segment(flow, false, kSyn, 500));
  cr_assert(path.at_upstream[flow].empty());
  cr_assert_eq(path.at_caller[flow].size(), 1);
  const std::string& bytes = path.at_caller[flow][0];
  const Tins::IP reply(reinterpret_cast<const uint8_t*>(bytes.data()),
                       static_cast<uint32_t>(bytes.size()));
  cr_assert_neq(reply.rfind_pdu<Tins::TCP>().flags() & kRst, 0);
}

// Guards against a segment of an old connection being taken for the new one
// that reuses its addresses and ports.
Test(tcp_path, reused_key_is_a_new_flow) {
  Path path;
  const FlowKey flow = FlowOf(5000);
  path.FromCaller(0, flow, Segment(flow, false, kSyn, 500));
  path.FromCaller(1, flow, Segment(flow, false, kRst, 501));
  path.FromCaller(2, flow, Segment(flow, false, kSyn, 90000));
  path.FromCaller(0, flow, Segment(flow, false, kAck, 90001, "z"));
  uint64_t accepted = 0;
  for (const Agent& agent : path.agents) {
    accepted += agent.Counters().flows_accepted;
  }
  cr_assert_eq(accepted, 2);
  cr_assert_eq(path.at_upstream[flow].size(), 4);
}

}  // namespace
}  // namespace cornelhill
