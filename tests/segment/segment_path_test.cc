#include <criterion/criterion.h>

#include "tests/segment/segment_test_network.h"

namespace cornelhill {
namespace {

SegmentTestNetwork MakeNetwork(uint32_t agents, uint32_t balancers = 2) {
  SegmentTestNetwork network;
  for (uint32_t i = 0; i < balancers; ++i) network.AddBalancer(i);
  for (uint32_t i = 0; i < agents; ++i) {
    network.AddAgent(i);
    network.Report(i);
  }
  network.PublishUpdate();
  return network;
}

// Fails where a copy of a first packet opens the flow at a second upstream.
Test(segment_path, copies_of_a_first_packet_follow_it) {
  SegmentTestNetwork network = MakeNetwork(3);
  network.Send(0, FirstPacket(CallerAt(1)));
  const int owner = network.OwnerOf(CallerAt(1));
  cr_assert_neq(owner, -1);
  network.Send(0, FirstPacket(CallerAt(1)));
  network.Send(0, FirstPacket(CallerAt(1)));
  size_t opened = 0;
  for (const auto& [address, upstream] : network.upstreams) {
    opened += upstream.flows.size();
  }
  cr_assert_eq(opened, 1U);
  cr_assert_eq(network.upstreams[AgentAt(owner)].first_packets, 3U);
}

// Fails where an upstream gets a new flow after its report that it leaves was
// taken, although the balancers have not heard of it.
Test(segment_path, a_leaving_upstream_gets_no_new_flow) {
  SegmentTestNetwork network = MakeNetwork(2);
  network.Send(0, FirstPacket(CallerAt(1)));
  const int owner = network.OwnerOf(CallerAt(1));
  network.Report(owner, UpstreamState::kDraining);
  for (uint16_t port = 10; port < 40; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
    cr_assert_neq(network.OwnerOf(CallerAt(port)), owner);
    cr_assert_neq(network.OwnerOf(CallerAt(port)), -1);
  }
  // The flow that was open goes on.
  network.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, 1U);
  cr_assert_eq(network.Resets(), 0U);
}

// Fails where a first packet reaches an upstream of another service: here the
// directory of the balancer still names the former service of the address.
Test(segment_path, a_reused_address_never_serves_another_service) {
  SegmentTestNetwork network = MakeNetwork(1);
  network.service_of[AgentAt(0)] = "intake";
  network.StartAgent(0);
  network.upstreams[AgentAt(0)] = {};
  network.Report(0);
  network.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(network.OwnerOf(CallerAt(1)), -1);
  cr_assert_eq(network.Resets(), 1U, "the caller has its answer at once");
}

// Fails where a restarted balancer, or another one that the router has
// selected, loses a flow.
Test(segment_path, a_balancer_without_the_flow_finds_its_owner) {
  SegmentTestNetwork network = MakeNetwork(5);
  for (uint16_t port = 1; port <= 20; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
  }
  for (uint16_t port = 1; port <= 20; ++port) {
    const int owner = network.OwnerOf(CallerAt(port));
    const size_t before = network.upstreams[AgentAt(owner)].data_packets;
    network.Send(1, DataPacket(CallerAt(port)));
    cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, before + 1);
  }
  cr_assert_eq(network.Resets(), 0U);
}

// Fails where flows are lost with the memory of their agent, or go to another
// upstream.
Test(segment_path, a_restarted_agent_finds_its_flows_at_the_upstream) {
  SegmentTestNetwork network = MakeNetwork(3);
  for (uint16_t port = 1; port <= 12; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
  }
  network.Advance(100);
  for (uint32_t i = 0; i < 3; ++i) {
    network.StartAgent(i);
    network.Report(i);
  }
  network.AddBalancer(2);
  network.PublishUpdate();
  for (uint16_t port = 1; port <= 12; ++port) {
    const int owner = network.OwnerOf(CallerAt(port));
    const size_t before = network.upstreams[AgentAt(owner)].data_packets;
    network.Send(2, DataPacket(CallerAt(port)));
    network.Advance(60);
    cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, before + 1);
    network.Send(0, DataPacket(CallerAt(port), 111));
    network.Advance(60);
    cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, before + 2);
  }
  cr_assert_eq(network.Resets(), 0U);
}

