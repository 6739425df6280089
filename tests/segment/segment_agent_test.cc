#include "cornelhill/segment/segment_agent.h"

#include <criterion/criterion.h>

#include "tests/segment/segment_test_network.h"

namespace cornelhill {
namespace {

constexpr Endpoint kUpstream{0x0a000200, 8080};
constexpr Endpoint kOtherUpstream{0x0a000201, 8080};

SegmentAgent MakeAgent() {
  SegmentAgentSettings settings;
  settings.address = AgentAt(0);
  settings.upstream = kUpstream;
  settings.service = "stream";
  settings.format = text_format::Format();
  return {std::move(settings), Millis(0)};
}

UpstreamReport MakeReport(uint64_t incarnation, uint64_t sequence,
                          UpstreamState state = UpstreamState::kReady) {
  return {"i-" + std::to_string(incarnation),
          kUpstream,
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
  cr_assert_eq(agent.OnReport(Millis(10), MakeReport(7, 1)),
               ReportVerdict::kAccepted);
  cr_assert_eq(
      agent.OnReport(Millis(20), MakeReport(7, 2, UpstreamState::kDraining)),
      ReportVerdict::kAccepted);
  cr_assert_eq(agent.OnReport(Millis(30), MakeReport(6, 90)),
               ReportVerdict::kEarlierStart);
  cr_assert_eq(agent.OnReport(Millis(30), MakeReport(7, 1)),
               ReportVerdict::kOutdated);
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kDraining);
  cr_assert_not(agent.OnLeave("i-6", std::nullopt));
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kDraining);
  cr_assert(agent.OnLeave("i-7", std::nullopt));
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kGone);
  cr_assert_eq(agent.OnReport(Millis(40), MakeReport(8, 1)),
               ReportVerdict::kAccepted);
  cr_assert_eq(agent.State(Millis(40)), UpstreamState::kReady);
}

// Guards against new flows at an upstream that has said that it drains: a
// report of another writer with a later start hid the upstream's own reports,
// which were acknowledged all the same.
Test(segment_agent, a_report_of_another_writer_does_not_hide_the_upstream) {
  SegmentAgent agent = MakeAgent();
  agent.OnReport(Millis(10), MakeReport(7, 4));
  UpstreamReport foreign = MakeReport(9, 1);
  foreign.address = kOtherUpstream;
  cr_assert_eq(agent.OnReport(Millis(20), foreign),
               ReportVerdict::kOtherAddress);
  foreign = MakeReport(9, 1);
  foreign.service = "intake";
  cr_assert_eq(agent.OnReport(Millis(20), foreign),
               ReportVerdict::kOtherService);
  foreign = MakeReport(7, 5);
  foreign.id = "i-odd";
  cr_assert_eq(agent.OnReport(Millis(20), foreign),
               ReportVerdict::kOtherUpstream);
  const ReportVerdict verdict =
      agent.OnReport(Millis(30), MakeReport(7, 5, UpstreamState::kDraining));
  cr_assert(IsInForce(verdict));
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kDraining);
}

// Fails if the agent acknowledges a report that it does not apply: the sender
// then relies on receiving no flows.
Test(segment_agent, a_report_that_changes_nothing_is_not_acknowledged) {
  SegmentAgent agent = MakeAgent();
  agent.OnReport(Millis(10), MakeReport(9, 1));
  const ReportVerdict verdict =
      agent.OnReport(Millis(20), MakeReport(7, 5, UpstreamState::kDraining));
  cr_assert_not(IsInForce(verdict));
  cr_assert_eq(agent.State(Millis(20)), UpstreamState::kReady);
}

// Fails if an upstream that drains gets new flows because a later ready report
// has overtaken the draining one, or because its reports are not numbered in
// order.
Test(segment_agent, a_late_draining_report_is_applied) {
  SegmentAgent agent = MakeAgent();
  agent.OnReport(Millis(10), MakeReport(7, 5));
  const ReportVerdict verdict =
      agent.OnReport(Millis(20), MakeReport(7, 4, UpstreamState::kDraining));
  cr_assert_eq(verdict, ReportVerdict::kAccepted);
  cr_assert_eq(agent.State(Millis(20)), UpstreamState::kDraining);
  agent.OnReport(Millis(30), MakeReport(7, 6));
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kDraining);
}

