#include <criterion/criterion.h>

#include "tests/segment/segment_world.h"

namespace cornelhill {
namespace {

SegmentWorld MakeWorld(uint32_t agents, uint32_t balancers = 2) {
  SegmentWorld world;
  for (uint32_t i = 0; i < balancers; ++i) world.AddBalancer(i);
  for (uint32_t i = 0; i < agents; ++i) {
    world.AddAgent(i);
    world.Report(i);
  }
  world.Spread();
  return world;
}

// Fails where a copy of a first packet opens the flow at a second upstream.
Test(segment_path, copies_of_a_first_packet_follow_it) {
  SegmentWorld world = MakeWorld(3);
  world.Send(0, FirstPacket(CallerAt(1)));
  const int holder = world.HolderOf(CallerAt(1));
  cr_assert_neq(holder, -1);
  world.Send(0, FirstPacket(CallerAt(1)));
  world.Send(0, FirstPacket(CallerAt(1)));
  size_t opened = 0;
  for (const auto& [address, upstream] : world.upstreams) {
    opened += upstream.flows.size();
  }
  cr_assert_eq(opened, 1U);
  cr_assert_eq(world.upstreams[AgentAt(holder)].first_packets, 3U);
}

// Fails where an upstream gets a new flow after its report that it leaves was
// taken, although the balancers have not heard of it.
Test(segment_path, a_leaving_upstream_gets_no_new_flow) {
  SegmentWorld world = MakeWorld(2);
  world.Send(0, FirstPacket(CallerAt(1)));
  const int holder = world.HolderOf(CallerAt(1));
  world.Report(holder, UpstreamState::kDraining);
  for (uint16_t port = 10; port < 40; ++port) {
    world.Send(0, FirstPacket(CallerAt(port)));
    cr_assert_neq(world.HolderOf(CallerAt(port)), holder);
    cr_assert_neq(world.HolderOf(CallerAt(port)), -1);
  }
  // The flow that was open goes on.
  world.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, 1U);
  cr_assert_eq(world.Resets(), 0U);
}

// Fails where a first packet reaches an upstream of another service: here the
// directory of the balancer still names the former service of the address.
Test(segment_path, a_reused_address_never_serves_another_service) {
  SegmentWorld world = MakeWorld(1);
  world.service_of[AgentAt(0)] = "intake";
  world.StartAgent(0);
  world.upstreams[AgentAt(0)] = {};
  world.Report(0);
  world.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(world.HolderOf(CallerAt(1)), -1);
  cr_assert_eq(world.Resets(), 1U, "the caller has its answer at once");
}

// Fails where a restarted balancer, or another one that the router has
// selected, loses a flow.
Test(segment_path, a_balancer_without_the_flow_finds_its_owner) {
  SegmentWorld world = MakeWorld(5);
  for (uint16_t port = 1; port <= 20; ++port) {
    world.Send(0, FirstPacket(CallerAt(port)));
  }
  for (uint16_t port = 1; port <= 20; ++port) {
    const int holder = world.HolderOf(CallerAt(port));
    const size_t before = world.upstreams[AgentAt(holder)].data_packets;
    world.Send(1, DataPacket(CallerAt(port)));
    cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, before + 1);
  }
  cr_assert_eq(world.Resets(), 0U);
}

// Fails where flows are lost with the memory of their agent, or go to another
// upstream.
Test(segment_path, a_restarted_agent_finds_its_flows_at_the_upstream) {
  SegmentWorld world = MakeWorld(3);
  for (uint16_t port = 1; port <= 12; ++port) {
    world.Send(0, FirstPacket(CallerAt(port)));
  }
  world.Advance(100);
  for (uint32_t i = 0; i < 3; ++i) {
    world.StartAgent(i);
    world.Report(i);
  }
  world.AddBalancer(2);
  world.Spread();
  for (uint16_t port = 1; port <= 12; ++port) {
    const int holder = world.HolderOf(CallerAt(port));
    const size_t before = world.upstreams[AgentAt(holder)].data_packets;
    world.Send(2, DataPacket(CallerAt(port)));
    world.Advance(60);
    cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, before + 1);
    world.Send(0, DataPacket(CallerAt(port), 111));
    world.Advance(60);
    cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, before + 2);
  }
  cr_assert_eq(world.Resets(), 0U);
}