// Fails where a caller waits for an answer that nobody will give.
Test(segment_path, what_cannot_be_served_is_reset_at_once) {
  SegmentTestNetwork network = MakeNetwork(2);
  Segment unknown = FirstPacket(CallerAt(1));
  unknown.destination = kOtherListener;
  network.Send(0, unknown);
  cr_assert_eq(network.Resets(), 1U);
  for (auto& [address, upstream] : network.upstreams) upstream.full = true;
  network.Send(0, FirstPacket(CallerAt(2)));
  cr_assert_eq(network.Resets(), 2U);
}

// Fails where a first packet that its upstream does not take is given up
// although another upstream has room.
Test(segment_path, a_full_upstream_passes_the_flow_on) {
  SegmentTestNetwork network = MakeNetwork(3);
  network.upstreams[AgentAt(0)].full = true;
  network.upstreams[AgentAt(1)].full = true;
  for (uint16_t port = 1; port <= 10; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
    cr_assert_eq(network.OwnerOf(CallerAt(port)), 2);
  }
  cr_assert_eq(network.Resets(), 0U);
}

// Fails where copies wait for an upstream that has gone silent.
Test(segment_path, a_copy_leaves_an_upstream_that_does_not_reply) {
  SegmentTestNetwork network = MakeNetwork(2);
  network.upstreams[AgentAt(0)].silent = true;
  network.upstreams[AgentAt(1)].silent = true;
  network.Send(0, FirstPacket(CallerAt(1)));
  network.upstreams[AgentAt(0)].silent = false;
  network.upstreams[AgentAt(1)].silent = true;
  network.Advance(200);
  network.Send(0, FirstPacket(CallerAt(1)));
  network.Advance(400);
  network.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(network.OwnerOf(CallerAt(1)), 0);
}

// Guards against fmn-aula trouble-2: balancers that number the versions of a
// listener differently after a restart had valid offers refused for 16 s.
Test(segment_path, an_older_version_with_the_same_shares_is_not_stale) {
  SegmentTestNetwork network = MakeNetwork(1);
  network.listeners.version = 9;
  Update update;
  ListenerTable table;
  table.Apply(network.listeners);
  update.listeners = table.DeltaSince(0);
  network.balancers.at(BalancerAt(0))->OnUpdate(network.now, update);
  network.Send(0, FirstPacket(CallerAt(1)));
  network.Send(1, FirstPacket(CallerAt(2)));
  cr_assert_eq(network.OwnerOf(CallerAt(1)), 0);
  cr_assert_eq(network.OwnerOf(CallerAt(2)), 0);
}

// Fails where an agent that has served a later version of a listener serves an
// older one afterwards.
Test(segment_path, an_older_version_with_other_shares_is_stale) {
  SegmentTestNetwork network = MakeNetwork(1);
  network.listeners.version = 9;
  network.listeners.listeners[0].shares = {{ServiceKeyOf("stream"), 3},
                                           {ServiceKeyOf("intake"), 0}};
  Update update;
  ListenerTable table;
  table.Apply(network.listeners);
  update.listeners = table.DeltaSince(0);
  network.balancers.at(BalancerAt(0))->OnUpdate(network.now, update);
  network.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(network.OwnerOf(CallerAt(1)), 0);
  network.Send(1, FirstPacket(CallerAt(2)));
  cr_assert_eq(network.OwnerOf(CallerAt(2)), -1);
  network.PublishUpdate();
  network.Send(1, FirstPacket(CallerAt(2)));
  cr_assert_eq(network.OwnerOf(CallerAt(2)), 0);
}

// Guards against a search of every agent with each retransmission of a flow
// whose upstream is gone.
Test(segment_path, a_failed_seek_is_not_repeated_at_once) {
  SegmentTestNetwork network = MakeNetwork(4);
  for (int i = 0; i < 20; ++i) {
    network.Send(0, DataPacket(CallerAt(1)));
    network.Advance(200);
  }
  const BalancerCounters& counters =
      network.balancers.at(BalancerAt(0))->Counters();
  cr_assert_geq(counters.seeks, 2U);
  cr_assert_leq(counters.seeks, 8U, "%zu seeks",
                static_cast<size_t>(counters.seeks));
  cr_assert_eq(network.Resets(), 0U);
}

