#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/observe/inspect_codec.h"
#include "cornelhill/observe/timeline_codec.h"

namespace cornelhill {
namespace {

constexpr FlowKey kFlow{{0x0a000005, 40001}, {0x0a00ff01, 443}, Protocol::kTcp};

InspectedFlow SampleFlow() {
  return {kFlow,
          FlowNonce(0xfedcba9876543210),
          InspectedState::kRunning,
          WorkClass::kStraggler,
          {0x7f000201, 6000},
          Millis(1234)};
}

ExplainedDecision SampleDecision() {
  return {FlowNonce(7), RequestNumber(3),         Millis(1796367720123),
          Millis(41),   SchedulingOutcome::kShed, WorkClass::kLong,
          Revision(19), "Request 3 was shed."};
}

std::vector<InspectMessage> Samples() {
  return {FlowQuery{5, std::nullopt, 10}, FlowQuery{5, kFlow, 1000},
          FlowReply{5, "agent-1", {SampleFlow(), SampleFlow()}, true},
          WhyQuery{6, kFlow},
          WhyReply{6, "agent-1", {SampleDecision(), SampleDecision()}, true}};
}

// Guards against a field that is encoded but not decoded.
Test(inspect_codec, messages_read_back) {
  for (const InspectMessage& message : Samples()) {
    const auto read = DecodeInspectMessage(Encode(message));
    cr_assert(read.has_value());
    cr_assert(read.value() == message);
  }
}

// Guards against a query for flows being taken for a query for events: both
// arrive at one socket.
Test(inspect_codec, is_told_apart_from_timeline_messages) {
  for (const InspectMessage& message : Samples()) {
    cr_assert(DecodeTimelineMessage(Encode(message)).has_error());
  }
  const TimelineMessage timeline{{Millis(1), 0}, EventQuery{}};
  cr_assert(DecodeInspectMessage(Encode(timeline)).has_error());
}

// Guards against a full reply that its receiver refuses as too large, and
// against a reply that hides what it left out.
Test(inspect_codec, full_replies_are_within_the_limits) {
  FlowReply flows{5, std::string(kMaxProcessNameBytes, 'x'), {}, false};
  InspectedFlow flow = SampleFlow();
  flow.flow = {
      {UINT32_MAX, UINT16_MAX}, {UINT32_MAX, UINT16_MAX}, Protocol::kUdp};
  flow.age = Millis(INT64_MAX);
  flows.flows.assign(kMaxFlowsPerPage + 1, flow);
  const auto read_flows = DecodeInspectMessage(Encode(InspectMessage(flows)));
  cr_assert(read_flows.has_value());
  const auto& page = std::get<FlowReply>(read_flows.value());
  cr_assert_eq(page.flows.size(), kMaxFlowsPerPage);
  cr_assert(page.more);

  WhyReply why{5, std::string(kMaxProcessNameBytes, 'x'), {}, false};
  ExplainedDecision decision = SampleDecision();
  decision.text = std::string(kMaxExplanationBytes + 1, 'x');
  why.decisions.assign(kMaxExplainedDecisions, decision);
  why.decisions.push_back(SampleDecision());
  const auto read_why = DecodeInspectMessage(Encode(InspectMessage(why)));
  cr_assert(read_why.has_value());
  const auto& reply = std::get<WhyReply>(read_why.value());
  cr_assert_eq(reply.decisions.size(), kMaxExplainedDecisions);
  cr_assert(reply.truncated);
  cr_assert(reply.decisions.back() == SampleDecision());

  const auto large =
      DecodeInspectMessage(std::string(kMaxInspectBytes + 1, 'x'));
  cr_assert(large.error().code == ErrorCode::kTooLarge);
  cr_assert(DecodeInspectMessage("").error().code ==
            ErrorCode::kUnsupportedVersion);
}

// Guards against a crash or an over-read on hostile input, and against text
// that would control the operator's terminal. Run under the sanitizers in CI.
Test(inspect_codec, survives_random_and_mutated_bytes) {
  constexpr uint64_t kSeed = 20261204;
  cr_log_info("seed %llu", static_cast<unsigned long long>(kSeed));
  Random random(kSeed);
  std::vector<std::string> valid;
  for (const InspectMessage& message : Samples()) {
    valid.push_back(Encode(message));
  }
  int decoded = 0;
  for (int round = 0; round < 40000; ++round) {
    std::string bytes = valid[random.Below(valid.size())];
    if (round % 4 == 0) {
      bytes.resize(random.Below(200));
      for (char& c : bytes) c = static_cast<char>(random.Next());
    } else {
      const uint64_t changes = 1 + random.Below(4);
      for (uint64_t i = 0; i < changes; ++i) {
        bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
      }
    }
    const auto read = DecodeInspectMessage(bytes);
    if (read.has_error()) continue;
    ++decoded;
    const auto* why = std::get_if<WhyReply>(&read.value());
    if (why == nullptr) continue;
    for (const ExplainedDecision& decision : why->decisions) {
      for (const char c : decision.text) cr_assert(c >= ' ' && c <= '~');
    }
    // What was decoded can be encoded and read again.
    cr_assert(DecodeInspectMessage(Encode(read.value())).has_value());
  }
  cr_assert_gt(decoded, 1000);
}

// Guards against an explanation without the configuration revision or with a
// time of the wrong clock.
Test(inspect_codec, explains_a_decision) {
  SchedulingDecision decision;
  decision.key = {kFlow, FlowNonce(7), RequestNumber(3)};
  decision.queued = Millis(100);
  decision.decided = Millis(141);
  decision.revision = Revision(19);
  const ExplainedDecision explained = Explain(decision, Millis(1000000));
  cr_assert(explained.decided == Millis(1000141));
  cr_assert(explained.waited == Millis(41));
  cr_assert(explained.text.find("configuration revision 19") !=
            std::string::npos);
}

}  // namespace
}  // namespace cornelhill
