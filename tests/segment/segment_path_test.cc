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

// Fails if a retransmitted first packet opens the flow at a second upstream.
Test(segment_path, retransmitted_first_packets_go_to_the_same_upstream) {
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

// Fails if an upstream receives a new flow after its agent has taken the report
// that it is draining, before the balancers know of it.
Test(segment_path, a_draining_upstream_gets_no_new_flow) {
  SegmentTestNetwork network = MakeNetwork(2);
  network.Send(0, FirstPacket(CallerAt(1)));
  const int owner = network.OwnerOf(CallerAt(1));
  network.Report(owner, UpstreamState::kDraining);
  for (uint16_t port = 10; port < 40; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
    cr_assert_neq(network.OwnerOf(CallerAt(port)), owner);
    cr_assert_neq(network.OwnerOf(CallerAt(port)), -1);
    // A flow that its caller does not continue occupies the upstream.
    network.Send(0, DataPacket(CallerAt(port)));
  }
  // The open flow continues.
  network.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, 1U);
  cr_assert_eq(network.Resets(), 0U);
}

// Fails if a first packet reaches an upstream of another service: the
// balancer's directory still has the former service of the address.
Test(segment_path, a_reused_address_never_serves_another_service) {
  SegmentTestNetwork network = MakeNetwork(1);
  network.service_of[AgentAt(0)] = "intake";
  network.StartAgent(0);
  network.upstreams[AgentAt(0)] = {};
  network.Report(0);
  network.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(network.OwnerOf(CallerAt(1)), -1);
  cr_assert_eq(network.Resets(), 1U, "the caller is reset at once");
}

// Fails if a flow is lost when its packets reach a restarted or another
// balancer.
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

// Fails if a restart of the agent loses its flows or moves them to another
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

// Fails if a caller is left waiting when no listener or upstream serves it.
Test(segment_path, a_flow_that_cannot_be_served_is_reset_at_once) {
  SegmentTestNetwork network = MakeNetwork(2);
  Segment unknown = FirstPacket(CallerAt(1));
  unknown.destination = kOtherListener;
  network.Send(0, unknown);
  cr_assert_eq(network.Resets(), 1U);
  for (auto& [address, upstream] : network.upstreams) upstream.full = true;
  network.Send(0, FirstPacket(CallerAt(2)));
  cr_assert_eq(network.Resets(), 2U);
}

// Guards against resets of flows that could be served: a balancer that had been
// suspended, or cut off from the core, for longer than the agents' expiry
// dropped all agents at its next sweep and reset each new flow until the core
// answered.
Test(segment_path, a_balancer_without_the_core_keeps_the_agents_it_knows) {
  SegmentTestNetwork network = MakeNetwork(2);
  network.PublishCompleteUpdate();
  network.now += kAgentExpiry * 2;
  network.Advance(1100);
  network.Report(0);
  network.Report(1);
  network.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_neq(network.OwnerOf(CallerAt(1)), -1);
  cr_assert_eq(network.Resets(), 0U);
  // The core is back, and one of the agents is gone.
  network.agents.erase(AgentAt(1));
  network.now += kAgentExpiry * 2;
  network.Report(0);
  network.PublishCompleteUpdate();
  network.Advance(1100);
  cr_assert_eq(network.balancers[BalancerAt(0)]->Agents().Entries().size(), 1U);
}

// Guards against a reset by a balancer that does not know whether an agent of
// the service has started: the caller's retransmission is served.
Test(segment_path, a_flow_is_not_reset_before_the_directory_is_complete) {
  SegmentTestNetwork network = MakeNetwork(0);
  network.AddAgent(0);
  network.Report(0);
  network.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 0U);
  network.PublishCompleteUpdate();
  network.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(network.OwnerOf(CallerAt(1)), 0);
  // With a complete directory a flow that nobody serves is reset at once.
  network.agents.erase(AgentAt(0));
  network.now += kAgentExpiry * 2;
  network.PublishCompleteUpdate();
  network.Advance(1100);
  network.Send(0, FirstPacket(CallerAt(2)));
  cr_assert_eq(network.Resets(), 1U);
}

// Fails if a flow that a full upstream returns is dropped although another
// upstream has capacity.
Test(segment_path, a_flow_refused_by_a_full_upstream_goes_to_another) {
  SegmentTestNetwork network = MakeNetwork(3);
  network.upstreams[AgentAt(0)].full = true;
  network.upstreams[AgentAt(1)].full = true;
  for (uint16_t port = 1; port <= 10; ++port) {
    network.Send(0, FirstPacket(CallerAt(port)));
    cr_assert_eq(network.OwnerOf(CallerAt(port)), 2);
    network.Send(0, DataPacket(CallerAt(port)));
  }
  cr_assert_eq(network.Resets(), 0U);
}