// Fails where a caller waits for the deadline of each request on a flow whose
// upstream is gone, or where a flow is reset although an agent did not answer.
Test(segment_path, a_flow_that_no_agent_holds_is_reset) {
  for (const bool one_is_down : {false, true}) {
    SegmentTestNetwork network = MakeNetwork(4);
    network.PublishCompleteUpdate();
    if (one_is_down) network.agents[AgentAt(2)].reset();
    network.Send(0, DataPacket(CallerAt(1)));
    cr_assert_eq(network.Resets(), one_is_down ? 0U : 1U);
  }
}

// Guards against sv-tamaki-grown trouble-1: two agents whose upstreams had left
// for good kept every search from its end for ten seconds after the loss of all
// power.
Test(segment_path, an_agent_without_an_upstream_does_not_keep_a_flow_alive) {
  SegmentTestNetwork network = MakeNetwork(4);
  network.StartAgent(2);
  network.PublishCompleteUpdate();
  network.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 0U, "its upstream may still report");
  network.Advance(3100);
  network.PublishCompleteUpdate();
  network.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 1U);
}

// Guards against fmn-aula-grown trouble-1: instances that were taken away with
// their upstreams stayed in the directory for six seconds and kept every search
// from its end. An agent that may live is waited for.
Test(segment_path, an_agent_that_was_taken_away_does_not_keep_a_flow_alive) {
  SegmentTestNetwork network = MakeNetwork(4);
  network.PublishCompleteUpdate();
  auto gone = std::move(network.agents[AgentAt(2)]);
  network.agents.erase(AgentAt(2));
  network.Send(0, DataPacket(CallerAt(1)));
  network.Advance(250);
  cr_assert_eq(network.Resets(), 0U);
  network.Advance(3000);
  network.PublishCompleteUpdate();
  network.Send(1, DataPacket(CallerAt(1)));
  network.Advance(10);
  cr_assert_eq(network.Resets(), 1U);
}

// Fails where a silent agent that still holds a flow is not asked.
Test(segment_path, a_silent_agent_is_asked) {
  SegmentTestNetwork network = MakeNetwork(4);
  network.PublishCompleteUpdate();
  network.Send(0, FirstPacket(CallerAt(1)));
  const int owner = network.OwnerOf(CallerAt(1));
  const Endpoint address = AgentAt(static_cast<uint32_t>(owner));
  for (uint32_t i = 0; i < 4; ++i) {
    if (AgentAt(i) == address) continue;
    network.StartAgent(i);
    network.Report(i);
  }
  auto silent = std::move(network.agents[address]);
  network.agents.erase(address);
  network.Advance(3100);
  network.PublishCompleteUpdate();
  network.agents[address] = std::move(silent);
  network.Send(1, DataPacket(CallerAt(1)));
  network.Advance(100);
  cr_assert_eq(network.upstreams[address].data_packets, 1U);
  cr_assert_eq(network.Resets(), 0U);
}

// Fails where a balancer that has not heard of all agents takes a flow for
// lost.
Test(segment_path, a_flow_is_not_reset_by_an_incomplete_directory) {
  SegmentTestNetwork network = MakeNetwork(4);
  network.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 0U);
  network.PublishCompleteUpdate();
  network.now += Millis(5000);
  network.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 0U, "the directory is five seconds old");
}

// Guards against fmn-aula-grown scale-1, where seeks failed that small
// balancers had no processor time to finish: each one took about forty
// messages.
Test(segment_path, a_flow_is_found_through_its_home) {
  SegmentTestNetwork network = MakeNetwork(40, 9);
  network.PublishCompleteUpdate();
  for (uint16_t port = 1; port <= 20; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
    const int owner = network.OwnerOf(CallerAt(port));
    const size_t before = network.upstreams[AgentAt(owner)].data_packets;
    network.agent_messages = 0;
    network.balancer_messages = 0;
    network.Send(1, DataPacket(CallerAt(port)));
    cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, before + 1);
    cr_assert_eq(network.balancer_messages, 1U);
    cr_assert_leq(network.agent_messages, 3U, "to home, to owner, and back");
  }
}