// Fails where a caller waits for an answer that nobody will give.
Test(segment_path, what_cannot_be_served_is_reset_at_once) {
  SegmentWorld world = MakeWorld(2);
  Segment unknown = FirstPacket(CallerAt(1));
  unknown.destination = kOtherListener;
  world.Send(0, unknown);
  cr_assert_eq(world.Resets(), 1U);
  for (auto& [address, upstream] : world.upstreams) upstream.full = true;
  world.Send(0, FirstPacket(CallerAt(2)));
  cr_assert_eq(world.Resets(), 2U);
}

// Fails where a first packet that its upstream does not take is given up
// although another upstream has room.
Test(segment_path, a_full_upstream_passes_the_flow_on) {
  SegmentWorld world = MakeWorld(3);
  world.upstreams[AgentAt(0)].full = true;
  world.upstreams[AgentAt(1)].full = true;
  for (uint16_t port = 1; port <= 10; ++port) {
    world.Send(0, FirstPacket(CallerAt(port)));
    cr_assert_eq(world.HolderOf(CallerAt(port)), 2);
  }
  cr_assert_eq(world.Resets(), 0U);
}

// Fails where copies wait for an upstream that has gone silent.
Test(segment_path, a_copy_leaves_an_upstream_that_does_not_reply) {
  SegmentWorld world = MakeWorld(2);
  world.upstreams[AgentAt(0)].silent = true;
  world.upstreams[AgentAt(1)].silent = true;
  world.Send(0, FirstPacket(CallerAt(1)));
  world.upstreams[AgentAt(0)].silent = false;
  world.upstreams[AgentAt(1)].silent = true;
  world.Advance(200);
  world.Send(0, FirstPacket(CallerAt(1)));
  world.Advance(400);
  world.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(world.HolderOf(CallerAt(1)), 0);
}

// Guards against fmn-aula trouble-2: balancers that number the versions of a
// listener differently after a restart had valid offers refused for 16 s.
Test(segment_path, an_older_version_with_the_same_shares_is_not_stale) {
  SegmentWorld world = MakeWorld(1);
  world.listeners.version = 9;
  Update update;
  ListenerTable table;
  table.Apply(world.listeners);
  update.listeners = table.DeltaSince(0);
  world.balancers.at(BalancerAt(0))->OnUpdate(world.now, update);
  world.Send(0, FirstPacket(CallerAt(1)));
  world.Send(1, FirstPacket(CallerAt(2)));
  cr_assert_eq(world.HolderOf(CallerAt(1)), 0);
  cr_assert_eq(world.HolderOf(CallerAt(2)), 0);
}

// Fails where an agent that has served a later version of a listener serves an
// older one afterwards.
Test(segment_path, an_older_version_with_other_shares_is_stale) {
  SegmentWorld world = MakeWorld(1);
  world.listeners.version = 9;
  world.listeners.listeners[0].shares = {{ServiceKeyOf("stream"), 3},
                                         {ServiceKeyOf("intake"), 0}};
  Update update;
  ListenerTable table;
  table.Apply(world.listeners);
  update.listeners = table.DeltaSince(0);
  world.balancers.at(BalancerAt(0))->OnUpdate(world.now, update);
  world.Send(0, FirstPacket(CallerAt(1)));
  cr_assert_eq(world.HolderOf(CallerAt(1)), 0);
  world.Send(1, FirstPacket(CallerAt(2)));
  cr_assert_eq(world.HolderOf(CallerAt(2)), -1);
  world.Spread();
  world.Send(1, FirstPacket(CallerAt(2)));
  cr_assert_eq(world.HolderOf(CallerAt(2)), 0);
}

// Guards against a search of every agent with each retransmission of a flow
// whose upstream is gone.
Test(segment_path, a_failed_seek_is_not_repeated_at_once) {
  SegmentWorld world = MakeWorld(4);
  for (int i = 0; i < 20; ++i) {
    world.Send(0, DataPacket(CallerAt(1)));
    world.Advance(200);
  }
  const BalancerCounters& counters =
      world.balancers.at(BalancerAt(0))->Counters();
  cr_assert_geq(counters.seeks, 2U);
  cr_assert_leq(counters.seeks, 8U, "%zu seeks",
                static_cast<size_t>(counters.seeks));
  cr_assert_eq(world.Resets(), 0U);
}

