#include "cornelhill/daemon/agent_observer.h"

#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "cornelhill/daemon/inspect_agent.h"

namespace cornelhill {
namespace {

constexpr Endpoint kServiceAddress{0x7f000a01, 7001};
constexpr Endpoint kBalancer{0x7f000101, 6000};
constexpr Endpoint kAgent{0x7f000301, 6000};
constexpr Endpoint kSecond{0x7f000302, 6000};
constexpr const char* kPayload = "name=Maria";

FlowKey FlowOf(uint16_t port) {
  return {{0x7f006401, port}, kServiceAddress, Protocol::kUdp};
}

// An agent that is alone in its service, and what its process records.
class Process {
 public:
  Process()
      : agent({InstanceId(100), Incarnation(1), kAgent}),
        observer(this->io, this->settings),
        observed(this->agent, this->observer) {
    this->settings.instance = "agent-1";
    this->agent.SetLease(Millis(1000000));
    this->view.id = ServiceId(1);
    this->view.name = "aula";
    this->view.incarnation = Incarnation(1);
    this->view.revision = Revision(7);
    this->view.address = kServiceAddress;
    this->view.upstreams.push_back(
        {InstanceId(100), Incarnation(1), kAgent, FailureDomainId(), 2});
    this->SetView();
  }

  void SetView() {
    AgentOutput out;
    this->agent.SetView(this->now, this->view, &out);
    this->observed.OnView(this->now, this->view);
    this->observed.OnOutput(this->now, out);
  }

  void Send(const FlowKey& flow, uint64_t incarnation = 1) {
    Forward forward;
    forward.service = {this->view.id, this->view.incarnation,
                       this->view.revision};
    forward.target_incarnation = Incarnation(incarnation);
    forward.balancer = kBalancer;
    forward.packet.flow = flow;
    forward.packet.nonce = FlowNonce(flow.caller.port);
    forward.packet.request = RequestNumber(1);
    forward.packet.first = true;
    // Non-repeatable work without history may not take the reserved slot.
    forward.packet.repeatable = true;
    forward.payload = kPayload;
    AgentOutput out;
    this->agent.OnMessage(this->now, kBalancer, forward, &out);
    this->observed.OnOutput(this->now, out, flow);
  }

  void Answer(const FlowKey& flow) {
    AnswerInfo answer;
    answer.flow = flow;
    answer.nonce = FlowNonce(flow.caller.port);
    answer.request = RequestNumber(1);
    answer.last = true;
    AgentOutput out;
    this->agent.OnAnswer(this->now, answer, kPayload, &out);
    this->observed.OnOutput(this->now, out, flow);
  }

  std::string Names(const EventFilter& filter) const {
    std::string names;
    for (const Event& event :
         this->observer.Events().Read(filter, 1000).events) {
      names += std::string(InfoOf(event.kind).name) + " ";
    }
    return names;
  }

  Event Last(EventKind kind) const {
    Event last;
    for (const Event& event : this->observer.Events().Read({}, 1000).events) {
      if (event.kind == kind) last = event;
    }
    return last;
  }

  template <typename Reply>
  Reply Ask(const InspectMessage& query) const {
    return std::get<Reply>(
        *InspectAgent(this->agent, "agent-1", query, this->now, Millis(5000)));
  }

