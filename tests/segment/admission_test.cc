// Replays load above the capacity of the upstreams through balancers and
// agents.

#include <criterion/criterion.h>

#include "tests/segment/segment_test_network.h"

namespace cornelhill {
namespace {

constexpr Millis kTarget{250};

SegmentTestNetwork MakeNetwork(uint32_t agents) {
  SegmentTestNetwork network;
  network.listeners.listeners[0].target_latency = kTarget;
  network.listeners.listeners[0].timeout = Millis(2000);
  network.AddBalancer(0);
  for (uint32_t i = 0; i < agents; ++i) {
    network.AddAgent(i);
    network.Report(i);
  }
  network.PublishUpdate();
  return network;
}

SegmentAgent& Agent(SegmentTestNetwork& network, uint32_t index) {
  return *network.agents.at(AgentAt(index));
}

// Fails if a burst is passed on to an upstream that sheds what exceeds its
// slots and queue: each request that it sheds costs its caller an attempt.
Test(admission, a_burst_waits_at_the_agent) {
  SegmentTestNetwork network = MakeNetwork(1);
  for (uint16_t port = 1; port <= 40; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
  }
  const uint32_t limit = Agent(network, 0).FlowLimit();
  cr_assert_eq(network.upstreams[AgentAt(0)].first_packets, limit);
  cr_assert_eq(Agent(network, 0).WaitingFlows(), 40 - limit);
  cr_assert_eq(network.Resets(), 0U);
  // Each flow that continues and is answered admits another one.
  for (uint16_t port = 1; port <= 40; ++port) {
    network.Send(0, DataPacket(CallerAt(port)));
  }
  cr_assert_eq(network.upstreams[AgentAt(0)].first_packets, 40U);
  cr_assert_eq(Agent(network, 0).WaitingFlows(), 0U);
}

// Fails if a copy of a first packet that waits is sent past the queue.
Test(admission, a_copy_of_a_waiting_first_packet_does_not_jump_the_queue) {
  SegmentTestNetwork network = MakeNetwork(1);
  for (int copies = 0; copies < 2; ++copies) {
    for (uint16_t port = 1; port <= 40; ++port) {
      network.Send(0, FirstPacket(CallerAt(port)));
    }
  }
  const uint32_t limit = Agent(network, 0).FlowLimit();
  cr_assert_eq(network.upstreams[AgentAt(0)].flows.size(), limit);
  cr_assert_eq(Agent(network, 0).WaitingFlows(), 40 - limit);
}

// Fails if a flow that was accepted but not yet admitted is lost when its
// upstream leaves or its agent stops.
Test(admission, waiting_flows_move_when_their_upstream_leaves) {
  for (const bool agent_stops : {false, true}) {
    SegmentTestNetwork network = MakeNetwork(1);
    for (uint16_t port = 1; port <= 20; ++port) {
      network.Send(0, FirstPacket(CallerAt(port)));
    }
    const size_t waiting = Agent(network, 0).WaitingFlows();
    cr_assert_gt(waiting, 0U);
    for (uint32_t i = 1; i <= 3; ++i) {
      network.AddAgent(i);
      network.Report(i);
    }
    network.PublishUpdate();
    if (agent_stops) {
      SegmentAgentOutput out;
      Agent(network, 0).Drain(network.now, &out);
      network.Dispatch(AgentAt(0), std::move(out));
    } else {
      network.Report(0, UpstreamState::kDraining);
      network.Advance(10);
    }
    cr_assert_eq(Agent(network, 0).WaitingFlows(), 0U);
    size_t opened = 0;
    for (uint32_t i = 1; i <= 3; ++i) {
      opened += network.upstreams[AgentAt(i)].flows.size();
      opened += Agent(network, i).WaitingFlows();
    }
    cr_assert_eq(opened, waiting);
    cr_assert_eq(network.Resets(), 0U);
  }
}

// Fails if capacity is spent on a flow whose caller has given up.
Test(admission, a_flow_is_not_admitted_after_its_caller_gave_up) {
  SegmentTestNetwork network = MakeNetwork(1);
  for (uint16_t port = 1; port <= 40; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
  }
  network.upstreams[AgentAt(0)].silent = true;
  const size_t opened = network.upstreams[AgentAt(0)].flows.size();
  network.Advance(1500);
  cr_assert_eq(Agent(network, 0).WaitingFlows(), 0U);
  cr_assert_eq(network.upstreams[AgentAt(0)].flows.size(), opened);
}

// Fails if the requests that a crashed upstream was processing take capacity
// of the next one.
Test(admission, a_restarted_upstream_has_its_whole_capacity) {
  SegmentTestNetwork network = MakeNetwork(1);
  network.upstreams[AgentAt(0)].silent = true;
  for (uint16_t port = 1; port <= 20; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
    network.Send(0, DataPacket(CallerAt(port)));
  }
  cr_assert_gt(Agent(network, 0).BusyFlows(), 0U);
  network.upstreams[AgentAt(0)].silent = false;
  UpstreamReport report = network.ReportOf(0);
  report.incarnation = Incarnation(6);
  Agent(network, 0).OnReport(network.now, report);
  cr_assert_eq(Agent(network, 0).BusyFlows(), 0U);
  network.Advance(10);
  cr_assert_gt(network.upstreams[AgentAt(0)].flows.size(), 0U);
}

// Fails if a flow that was admitted after a restart of the upstream is taken
// for a flow of the earlier one, and so reset when a packet is returned.
Test(admission, a_flow_belongs_to_the_upstream_that_it_was_admitted_to) {
  SegmentTestNetwork network = MakeNetwork(1);
  for (uint16_t port = 1; port <= 20; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
  }
  cr_assert_eq(network.OwnerOf(CallerAt(20)), -1, "the flow waits");
  UpstreamReport report = network.ReportOf(0);
  report.incarnation = Incarnation(6);
  Agent(network, 0).OnReport(network.now, report);
  network.Advance(10);
  for (uint16_t port = 1; port < 20; ++port) {
    network.Send(0, DataPacket(CallerAt(port)));
  }
  cr_assert_eq(network.OwnerOf(CallerAt(20)), 0);
  const size_t resets = network.Resets();
  network.upstreams[AgentAt(0)].flows.clear();
  network.Send(0, DataPacket(CallerAt(20)));
  cr_assert_eq(network.Resets(), resets);
}

}  // namespace
}  // namespace cornelhill