// Fails where a caller waits for the deadline of each request on a flow whose
// upstream is gone, or where a flow is reset although an agent did not answer.
Test(segment_path, a_flow_that_no_agent_holds_is_reset) {
  for (const bool one_is_down : {false, true}) {
    SegmentWorld world = MakeWorld(4);
    world.SpreadComplete();
    if (one_is_down) world.agents[AgentAt(2)].reset();
    world.Send(0, DataPacket(CallerAt(1)));
    cr_assert_eq(world.Resets(), one_is_down ? 0U : 1U);
  }
}

// Guards against sv-tamaki-grown trouble-1: two agents whose upstreams had left
// for good kept every search from its end for ten seconds after the loss of all
// power.
Test(segment_path, an_agent_without_an_upstream_does_not_keep_a_flow_alive) {
  SegmentWorld world = MakeWorld(4);
  world.StartAgent(2);
  world.SpreadComplete();
  world.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(world.Resets(), 0U, "its upstream may still report");
  world.Advance(3100);
  world.SpreadComplete();
  world.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(world.Resets(), 1U);
}

// Guards against fmn-aula-grown trouble-1: instances that were taken away with
// their upstreams stayed in the directory for six seconds and kept every search
// from its end. An agent that may live is waited for.
Test(segment_path, an_agent_that_was_taken_away_does_not_keep_a_flow_alive) {
  SegmentWorld world = MakeWorld(4);
  world.SpreadComplete();
  auto gone = std::move(world.agents[AgentAt(2)]);
  world.agents.erase(AgentAt(2));
  world.Send(0, DataPacket(CallerAt(1)));
  world.Advance(250);
  cr_assert_eq(world.Resets(), 0U);
  world.Advance(3000);
  world.SpreadComplete();
  world.Send(1, DataPacket(CallerAt(1)));
  world.Advance(10);
  cr_assert_eq(world.Resets(), 1U);
}

// Fails where a silent agent that still holds a flow is not asked.
Test(segment_path, a_silent_agent_is_asked) {
  SegmentWorld world = MakeWorld(4);
  world.SpreadComplete();
  world.Send(0, FirstPacket(CallerAt(1)));
  const int holder = world.HolderOf(CallerAt(1));
  const Endpoint address = AgentAt(static_cast<uint32_t>(holder));
  for (uint32_t i = 0; i < 4; ++i) {
    if (AgentAt(i) == address) continue;
    world.StartAgent(i);
    world.Report(i);
  }
  auto silent = std::move(world.agents[address]);
  world.agents.erase(address);
  world.Advance(3100);
  world.SpreadComplete();
  world.agents[address] = std::move(silent);
  world.Send(1, DataPacket(CallerAt(1)));
  world.Advance(100);
  cr_assert_eq(world.upstreams[address].data_packets, 1U);
  cr_assert_eq(world.Resets(), 0U);
}

// Fails where a balancer that has not heard of all agents takes a flow for
// lost.
Test(segment_path, a_flow_is_not_reset_by_an_incomplete_directory) {
  SegmentWorld world = MakeWorld(4);
  world.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(world.Resets(), 0U);
  world.SpreadComplete();
  world.now += Millis(5000);
  world.Send(1, DataPacket(CallerAt(1)));
  cr_assert_eq(world.Resets(), 0U, "the directory is five seconds old");
}

// Guards against fmn-aula-grown scale-1, where seeks failed that small
// balancers had no processor time to finish: each one took about forty
// messages.
Test(segment_path, a_flow_is_found_through_its_home) {
  SegmentWorld world = MakeWorld(40, 9);
  world.SpreadComplete();
  for (uint16_t port = 1; port <= 20; ++port) {
    world.Send(0, FirstPacket(CallerAt(port)));
    const int holder = world.HolderOf(CallerAt(port));
    const size_t before = world.upstreams[AgentAt(holder)].data_packets;
    world.agent_messages = 0;
    world.balancer_sent = 0;
    world.Send(1, DataPacket(CallerAt(port)));
    cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, before + 1);
    cr_assert_eq(world.balancer_sent, 1U);
    cr_assert_leq(world.agent_messages, 3U, "to home, to owner, and back");
  }
}