  Millis now = Millis(1000);
  ServiceView view;
  boost::asio::io_context io;
  Settings settings;
  Agent agent;
  ProcessObserver observer;
  AgentObserver observed;
};

void ExpectNames(const std::string& actual, const std::string& expected) {
  cr_assert_str_eq(actual.c_str(), expected.c_str());
}

// Guards against a step of a request that leaves no event, and against an event
// without the wait, the class or the revision that an explanation needs.
Test(agent_observer, records_the_life_of_a_request) {
  Process process;
  // Two requests hold both slots, so the third waits.
  for (const uint16_t port : {1, 2, 3}) process.Send(FlowOf(port));
  process.now += Millis(40);
  process.Answer(FlowOf(1));
  process.Answer(FlowOf(3));
  ExpectNames(process.Names({.flow = FlowOf(3)}),
              "flow_accepted request_queued request_dispatched "
              "request_finished ");
  const Event started = process.Last(EventKind::kRequestDispatched);
  cr_assert(started.flow == FlowOf(3));
  cr_assert(started.revision == Revision(7));
  cr_assert(started.upstream == InstanceId(100));
  const std::string detail(started.detail.Text());
  cr_assert_str_eq(detail.c_str(), "request=1 class=short waited_ms=40");

  // The stored answer is sent again.
  process.Send(FlowOf(3));
  cr_assert(process.Last(EventKind::kAnswerResent).flow == FlowOf(3));
}

// Guards against a caller's payload in an event.
Test(agent_observer, records_no_payload) {
  Process process;
  for (const uint16_t port : {1, 2, 3}) process.Send(FlowOf(port));
  process.Answer(FlowOf(1));
  for (const Event& event : process.observer.Events().Read({}, 1000).events) {
    cr_assert(event.detail.Text().find("Maria") == std::string_view::npos);
  }
}

// Guards against a flood of drops that overwrites the other events of the ring,
// and against a drop that is not counted.
Test(agent_observer, a_flood_of_drops_leaves_one_event_a_second) {
  Process process;
  for (int i = 0; i < 100; ++i) process.Send(FlowOf(9), /*incarnation=*/2);
  process.now += Millis(1000);
  process.Send(FlowOf(9), /*incarnation=*/2);
  ExpectNames(process.Names({.flow = FlowOf(9)}),
              "packet_dropped packet_dropped ");
  const std::string detail(
      process.Last(EventKind::kPacketDropped).detail.Text());
  cr_assert_str_eq(detail.c_str(),
                   "reason=unmatched cause=wrong_incarnation count=100");
}

// Guards against a view that is listed again although the agent ignores it.
Test(agent_observer, records_a_view_once) {
  Process process;
  process.SetView();
  ExpectNames(process.Names({}), "revision_applied ");
}

// Guards against a lost lease, a new incarnation or a drain that the timeline
// does not show, and against a lease event at the start of the process.
Test(agent_observer, records_lease_and_drain) {
  Process process;
  process.observed.OnLease(false);
  process.observed.OnLease(true);
  process.observed.OnLease(true);
  process.observed.OnLease(false);
  process.observed.OnIncarnation(Incarnation(1), Incarnation(2));
  process.observed.OnLease(true);
  process.view.revision = Revision(8);
  process.view.upstreams[0].draining = true;
  process.SetView();
  process.observed.OnDrain();
  process.observed.OnLeft();
  process.observed.OnLease(false);
  ExpectNames(process.Names({}),
              "revision_applied lease_expired incarnation_replaced "
              "lease_renewed revision_applied upstream_draining "
              "process_stopping upstream_left ");
}

// Guards against a quarantine that the timeline does not show.
Test(agent_observer, records_a_quarantine) {
  Process process;
  process.view.revision = Revision(8);
  process.view.upstreams.push_back(
      {InstanceId(101), Incarnation(1), kSecond, FailureDomainId(), 2});
  process.SetView();
  process.view.revision = Revision(9);
  process.view.upstreams.pop_back();
  process.view.lost.push_back({InstanceId(101), Incarnation(1)});
  process.SetView();
  process.now += kResendLifetime;
  process.observed.OnSecond(process.now);
  const Event started = process.Last(EventKind::kQuarantineStarted);
  cr_assert(started.revision == Revision(9));
  cr_assert(process.Last(EventKind::kQuarantineEnded).kind ==
            EventKind::kQuarantineEnded);
}

// Guards against pages that skip or repeat a flow, and a last page that claims
// more.
Test(inspect_agent, pages_hold_each_flow_once) {
  Process process;
  for (uint16_t port = 25; port > 0; --port) process.Send(FlowOf(port));
  for (const uint32_t limit : {1U, 4U, 5U, 25U, 1000U}) {
    FlowQuery query{1, std::nullopt, limit};
    uint16_t port = 0;
    bool more = true;
    while (more) {
      const auto reply = process.Ask<FlowReply>(query);
      cr_assert_leq(reply.flows.size(), limit);
      for (const InspectedFlow& flow : reply.flows) {
        cr_assert(flow.flow == FlowOf(++port));
        cr_assert(flow.balancer == kBalancer);
      }
      more = reply.more;
      if (more) query.after = reply.flows.back().flow;
    }
    cr_assert_eq(port, 25, "limit %u ends after flow %d", limit, port);
  }
}

// Guards against the state or the age of another flow.
Test(inspect_agent, shows_where_a_flow_stands) {
  Process process;
  for (const uint16_t port : {1, 2, 3}) process.Send(FlowOf(port));
  process.now += Millis(40);
  process.Answer(FlowOf(1));
  process.Send(FlowOf(4));
  const auto reply = process.Ask<FlowReply>(FlowQuery{});
  cr_assert_eq(reply.flows.size(), 4);
  cr_assert(reply.flows[0].state == InspectedState::kIdle);
  cr_assert(reply.flows[0].age == Millis(40));
  cr_assert(reply.flows[1].state == InspectedState::kRunning);
  cr_assert(reply.flows[3].state == InspectedState::kQueued);
  cr_assert(reply.flows[3].age == Millis(0));
}

// Guards against decisions on another flow, and an explanation that lacks the
// wait or the revision.
Test(inspect_agent, explains_the_decisions_on_a_flow) {
  Process process;
  for (const uint16_t port : {1, 2, 3}) process.Send(FlowOf(port));
  process.now += Millis(40);
  process.Answer(FlowOf(1));
  const auto reply = process.Ask<WhyReply>(WhyQuery{5, FlowOf(3)});
  cr_assert_eq(reply.query, 5);
  cr_assert_eq(reply.decisions.size(), 1);
  const ExplainedDecision& decision = reply.decisions[0];
  cr_assert(decision.waited == Millis(40));
  cr_assert(decision.decided == Millis(5000));
  cr_assert(decision.revision == Revision(7));
  cr_assert(decision.text.find("after waiting 40 ms") != std::string::npos);
  cr_assert(process.Ask<WhyReply>(WhyQuery{5, FlowOf(9)}).decisions.empty());
}

}  // namespace
}  // namespace cornelhill
