#include <criterion/criterion.h>

#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "cornelhill/ctl/processes.h"
#include "tests/common/golden.h"

namespace cornelhill {
namespace {

constexpr Millis kNow(1'796'367'720'123);
constexpr FlowKey kFlow{{0x0a000005, 40001}, {0x0a00ff01, 443}, Protocol::kUdp};

// Returns what `print` prints as a table and then as JSON.
std::string InBothForms(const std::function<void(Invocation&)>& print) {
  std::string text;
  for (const OutputFormat format :
       {OutputFormat::kTable, OutputFormat::kJson}) {
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    Invocation invocation{{}, format, in, out, err};
    print(invocation);
    text += out.str();
    std::istringstream errors(err.str());
    for (std::string line; std::getline(errors, line);) {
      text += "! " + line + "\n";
    }
    text += "\n";
  }
  return text;
}

SchedulingDecision Waited() {
  SchedulingDecision decision;
  decision.key = {kFlow, FlowNonce(7), RequestNumber(3)};
  decision.caller = CallerId(1);
  decision.queued = Millis(1000);
  decision.decided = Millis(1041);
  decision.slots = 2;
  decision.reserved_slots = 1;
  decision.busy_when_queued = 2;
  decision.ahead_total = 2;
  decision.ahead_count = 2;
  decision.ahead[0] = {{}, CallerId(2), PrecedenceRule::kFairShare};
  decision.ahead[1] = {{kFlow, FlowNonce(7), RequestNumber(2)},
                       CallerId(1),
                       PrecedenceRule::kArrivedFirst};
  decision.revision = Revision(19);
  return decision;
}

SchedulingDecision Refused() {
  SchedulingDecision decision = Waited();
  decision.key.number = RequestNumber(4);
  decision.outcome = SchedulingOutcome::kRefused;
  decision.reason = Reason::kCallerLimit;
  decision.work_class = WorkClass::kLong;
  decision.decided = decision.queued;
  decision.ahead_total = 0;
  decision.ahead_count = 0;
  decision.retry_after = Millis(250);
  decision.revision = Revision(20);
  return decision;
}

// Guards against a rendering of `why` that loses the process, the revision or
// a sentence, and against decisions of several agents out of order.
Test(inspect, why_is_golden) {
  const Millis to_wall = kNow - Millis(1000);
  const std::vector<WhyReply> replies = {
      {1, "agent-2", {Explain(Waited(), to_wall)}, true},
      {1, "agent-1", {Explain(Refused(), to_wall)}, false},
      {1, "agent-3", {}, false}};
  ExpectGoldenFile("tests/ctl/why.golden",
                   InBothForms([&](Invocation& invocation) {
                     PrintDecisions(invocation, replies);
                   }));
}

// Guards against a column that is lost or mixed up with another.
Test(inspect, flows_are_golden) {
  FlowKey other = kFlow;
  other.caller.port = 9;
  other.protocol = Protocol::kTcp;
  const std::vector<FlowReply> replies = {{1,
                                           "agent-1",
                                           {{kFlow,
                                             FlowNonce(0xfedcba9876543210),
                                             InspectedState::kRunning,
                                             WorkClass::kShort,
                                             {0x7f000201, 6000},
                                             Millis(1234)},
                                            {other,
                                             FlowNonce(7),
                                             InspectedState::kIdle,
                                             WorkClass::kStraggler,
                                             {0x7f000202, 6000},
                                             Millis(60000)}},
                                           false},
                                          {1,
                                           "agent-2",
                                           {{other,
                                             FlowNonce(8),
                                             InspectedState::kQueued,
                                             WorkClass::kLong,
                                             {0x7f000202, 6000},
                                             Millis(2)}},
                                           false}};
  ExpectGoldenFile("tests/ctl/flows.golden",
                   InBothForms([&](Invocation& invocation) {
                     PrintFlows(invocation, replies);
                   }));
}

// Guards against a timeline that hides a process which did not answer, in any
// of its forms.
Test(inspect, timeline_is_golden) {
  Event accepted;
  accepted.time = {kNow, 0};
  accepted.sequence = 1;
  accepted.process = "agent-1";
  accepted.kind = EventKind::kFlowAccepted;
  accepted.flow = kFlow;
  accepted.nonce = FlowNonce(7);
  accepted.service = ServiceId(1);
  accepted.upstream = InstanceId(9);
  accepted.revision = Revision(19);
  Event dispatched = accepted;
  dispatched.time = {kNow + Millis(41), 2};
  dispatched.sequence = 2;
  dispatched.kind = EventKind::kRequestDispatched;
  dispatched.detail.Add("request", 3)
      .Add("class", "short")
      .Add("waited_ms", 41);
  EventReply reply{1, "agent-1", {}};
  reply.page.events = {accepted, dispatched};
  const Timeline timeline =
      MergeTimeline({}, {"agent-1", "balancer-1"}, {reply});
  ExpectGoldenFile("tests/ctl/timeline.golden",
                   InBothForms([&](Invocation& invocation) {
                     PrintTimeline(invocation, timeline);
                   }));
  ExpectGoldenFile("tests/ctl/timeline.golden.html", RenderHtml(timeline));
}

// Guards against a list that is read differently from a file than from the
// command line, and against a wrong entry that is skipped silently.
Test(inspect, parses_lists_of_processes) {
  const std::vector<ProcessAddress> expected = {
      {"agent-1", {0x7f000301, 7200}}, {"balancer-1", {0x7f000201, 7200}}};
  for (const char* text :
       {"agent-1=127.0.3.1:7200,balancer-1=127.0.2.1:7200",
        "# agents\nagent-1=127.0.3.1:7200\n\nbalancer-1=127.0.2.1:7200\r\n"}) {
    const auto read = ParseProcesses(text, "list");
    cr_assert(read.has_value(), "%s", text);
    cr_assert(read.value() == expected);
  }
  for (const char* text : {"", "agent-1", "=127.0.0.1:1", "agent-1=1:2",
                           "a=127.0.0.1:1,a=127.0.0.1:2"}) {
    const auto read = ParseProcesses(text, "list");
    cr_assert(read.has_error(), "%s", text);
    cr_assert(read.error().message.starts_with("list: "));
  }
}

// Guards against a process that did not answer and is not named.
Test(inspect, names_what_did_not_answer) {
  std::istringstream in;
  std::ostringstream out;
  std::ostringstream err;
  Invocation invocation{{}, OutputFormat::kTable, in, out, err};
  const std::vector<ProcessAddress> processes = {
      {"agent-1", {0x7f000301, 7200}}, {"agent-2", {0x7f000302, 7200}}};
  cr_assert(ReportUnanswered(invocation, processes, {"agent-2"}) ==
            ExitCode::kDone);
  const std::string text = err.str();
  cr_assert_str_eq(text.c_str(),
                   "cornelhillctl: agent-2 at 127.0.3.2:7200 did not answer "
                   "within 10000 ms\n");
  cr_assert(ReportUnanswered(invocation, processes, {"agent-1", "agent-2"}) ==
            ExitCode::kUnavailable);
}

}  // namespace
}  // namespace cornelhill