// Fails where a flow is lost when a new agent becomes its home.
Test(segment_path, a_new_home_finds_the_owner) {
  SegmentWorld world = MakeWorld(5, 2);
  world.SpreadComplete();
  for (uint16_t port = 1; port <= 20; ++port) {
    world.Send(0, FirstPacket(CallerAt(port)));
  }
  world.AddAgent(5);
  world.Report(5);
  world.SpreadComplete();
  for (uint16_t port = 1; port <= 20; ++port) {
    const int holder = world.HolderOf(CallerAt(port));
    const size_t before = world.upstreams[AgentAt(holder)].data_packets;
    world.balancer_sent = 0;
    world.Send(1, DataPacket(CallerAt(port)));
    cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, before + 1);
    cr_assert_eq(world.balancer_sent, 1U);
  }
}

// Fails where a home that names a former owner keeps a flow from being found,
// or has it reset.
Test(segment_path, a_home_with_a_former_owner_does_not_end_a_seek) {
  SegmentWorld world = MakeWorld(4, 2);
  world.SpreadComplete();
  world.Send(0, FirstPacket(CallerAt(1)));
  const int holder = world.HolderOf(CallerAt(1));
  world.balancers.erase(BalancerAt(0));
  for (uint32_t i = 0; i < 4; ++i) {
    SegmentMessage holds;
    holds.kind = SegmentMessageKind::kOwnerUpdate;
    holds.flow = {CallerAt(1), kListener};
    SegmentAgentOutput out;
    world.agents[AgentAt(i)]->OnPeer(
        world.now, AgentAt((static_cast<uint32_t>(holder) + 1) % 4),
        std::move(holds), &out);
  }
  world.Send(1, DataPacket(CallerAt(1)));
  world.Advance(100);
  cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, 1U);
  cr_assert_eq(world.Resets(), 0U);
}

// Guards against fmn-aula-grown trouble-1: after the loss of all power the
// balancers asked every agent for each open flow, ran out of processor time,
// and callers waited 11 s for the end of flows whose upstreams had gone.
Test(segment_path, a_balancer_sends_one_message_for_a_flow_that_is_gone) {
  SegmentWorld world = MakeWorld(40);
  world.SpreadComplete();
  world.balancer_sent = 0;
  world.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(world.Resets(), 1U);
  cr_assert_eq(world.balancer_sent, 1U);
}

// Fails where homes that have restarted, or do not answer, keep a flow from
// being found.
Test(segment_path, agents_are_asked_where_homes_do_not_know) {
  SegmentWorld world = MakeWorld(9, 3);
  world.SpreadComplete();
  world.Send(0, FirstPacket(CallerAt(1)));
  const int holder = world.HolderOf(CallerAt(1));
  for (uint32_t i = 0; i < 9; ++i) {
    if (static_cast<int>(i) == holder) continue;
    world.StartAgent(i);
    world.Report(i);
    if (i % 3 == 0) world.agents[AgentAt(i)].reset();
  }
  world.Send(1, DataPacket(CallerAt(1)));
  world.Advance(150);
  cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, 1U);
  cr_assert_eq(world.Resets(), 0U);
}

// Guards against fmn-aula-grown scale-1, where seeks among 56 agents took all
// the processor time of small balancers.
Test(segment_path, a_seek_among_many_agents_asks_the_candidates_of_the_flow) {
  SegmentWorld world = MakeWorld(40, 1);
  for (uint16_t port = 1; port <= 20; ++port) {
    world.Send(0, FirstPacket(CallerAt(port)));
  }
  world.AddBalancer(1);
  world.Spread();
  for (uint16_t port = 1; port <= 20; ++port) {
    const int holder = world.HolderOf(CallerAt(port));
    const size_t before = world.upstreams[AgentAt(holder)].data_packets;
    world.agent_messages = 0;
    world.Send(1, DataPacket(CallerAt(port)));
    cr_assert_eq(world.upstreams[AgentAt(holder)].data_packets, before + 1);
    cr_assert_leq(world.agent_messages, 12U);
  }
  // An agent outside the candidates is found by the repeated seek.
  world.upstreams[AgentAt(7)].flows.insert({CallerAt(99), kListener});
  world.StartAgent(7);
  world.Report(7);
  for (int i = 0; i < 4; ++i) {
    world.Send(1, DataPacket(CallerAt(99)));
    world.Advance(300);
  }
  cr_assert_geq(world.upstreams[AgentAt(7)].data_packets, 1U);
}

}  // namespace
}  // namespace cornelhill