// Guards against an upstream that takes no flows until its next start: the
// departure of an earlier start under the same ID, which arrived late, was
// taken for its own.
Test(segment_agent, a_late_departure_of_an_earlier_start_does_not_stay) {
  SegmentAgent agent = MakeAgent();
  UpstreamReport report = MakeReport(9, 1);
  report.id = "i-7";
  agent.OnReport(Millis(10), report);
  cr_assert_not(agent.OnLeave("i-7", Incarnation(7)), "states its start");
  cr_assert_eq(agent.State(Millis(20)), UpstreamState::kReady);
  cr_assert(agent.OnLeave("i-7", std::nullopt));
  cr_assert(agent.OnLeave("i-7", std::nullopt), "a repeated departure");
  cr_assert_eq(agent.State(Millis(20)), UpstreamState::kDraining);
  agent.OnReport(Millis(30), report);
  cr_assert_eq(agent.State(Millis(30)), UpstreamState::kDraining,
               "a repeated report is no sign that it runs");
  report.sequence = 2;
  agent.OnReport(Millis(40), report);
  cr_assert_eq(agent.State(Millis(40)), UpstreamState::kReady);
  cr_assert(agent.OnLeave("i-7", std::nullopt));
  report.sequence = 1;
  report.state = UpstreamState::kDraining;
  agent.OnReport(Millis(50), report);
  report.sequence = 3;
  report.state = UpstreamState::kReady;
  agent.OnReport(Millis(60), report);
  cr_assert_eq(agent.State(Millis(60)), UpstreamState::kDraining,
               "a late report has announced the drain");
}

// Fails if a report that was delayed brings back an upstream that has drained
// and left.
Test(segment_agent, a_departure_after_a_drain_is_final) {
  SegmentAgent agent = MakeAgent();
  agent.OnReport(Millis(10), MakeReport(7, 1));
  agent.OnReport(Millis(20), MakeReport(7, 2, UpstreamState::kDraining));
  cr_assert(agent.OnLeave("i-7", std::nullopt));
  cr_assert(agent.OnLeave("i-7", std::nullopt), "a repeated departure");
  agent.OnReport(Millis(30), MakeReport(7, 3));
  agent.OnReport(Millis(40), MakeReport(7, 4, UpstreamState::kDraining));
  cr_assert_eq(agent.State(Millis(40)), UpstreamState::kGone);
}

// Guards against an upstream that is ignored until its next start: its clock
// stepped back before it started, or a start that is not its own was reported.
// A single late report of a crashed start must not revive that start.
Test(segment_agent, an_earlier_start_that_goes_on_replaces_a_silent_one) {
  SegmentAgent agent = MakeAgent();
  agent.OnReport(Millis(10), MakeReport(9, 1));
  for (uint64_t i = 1; i <= 4; ++i) {
    const Millis now(static_cast<int64_t>(i) * 1000);
    cr_assert_eq(agent.OnReport(now, MakeReport(7, i)),
                 ReportVerdict::kEarlierStart, "the known start was heard");
  }
  cr_assert_eq(agent.OnReport(Millis(4500), MakeReport(6, 90)),
               ReportVerdict::kEarlierStart, "a single report");
  cr_assert_eq(agent.State(Millis(4500)), UpstreamState::kUnknown);
  cr_assert_eq(agent.OnReport(Millis(5000), MakeReport(7, 5)),
               ReportVerdict::kEarlierStart);
  cr_assert_eq(agent.OnReport(Millis(5500), MakeReport(7, 5)),
               ReportVerdict::kEarlierStart, "a repeated report");
  cr_assert_eq(agent.OnReport(Millis(6000), MakeReport(7, 6)),
               ReportVerdict::kAccepted);
  cr_assert_eq(agent.State(Millis(6000)), UpstreamState::kReady);
}

// Fails if an upstream whose reports have stopped is offered new flows.
Test(segment_agent, a_silent_upstream_takes_no_new_flow) {
  SegmentAgent agent = MakeAgent();
  cr_assert_eq(agent.State(Millis(5)), UpstreamState::kUnknown);
  agent.OnReport(Millis(10), MakeReport(7, 1));
  cr_assert_eq(agent.State(Millis(4000)), UpstreamState::kReady);
  cr_assert_eq(agent.State(Millis(4100)), UpstreamState::kUnknown);
}

