#include "cornelhill/segment/segment_agent.h"

#include <criterion/criterion.h>

#include "tests/segment/segment_test_network.h"

namespace cornelhill {
namespace {

SegmentAgent MakeAgent() {
  SegmentAgentSettings settings;
  settings.address = AgentAt(0);
  settings.service = "stream";
  settings.format = text_format::Format();
  return {std::move(settings), Millis(0)};
}

UpstreamReport MakeReport(uint64_t incarnation, uint64_t sequence,
                          UpstreamState state = UpstreamState::kReady) {
  return {"i-" + std::to_string(incarnation),
          Incarnation(incarnation),
          sequence,
          "stream",
          state,
          2};
}

// Fails if a report that a network partition delayed revives an earlier
// incarnation.
Test(segment_agent, a_late_report_of_a_dead_incarnation_changes_nothing) {
  SegmentAgent agent = MakeAgent();
  cr_assert(agent.OnReport(Millis(10), MakeReport(7, 1)));
  cr_assert(
      agent.OnReport(Millis(20), MakeReport(7, 2, UpstreamState::kDraining)));
  cr_assert_not(agent.OnReport(Millis(30), MakeReport(6, 90)));
  cr_assert_not(agent.OnReport(Millis(30), MakeReport(7, 1)));
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kDraining);
  agent.OnLeave("i-6");
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kDraining);
  agent.OnLeave("i-7");
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kGone);
  cr_assert(agent.OnReport(Millis(40), MakeReport(8, 1)));
  cr_assert_eq(agent.State(Millis(40)), UpstreamState::kReady);
}

// Fails if an upstream whose reports have stopped is offered new flows.
Test(segment_agent, a_silent_upstream_takes_no_new_flow) {
  SegmentAgent agent = MakeAgent();
  cr_assert_eq(agent.State(Millis(5)), UpstreamState::kUnknown);
  agent.OnReport(Millis(10), MakeReport(7, 1));
  cr_assert_eq(agent.State(Millis(4000)), UpstreamState::kReady);
  cr_assert_eq(agent.State(Millis(4100)), UpstreamState::kUnknown);
}

// An agent that was restarted beside an upstream with flows.
SegmentAgent MakeRecoveringAgent() {
  SegmentAgent agent = MakeAgent();
  agent.OnReport(Millis(1000), MakeReport(7, 50));
  return agent;
}

// Asks the agent for a flow that it does not know, then lets `milliseconds`
// pass, with a packet of another flow from the upstream each 5 ms if it runs.
// Returns whether the agent claimed the flow.
bool ClaimsUnknownFlow(SegmentAgent* agent, bool upstream_runs,
                       int64_t milliseconds) {
  const Segment packet = DataPacket(CallerAt(1));
  SegmentMessage probe;
  probe.kind = SegmentMessageKind::kProbe;
  probe.datagram = text_format::Write(packet);
  probe.requester = BalancerAt(0);
  Segment other = DataPacket(CallerAt(2));
  std::swap(other.source, other.destination);
  const Millis start(2000);
  bool claimed = false;
  for (Millis now = start; now < start + Millis(milliseconds);
       now += Millis(5)) {
    SegmentAgentOutput out;
    if (upstream_runs) {
      agent->OnUpstreamPacket(now, text_format::Write(other), &out);
    }
    if (now == start + Millis(5)) {
      agent->OnPeerMessage(now, AgentAt(1), probe, &out);
    }
    agent->Tick(now, &out);
    for (const PeerMessage& send : out.peers) {
      if (send.message.kind == SegmentMessageKind::kOwnerFound &&
          send.message.flow.caller == CallerAt(1)) {
        claimed = true;
      }
    }
  }
  return claimed;
}

// Guards against resets of open flows of other upstreams: the agent beside a
// crashed upstream, which returns nothing, claimed each flow that was looked up
// and reset it once the upstream was back.
Test(segment_agent, a_silent_upstream_is_no_evidence_of_a_flow) {
  SegmentAgent agent = MakeRecoveringAgent();
  cr_assert_not(ClaimsUnknownFlow(&agent, false, 1000));
  cr_assert_eq(agent.OpenFlows(), 0U);
  cr_assert_not(agent.HasPendingWork(), "the check ends");
}

// Fails if flows are lost by a restart of their agent: a running upstream
// returns the packets of flows that it does not have.
Test(segment_agent, a_running_upstream_that_keeps_a_packet_has_its_flow) {
  SegmentAgent agent = MakeRecoveringAgent();
  cr_assert(ClaimsUnknownFlow(&agent, true, 60));
}

// Fails if a caller is left waiting after a restart of the upstream, or if a
// flow is reset although the upstream has not restarted.
Test(segment_agent, a_returned_flow_is_reset_only_after_a_new_start) {
  for (const bool restarted : {false, true}) {
    SegmentTestNetwork network;
    network.AddBalancer(0);
    network.AddAgent(0);
    network.Report(0);
    network.PublishUpdate();
    network.Send(0, FirstPacket(CallerAt(1)));
    network.Send(0, DataPacket(CallerAt(1)));
    network.upstreams[AgentAt(0)].flows.clear();
    if (restarted) {
      UpstreamReport report = network.ReportOf(0);
      report.incarnation = Incarnation(6);
      network.agents.at(AgentAt(0))->OnReport(network.now, report);
    }
    network.Send(0, DataPacket(CallerAt(1), 200));
    cr_assert_eq(network.Resets(), restarted ? 1U : 0U);
  }
}

// Fails if the reported load counts requests that have ended.
Test(segment_agent, load_counts_requests_in_flight) {
  SegmentTestNetwork network;
  network.AddBalancer(0);
  network.AddAgent(0);
  network.Report(0);
  network.PublishUpdate();
  network.Send(0, FirstPacket(CallerAt(1)));
  SegmentAgent& agent = *network.agents.at(AgentAt(0));
  cr_assert_eq(agent.Record(network.now).load_milli, 250U, "one opening flow");
  network.Send(0, DataPacket(CallerAt(1)));
  cr_assert_eq(agent.BusyFlows(), 0U, "the upstream has answered");
  network.upstreams[AgentAt(0)].silent = true;
  network.Send(0, DataPacket(CallerAt(1), 111));
  cr_assert_eq(agent.BusyFlows(), 1U);
  network.Send(0, DataPacket(CallerAt(1), 111));
  cr_assert_eq(agent.BusyFlows(), 1U, "a retransmission is no new request");
}

}  // namespace
}  // namespace cornelhill