// Fails where a flow is lost when a new agent becomes its home.
Test(segment_path, a_new_home_finds_the_owner) {
  SegmentTestNetwork network = MakeNetwork(5, 2);
  network.PublishCompleteUpdate();
  for (uint16_t port = 1; port <= 20; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
  }
  network.AddAgent(5);
  network.Report(5);
  network.PublishCompleteUpdate();
  for (uint16_t port = 1; port <= 20; ++port) {
    const int owner = network.OwnerOf(CallerAt(port));
    const size_t before = network.upstreams[AgentAt(owner)].data_packets;
    network.balancer_messages = 0;
    network.Send(1, DataPacket(CallerAt(port)));
    cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, before + 1);
    cr_assert_eq(network.balancer_messages, 1U);
  }
}

// Fails where a home that names a former owner keeps a flow from being found,
// or has it reset.
Test(segment_path, a_home_with_a_former_owner_does_not_end_a_seek) {
  SegmentTestNetwork network = MakeNetwork(4, 2);
  network.PublishCompleteUpdate();
  network.Send(0, FirstPacket(CallerAt(1)));
  const int owner = network.OwnerOf(CallerAt(1));
  network.balancers.erase(BalancerAt(0));
  for (uint32_t i = 0; i < 4; ++i) {
    SegmentMessage holds;
    holds.kind = SegmentMessageKind::kOwnerUpdate;
    holds.flow = {CallerAt(1), kListener};
    SegmentAgentOutput out;
    network.agents[AgentAt(i)]->OnPeer(
        network.now, AgentAt((static_cast<uint32_t>(owner) + 1) % 4),
        std::move(holds), &out);
  }
  network.Send(1, DataPacket(CallerAt(1)));
  network.Advance(100);
  cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, 1U);
  cr_assert_eq(network.Resets(), 0U);
}

// Guards against fmn-aula-grown trouble-1: after the loss of all power the
// balancers asked every agent for each open flow, ran out of processor time,
// and callers waited 11 s for the end of flows whose upstreams had gone.
Test(segment_path, a_balancer_sends_one_message_for_a_flow_that_is_gone) {
  SegmentTestNetwork network = MakeNetwork(40);
  network.PublishCompleteUpdate();
  network.balancer_messages = 0;
  network.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 1U);
  cr_assert_eq(network.balancer_messages, 1U);
}

// Fails where homes that have restarted, or do not answer, keep a flow from
// being found.
Test(segment_path, agents_are_asked_where_homes_do_not_know) {
  SegmentTestNetwork network = MakeNetwork(9, 3);
  network.PublishCompleteUpdate();
  network.Send(0, FirstPacket(CallerAt(1)));
  const int owner = network.OwnerOf(CallerAt(1));
  for (uint32_t i = 0; i < 9; ++i) {
    if (static_cast<int>(i) == owner) continue;
    network.StartAgent(i);
    network.Report(i);
    if (i % 3 == 0) network.agents[AgentAt(i)].reset();
  }
  network.Send(1, DataPacket(CallerAt(1)));
  network.Advance(150);
  cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, 1U);
  cr_assert_eq(network.Resets(), 0U);
}

// Guards against fmn-aula-grown scale-1, where seeks among 56 agents took all
// the processor time of small balancers.
Test(segment_path, a_seek_among_many_agents_asks_the_candidates_of_the_flow) {
  SegmentTestNetwork network = MakeNetwork(40, 1);
  for (uint16_t port = 1; port <= 20; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
  }
  network.AddBalancer(1);
  network.PublishUpdate();
  for (uint16_t port = 1; port <= 20; ++port) {
    const int owner = network.OwnerOf(CallerAt(port));
    const size_t before = network.upstreams[AgentAt(owner)].data_packets;
    network.agent_messages = 0;
    network.Send(1, DataPacket(CallerAt(port)));
    cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, before + 1);
    cr_assert_leq(network.agent_messages, 12U);
  }
  // An agent outside the candidates is found by the repeated seek.
  network.upstreams[AgentAt(7)].flows.insert({CallerAt(99), kListener});
  network.StartAgent(7);
  network.Report(7);
  for (int i = 0; i < 4; ++i) {
    network.Send(1, DataPacket(CallerAt(99)));
    network.Advance(300);
  }
  cr_assert_geq(network.upstreams[AgentAt(7)].data_packets, 1U);
}

}  // namespace
}  // namespace cornelhill