// Guards against an upstream that is ignored until its next start because a
// number far above its own, or another ID, was reported for its start.
Test(segment_agent, an_upstream_that_goes_on_replaces_a_silent_writer) {
  for (const bool other_id : {false, true}) {
    SegmentAgent agent = MakeAgent();
    UpstreamReport foreign = MakeReport(7, 1000000);
    if (other_id) foreign.id = "i-odd";
    agent.OnReport(Millis(10), foreign);
    cr_assert_neq(agent.OnReport(Millis(4000), MakeReport(7, 4)),
                  ReportVerdict::kAccepted);
    cr_assert_eq(agent.State(Millis(4500)), UpstreamState::kUnknown);
    cr_assert_eq(agent.OnReport(Millis(5000), MakeReport(7, 5)),
                 ReportVerdict::kAccepted);
    cr_assert_eq(agent.State(Millis(5000)), UpstreamState::kReady);
    agent.OnReport(Millis(6000), MakeReport(7, 6, UpstreamState::kDraining));
    cr_assert_eq(agent.State(Millis(6000)), UpstreamState::kDraining);
  }
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

// An agent whose process started as the eighth of all starts on its machine.
SegmentAgent MakeRestartedAgent() {
  SegmentAgentSettings settings;
  settings.incarnation = Incarnation(8);
  settings.address = AgentAt(0);
  settings.upstream = kUpstream;
  settings.service = "stream";
  settings.format = text_format::Format();
  return {std::move(settings), Millis(0)};
}

// Guards against resets of open flows after a restart of their agent within the
// first reporting period of an upstream that numbers its reports from 0: the
// report with number 1 was taken for the first of its start.
Test(segment_agent, flows_of_an_upstream_that_counts_from_zero_are_recovered) {
  for (const uint64_t first_heard : {0, 1}) {
    SegmentAgent agent = MakeRestartedAgent();
    agent.OnReport(Millis(1000), MakeReport(7, first_heard));
    cr_assert(ClaimsUnknownFlow(&agent, true, 60));
  }
}

// Guards against resets of open flows after a restart of their agent that first
// hears a late report of a crashed start: the next report, of the running
// start, ended the search for flows.
Test(segment_agent, a_late_report_after_a_restart_does_not_end_the_recovery) {
  SegmentAgent agent = MakeRestartedAgent();
  agent.OnReport(Millis(1000), MakeReport(6, 90));
  agent.OnReport(Millis(1100), MakeReport(7, 5));
  cr_assert(ClaimsUnknownFlow(&agent, true, 60));
}

// Fails if an agent searches for flows that cannot exist: its upstream started
// after it, so the agent has accepted each flow itself.
Test(segment_agent, a_start_after_the_agent_holds_no_unknown_flow) {
  SegmentAgent agent = MakeRestartedAgent();
  agent.OnReport(Millis(1000), MakeReport(9, 1));
  cr_assert_not(ClaimsUnknownFlow(&agent, true, 60));
  SegmentAgent restarted_upstream = MakeRestartedAgent();
  restarted_upstream.OnReport(Millis(1000), MakeReport(7, 50));
  restarted_upstream.OnReport(Millis(1100), MakeReport(9, 1));
  cr_assert_not(ClaimsUnknownFlow(&restarted_upstream, true, 60));
}

// Guards against resets of open flows of other upstreams: an agent that had
// claimed a flow under a late report of an earlier start took the packet that
// its upstream returned later for a flow of that start.
Test(segment_agent, a_claimed_flow_that_is_returned_is_handed_back) {
  SegmentAgent agent = MakeRestartedAgent();
  agent.OnReport(Millis(1000), MakeReport(6, 90));
  cr_assert(ClaimsUnknownFlow(&agent, true, 60));
  agent.OnReport(Millis(2100), MakeReport(7, 5));
  Segment returned = DataPacket(CallerAt(1));
  returned.returned = true;
  SegmentAgentOutput out;
  agent.OnUpstreamPacket(Millis(2200), text_format::Write(returned), &out);
  cr_assert(out.callers.empty(), "no reset");
  cr_assert_eq(out.peers.size(), 1U);
  cr_assert_eq(out.peers[0].message.kind, SegmentMessageKind::kNotHeld);
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
