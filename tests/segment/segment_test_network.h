#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/segment/segment_agent.h"
#include "cornelhill/segment/segment_balancer.h"

namespace cornelhill {

// A text format of packets, so that these tests do not depend on a platform:
// "source port destination port flags sequence acknowledged bytes".
namespace text_format {

constexpr uint32_t kOpens = 1;
constexpr uint32_t kAccepts = 2;
constexpr uint32_t kCloses = 4;
constexpr uint32_t kResets = 8;
constexpr uint32_t kReturned = 16;

inline std::string Write(const Segment& segment) {
  uint32_t flags = 0;
  if (segment.opens) flags |= kOpens;
  if (segment.accepts) flags |= kAccepts;
  if (segment.closes) flags |= kCloses;
  if (segment.resets) flags |= kResets;
  if (segment.returned) flags |= kReturned;
  std::ostringstream out;
  out << segment.source.address << ' ' << segment.source.port << ' '
      << segment.destination.address << ' ' << segment.destination.port << ' '
      << flags << ' ' << segment.sequence << ' ' << segment.acknowledged << ' '
      << segment.data_bytes;
  return out.str();
}

inline Result<Segment> Read(std::string_view bytes) {
  std::istringstream in{std::string(bytes)};
  Segment out;
  uint32_t flags = 0;
  in >> out.source.address >> out.source.port >> out.destination.address >>
      out.destination.port >> flags >> out.sequence >> out.acknowledged >>
      out.data_bytes;
  if (!in) return Fail(ErrorCode::kMalformed, "not a test packet");
  out.opens = (flags & kOpens) != 0;
  out.accepts = (flags & kAccepts) != 0;
  out.closes = (flags & kCloses) != 0;
  out.resets = (flags & kResets) != 0;
  out.returned = (flags & kReturned) != 0;
  return out;
}

inline std::string Reset(const Endpoint& listener, const Endpoint& caller,
                         uint32_t sequence) {
  Segment segment;
  segment.source = listener;
  segment.destination = caller;
  segment.resets = true;
  segment.sequence = sequence;
  return Write(segment);
}

inline void ClearReturned(std::string* datagram) {
  Segment segment = Read(*datagram).value();
  segment.returned = false;
  *datagram = Write(segment);
}

inline SegmentFormat Format() { return {&Read, &Reset, &ClearReturned}; }

}  // namespace text_format

constexpr Endpoint kListener{0xc6120001, 443};
constexpr Endpoint kOtherListener{0xc6120002, 443};

inline Endpoint CallerAt(uint16_t port) { return {0x64400007, port}; }
inline Endpoint AgentAt(uint32_t index) { return {0x0a000200U + index, 7}; }
inline Endpoint BalancerAt(uint32_t index) { return {0x0a000100U + index, 7}; }

inline Segment FirstPacket(const Endpoint& caller, uint32_t sequence = 100) {
  Segment segment;
  segment.source = caller;
  segment.destination = kListener;
  segment.opens = true;
  segment.sequence = sequence;
  return segment;
}

inline Segment DataPacket(const Endpoint& caller, uint32_t sequence = 101) {
  Segment segment;
  segment.source = caller;
  segment.destination = kListener;
  segment.sequence = sequence;
  segment.data_bytes = 10;
  return segment;
}

// Balancers, agents and upstreams in a simulated network without latency. An
// upstream accepts first packets unless it is full, answers each data packet
// and returns packets of flows that it does not have.
class SegmentTestNetwork {
 public:
  struct Upstream {
    std::set<SegmentFlow> flows;
    bool silent = false;
    bool full = false;
    size_t first_packets = 0;
    size_t data_packets = 0;
  };

  Millis now{1000};
  std::map<Endpoint, std::unique_ptr<SegmentBalancer>> balancers;
  std::map<Endpoint, std::unique_ptr<SegmentAgent>> agents;
  std::map<Endpoint, Upstream> upstreams;
  std::map<Endpoint, std::string> service_of;
  std::vector<Segment> to_callers;
  ListenerSet listeners;
  uint64_t sequence = 1;
  size_t agent_messages = 0;
  size_t balancer_messages = 0;

  SegmentTestNetwork() {
    this->listeners.version = 1;
    this->listeners.listeners.push_back(
        {kListener, {{ServiceKeyOf("stream"), 1}}});
  }

  void AddBalancer(uint32_t index) {
    SegmentBalancerSettings settings;
    settings.failure_domain = "a";
    settings.format = text_format::Format();
    this->balancers[BalancerAt(index)] =
        std::make_unique<SegmentBalancer>(std::move(settings));
  }

  void AddAgent(uint32_t index, const std::string& service = "stream") {
    this->service_of[AgentAt(index)] = service;
    this->upstreams[AgentAt(index)];
    this->StartAgent(index);
  }

  // Starts or restarts the process of an agent; its upstream keeps running.
  void StartAgent(uint32_t index) {
    SegmentAgentSettings settings;
    settings.address = AgentAt(index);
    settings.service = this->service_of[AgentAt(index)];
    settings.failure_domain = "a";
    settings.format = text_format::Format();
    this->agents[AgentAt(index)] =
        std::make_unique<SegmentAgent>(std::move(settings), this->now);
  }