// Fails if retransmitted first packets keep going to an unresponsive upstream.
Test(segment_path, a_retransmission_leaves_an_unresponsive_upstream) {
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

// Guards against valid offers being refused as stale: after a restart,
// balancers had different versions for the same shares of a listener, and their
// offers were refused for 16 s (seen on the day trouble-2 of the deployment
// fmn-aula).
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

// Fails if an agent accepts an offer with older shares of a listener after one
// with newer shares.
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

// Guards against a lookup at all agents for each retransmission on a flow whose
// upstream is gone.
Test(segment_path, a_failed_lookup_is_not_repeated_at_once) {
  SegmentTestNetwork network = MakeNetwork(4);
  for (int i = 0; i < 20; ++i) {
    network.Send(0, DataPacket(CallerAt(1)));
    network.Advance(200);
  }
  const BalancerCounters& counters =
      network.balancers.at(BalancerAt(0))->Counters();
  cr_assert_geq(counters.seeks, 2U);
  cr_assert_leq(counters.seeks, 8U, "%zu owner lookups",
                static_cast<size_t>(counters.seeks));
  cr_assert_eq(network.Resets(), 0U);
}

// Fails if a flow whose upstream is gone is not reset, so that the caller waits
// for the deadline of each request, or if a flow is reset although an agent did
// not answer.
Test(segment_path, a_flow_that_no_agent_holds_is_reset) {
  for (const bool one_agent_is_down : {false, true}) {
    SegmentTestNetwork network = MakeNetwork(4);
    network.PublishCompleteUpdate();
    if (one_agent_is_down) network.agents[AgentAt(2)].reset();
    network.Send(0, DataPacket(CallerAt(1)));
    cr_assert_eq(network.Resets(), one_agent_is_down ? 0U : 1U);
  }
}

// Guards against searches that wait for agents without an upstream: after a
// power loss of the whole site, two agents whose upstreams had permanently
// stopped kept every search from ending for 10 s (seen on the day trouble-1 of
// the deployment sv-tamaki-grown).
Test(segment_path, an_agent_without_an_upstream_does_not_prevent_a_reset) {
  SegmentTestNetwork network = MakeNetwork(4);
  network.StartAgent(2);
  network.PublishCompleteUpdate();
  network.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 0U,
               "the upstream of agent 2 may still report");
  network.Advance(3100);
  network.PublishCompleteUpdate();
  network.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 1U);
}

// Guards against searches that wait for removed instances: agents on instances
// that were removed together with their upstreams stayed in the directory for
// 6 s and kept every search from ending (seen on the day trouble-1 of the
// deployment fmn-aula-grown). A search still waits for each agent that has
// reported recently.
Test(segment_path, a_removed_agent_does_not_prevent_a_reset) {
  SegmentTestNetwork network = MakeNetwork(4);
  network.PublishCompleteUpdate();
  auto removed = std::move(network.agents[AgentAt(2)]);
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

// Fails if an agent that stopped reporting but still owns the flow is not
// probed.
Test(segment_path, a_silent_agent_is_probed) {
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

// Guards against resets sent by a balancer whose directory is incomplete or out
// of date.
Test(segment_path, a_flow_is_not_reset_by_an_incomplete_directory) {
  SegmentTestNetwork network = MakeNetwork(4);
  network.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 0U);
  network.PublishCompleteUpdate();
  network.now += Millis(5000);
  network.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 0U, "the directory is five seconds old");
}

// Guards against lookups that a balancer sends to all agents: at about 40
// messages each, small balancers had no processor time to finish them, and the
// lookups failed (seen on the day scale-1 of the deployment fmn-aula-grown).
Test(segment_path, a_flow_is_found_through_its_home_agent) {
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
    cr_assert_leq(network.agent_messages, 3U,
                  "to the home agent, to the owner, and back");
  }
}

// Fails if a flow is lost when a new agent becomes its home agent.
Test(segment_path, a_new_home_agent_finds_the_owner) {
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

// Fails if a home agent with an outdated owner prevents the lookup of a flow or
// causes its reset.
Test(segment_path, a_home_agent_with_a_former_owner_does_not_end_a_lookup) {
  SegmentTestNetwork network = MakeNetwork(4, 2);
  network.PublishCompleteUpdate();
  network.Send(0, FirstPacket(CallerAt(1)));
  const int owner = network.OwnerOf(CallerAt(1));
  network.balancers.erase(BalancerAt(0));
  for (uint32_t i = 0; i < 4; ++i) {
    SegmentMessage owner_update;
    owner_update.kind = SegmentMessageKind::kOwnerUpdate;
    owner_update.flow = {CallerAt(1), kListener};
    SegmentAgentOutput out;
    network.agents[AgentAt(i)]->OnPeerMessage(
        network.now, AgentAt((static_cast<uint32_t>(owner) + 1) % 4),
        std::move(owner_update), &out);
  }
  network.Send(1, DataPacket(CallerAt(1)));
  network.Advance(100);
  cr_assert_eq(network.upstreams[AgentAt(owner)].data_packets, 1U);
  cr_assert_eq(network.Resets(), 0U);
}

// Guards against balancers that ask every agent for each open flow: after a
// power loss of the whole site they ran out of processor time, and callers
// waited 11 s for the reset of flows whose upstreams were gone (seen on the day
// trouble-1 of the deployment fmn-aula-grown).
Test(segment_path, a_balancer_sends_one_message_for_a_flow_that_is_gone) {
  SegmentTestNetwork network = MakeNetwork(40);
  network.PublishCompleteUpdate();
  network.balancer_messages = 0;
  network.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(network.Resets(), 1U);
  cr_assert_eq(network.balancer_messages, 1U);
}

// Fails if home agents that have restarted or do not answer prevent the lookup
// of a flow.
Test(segment_path, agents_are_probed_if_home_agents_do_not_know_the_owner) {
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

// Guards against lookups that probe all agents: with 56 agents they took all
// the processor time of small balancers (seen on the day scale-1 of the
// deployment fmn-aula-grown).
Test(segment_path, a_lookup_among_many_agents_probes_the_candidates) {
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
  // An owner that ranks below the candidates is found by a later lookup.
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
