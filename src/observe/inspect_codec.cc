#include "cornelhill/observe/inspect_codec.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "cornelhill/observe/timeline_codec.h"
#include "cornelhill/turn/explain_decision.h"
#include "cornelhill/wire/data_codec.h"
#include "inspect.pb.h"
#include "wire/flow_proto.h"
#include "wire/parse_message.h"

namespace cornelhill {

namespace {

using cornelhill::FromProto;
using cornelhill::ToProto;

constexpr uint64_t kMaxMillis = std::numeric_limits<int64_t>::max();

Error Malformed(const std::string& what) {
  return Error{ErrorCode::kMalformed, what};
}

Error TooMany(const std::string& what, int have, size_t most) {
  return Error{ErrorCode::kTooLarge, "reply with " + std::to_string(have) +
                                         " " + what + " has more than " +
                                         std::to_string(most)};
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

bool IsProcessName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxProcessNameBytes &&
         IsPrintable(name);
}

Result<WorkClass> ReadWorkClass(uint32_t value) {
  if (value > static_cast<uint32_t>(WorkClass::kStraggler)) {
    return Malformed("work class " + std::to_string(value) + " is unknown");
  }
  return static_cast<WorkClass>(value);
}

void ToProto(const FlowQuery& in, pb::InspectMessage* message) {
  pb::FlowQuery* out = message->mutable_flow_query();
  out->set_query(in.query);
  if (in.after) ToProto(*in.after, out->mutable_after());
  out->set_limit(in.limit);
}

Result<InspectMessage> FromProto(const pb::FlowQuery& in) {
  FlowQuery out;
  out.query = in.query();
  if (in.has_after()) {
    BOOST_OUTCOME_TRY(after, FromProto(in.after()));
    out.after = after;
  }
  out.limit = std::min(in.limit(), kMaxFlowsPerPage);
  return InspectMessage(out);
}

void ToProto(const FlowReply& in, pb::InspectMessage* message) {
  pb::FlowReply* out = message->mutable_flow_reply();
  out->set_query(in.query);
  out->set_process(in.process.substr(0, kMaxProcessNameBytes));
  const size_t count = std::min<size_t>(in.flows.size(), kMaxFlowsPerPage);
  for (size_t i = 0; i < count; ++i) {
    const InspectedFlow& flow = in.flows[i];
    pb::InspectedFlow* entry = out->add_flows();
    ToProto(flow.flow, entry->mutable_flow());
    entry->set_nonce(flow.nonce.Value());
    entry->set_state(static_cast<uint32_t>(flow.state));
    entry->set_work_class(static_cast<uint32_t>(flow.work_class));
    ToProto(flow.balancer, entry->mutable_balancer());
    entry->set_age_ms(
        static_cast<uint64_t>(std::max<int64_t>(flow.age.Count(), 0)));
  }
  out->set_more(in.more || count < in.flows.size());
}

Result<InspectedFlow> FromProto(const pb::InspectedFlow& in) {
  if (in.state() > static_cast<uint32_t>(InspectedState::kRunning)) {
    return Malformed("flow state " + std::to_string(in.state()) +
                     " is unknown");
  }
  if (in.age_ms() > kMaxMillis) return Malformed("flow age is out of range");
  InspectedFlow out;
  BOOST_OUTCOME_TRY(flow, FromProto(in.flow()));
  BOOST_OUTCOME_TRY(balancer, FromProto(in.balancer()));
  BOOST_OUTCOME_TRY(work_class, ReadWorkClass(in.work_class()));
  out.flow = flow;
  out.nonce = FlowNonce(in.nonce());
  out.state = static_cast<InspectedState>(in.state());
  out.work_class = work_class;
  out.balancer = balancer;
  out.age = Millis(static_cast<int64_t>(in.age_ms()));
  return out;
}

Result<InspectMessage> FromProto(const pb::FlowReply& in) {
  if (!IsProcessName(in.process())) {
    return Malformed("reply has no valid process name");
  }
  if (in.flows_size() > static_cast<int>(kMaxFlowsPerPage)) {
    return TooMany("flows", in.flows_size(), kMaxFlowsPerPage);
  }
  FlowReply out;
  out.query = in.query();
  out.process = in.process();
  out.more = in.more();
  for (const pb::InspectedFlow& entry : in.flows()) {
    BOOST_OUTCOME_TRY(flow, FromProto(entry));
    out.flows.push_back(flow);
  }
  return InspectMessage(std::move(out));
}

void ToProto(const WhyQuery& in, pb::InspectMessage* message) {
  pb::WhyQuery* out = message->mutable_why_query();
  out->set_query(in.query);
  ToProto(in.flow, out->mutable_flow());
}

Result<InspectMessage> FromProto(const pb::WhyQuery& in) {
  BOOST_OUTCOME_TRY(flow, FromProto(in.flow()));
  return InspectMessage(WhyQuery{in.query(), flow});
}

void ToProto(const WhyReply& in, pb::InspectMessage* message) {
  pb::WhyReply* out = message->mutable_why_reply();
  out->set_query(in.query);
  out->set_process(in.process.substr(0, kMaxProcessNameBytes));
  const size_t skipped =
      in.decisions.size() -
      std::min<size_t>(in.decisions.size(), kMaxExplainedDecisions);
  for (size_t i = skipped; i < in.decisions.size(); ++i) {
    const ExplainedDecision& decision = in.decisions[i];
    pb::ExplainedDecision* entry = out->add_decisions();
    entry->set_nonce(decision.nonce.Value());
    entry->set_request(decision.request.Value());
    entry->set_decided_ms(
        static_cast<uint64_t>(std::max<int64_t>(decision.decided.Count(), 0)));
    entry->set_waited_ms(
        static_cast<uint64_t>(std::max<int64_t>(decision.waited.Count(), 0)));
    entry->set_outcome(static_cast<uint32_t>(decision.outcome));
    entry->set_work_class(static_cast<uint32_t>(decision.work_class));
    entry->set_revision(decision.revision.Value());
    entry->set_text(decision.text.substr(0, kMaxExplanationBytes));
  }
  out->set_truncated(in.truncated || skipped > 0);
}

Result<ExplainedDecision> FromProto(const pb::ExplainedDecision& in) {
  if (in.decided_ms() > kMaxMillis || in.waited_ms() > kMaxMillis) {
    return Malformed("decision has a time that is out of range");
  }
  if (in.outcome() > static_cast<uint32_t>(SchedulingOutcome::kShed)) {
    return Malformed("outcome " + std::to_string(in.outcome()) + " is unknown");
  }
  if (in.text().size() > kMaxExplanationBytes || !IsPrintable(in.text())) {
    return Malformed("decision has an explanation that is no short text");
  }
  BOOST_OUTCOME_TRY(work_class, ReadWorkClass(in.work_class()));
  ExplainedDecision out;
  out.nonce = FlowNonce(in.nonce());
  out.request = RequestNumber(in.request());
  out.decided = Millis(static_cast<int64_t>(in.decided_ms()));
  out.waited = Millis(static_cast<int64_t>(in.waited_ms()));
  out.outcome = static_cast<SchedulingOutcome>(in.outcome());
  out.work_class = work_class;
  out.revision = Revision(in.revision());
  out.text = in.text();
  return out;
}

Result<InspectMessage> FromProto(const pb::WhyReply& in) {
  if (!IsProcessName(in.process())) {
    return Malformed("reply has no valid process name");
  }
  if (in.decisions_size() > static_cast<int>(kMaxExplainedDecisions)) {
    return TooMany("decisions", in.decisions_size(), kMaxExplainedDecisions);
  }
  WhyReply out;
  out.query = in.query();
  out.process = in.process();
  out.truncated = in.truncated();
  for (const pb::ExplainedDecision& entry : in.decisions()) {
    BOOST_OUTCOME_TRY(decision, FromProto(entry));
    out.decisions.push_back(std::move(decision));
  }
  return InspectMessage(std::move(out));
}

}  // namespace

std::string_view ToString(InspectedState state) {
  switch (state) {
    case InspectedState::kIdle:
      return "idle";
    case InspectedState::kQueued:
      return "queued";
    case InspectedState::kRunning:
      return "running";
  }
  return "";
}

std::string_view ToString(SchedulingOutcome outcome) {
  switch (outcome) {
    case SchedulingOutcome::kStarted:
      return "started";
    case SchedulingOutcome::kRefused:
      return "refused";
    case SchedulingOutcome::kShed:
      return "shed";
  }
  return "";
}

ExplainedDecision Explain(const SchedulingDecision& decision, Millis to_wall) {
  ExplainedDecision explained;
  explained.nonce = decision.key.nonce;
  explained.request = decision.key.number;
  explained.decided = decision.decided + to_wall;
  explained.waited = decision.decided - decision.queued;
  explained.outcome = decision.outcome;
  explained.work_class = decision.work_class;
  explained.revision = decision.revision;
  explained.text = ExplainDecision(decision);
  return explained;
}

std::string Encode(const InspectMessage& message) {
  pb::InspectMessage out;
  out.set_version(kProtocolVersion);
  std::visit([&out](const auto& body) { ToProto(body, &out); }, message);
  return out.SerializeAsString();
}

Result<InspectMessage> DecodeInspectMessage(std::string_view bytes) {
  pb::InspectMessage in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxInspectBytes, kProtocolVersion, &in));
  switch (in.body_case()) {
    case pb::InspectMessage::kFlowQuery:
      return FromProto(in.flow_query());
    case pb::InspectMessage::kFlowReply:
      return FromProto(in.flow_reply());
    case pb::InspectMessage::kWhyQuery:
      return FromProto(in.why_query());
    case pb::InspectMessage::kWhyReply:
      return FromProto(in.why_reply());
    case pb::InspectMessage::BODY_NOT_SET:
      break;
  }
  return Malformed("message has no known body");
}

}  // namespace cornelhill