  UpstreamReport ReportOf(uint32_t index,
                          UpstreamState state = UpstreamState::kReady) {
    UpstreamReport report;
    report.id = "i-" + std::to_string(index);
    report.incarnation = Incarnation(5);
    report.sequence = this->sequence++;
    report.service = this->service_of[AgentAt(index)];
    report.state = state;
    report.slots = 4;
    return report;
  }

  bool Report(uint32_t index, UpstreamState state = UpstreamState::kReady) {
    return IsInForce(this->agents.at(AgentAt(index))
                         ->OnReport(this->now, this->ReportOf(index, state)));
  }

  // Sends listeners and agents to every balancer.
  void PublishCompleteUpdate() { this->PublishUpdate(true); }

  void PublishUpdate(bool complete = false) {
    Update update;
    update.complete = complete;
    ListenerTable table;
    table.Apply(this->listeners);
    update.listeners = table.DeltaSince(0);
    for (const auto& [address, agent] : this->agents) {
      update.agents.push_back(agent->Record(this->now));
    }
    for (auto& [address, balancer] : this->balancers) {
      balancer->OnUpdate(this->now, update);
    }
  }

  void Send(uint32_t balancer, const Segment& segment) {
    BalancerOutput out;
    this->balancers.at(BalancerAt(balancer))
        ->OnPacket(this->now, text_format::Write(segment), &out);
    this->Dispatch(BalancerAt(balancer), std::move(out));
  }

  void Advance(int64_t milliseconds) {
    for (int64_t passed = 0; passed < milliseconds; passed += 5) {
      this->now += Millis(5);
      for (auto& [address, balancer] : this->balancers) {
        BalancerOutput out;
        balancer->Tick(this->now, &out);
        this->Dispatch(address, std::move(out));
      }
      for (auto& [address, agent] : this->agents) {
        if (!agent) continue;
        SegmentAgentOutput out;
        agent->Tick(this->now, &out);
        this->Dispatch(address, std::move(out));
      }
    }
  }

  // Number of resets sent to callers.
  size_t Resets() const {
    size_t count = 0;
    for (const Segment& segment : this->to_callers) {
      if (segment.resets) ++count;
    }
    return count;
  }

  // Index of the upstream that has the caller's flow, or -1.
  int OwnerOf(const Endpoint& caller) const {
    for (const auto& [address, upstream] : this->upstreams) {
      if (upstream.flows.contains({caller, kListener})) {
        return static_cast<int>(address.address - AgentAt(0).address);
      }
    }
    return -1;
  }

  void Dispatch(const Endpoint& balancer, BalancerOutput out) {
    for (CallerPacket& send : out.callers) {
      this->to_callers.push_back(text_format::Read(send.datagram).value());
    }
    for (PeerMessage& send : out.agents) {
      ++this->balancer_messages;
      ++this->agent_messages;
      const auto agent = this->agents.find(send.to);
      if (agent == this->agents.end() || !agent->second) continue;
      SegmentAgentOutput reply;
      agent->second->OnPeerMessage(this->now, balancer, std::move(send.message),
                                   &reply);
      this->Dispatch(send.to, std::move(reply));
    }
  }

  void Dispatch(const Endpoint& agent, SegmentAgentOutput out) {
    for (CallerPacket& send : out.callers) {
      this->to_callers.push_back(text_format::Read(send.datagram).value());
    }
    for (PeerMessage& send : out.peers) {
      const auto other = this->agents.find(send.to);
      if (other != this->agents.end() && other->second) {
        ++this->agent_messages;
        SegmentAgentOutput reply;
        other->second->OnPeerMessage(this->now, agent, std::move(send.message),
                                     &reply);
        this->Dispatch(send.to, std::move(reply));
        continue;
      }
      const auto balancer = this->balancers.find(send.to);
      if (balancer == this->balancers.end()) continue;
      BalancerOutput reply;
      balancer->second->OnAgent(this->now, agent, std::move(send.message),
                                &reply);
      this->Dispatch(send.to, std::move(reply));
    }
    for (const std::string& datagram : out.upstream) {
      this->DeliverToUpstream(agent, text_format::Read(datagram).value());
    }
  }

 private:
  void DeliverToUpstream(const Endpoint& agent, Segment segment) {
    Upstream& upstream = this->upstreams.at(agent);
    if (upstream.silent) return;
    const SegmentFlow flow{segment.source, segment.destination};
    Segment reply;
    reply.source = segment.destination;
    reply.destination = segment.source;
    if (segment.opens && !upstream.full) {
      ++upstream.first_packets;
      upstream.flows.insert(flow);
      reply.opens = true;
      reply.accepts = true;
    } else if (segment.opens || !upstream.flows.contains(flow)) {
      segment.returned = true;
      reply = segment;
    } else {
      ++upstream.data_packets;
      reply.data_bytes = 5;
    }
    SegmentAgentOutput out;
    this->agents.at(agent)->OnUpstreamPacket(this->now,
                                             text_format::Write(reply), &out);
    this->Dispatch(agent, std::move(out));
  }
};

}  // namespace cornelhill
