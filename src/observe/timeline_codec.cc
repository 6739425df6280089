#include "cornelhill/observe/timeline_codec.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "cornelhill/wire/data_codec.h"
#include "timeline.pb.h"
#include "wire/flow_proto.h"
#include "wire/parse_message.h"

namespace cornelhill {

namespace {

using cornelhill::FromProto;
using cornelhill::ToProto;

Error Malformed(const std::string& what) {
  return Error{ErrorCode::kMalformed, what};
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

void ToProto(const EventQuery& in, pb::EventQuery* out) {
  out->set_query(in.query);
  const EventFilter& filter = in.filter;
  if (filter.flow) ToProto(*filter.flow, out->mutable_flow());
  if (filter.service) out->set_service_id(filter.service->Value());
  if (filter.upstream) out->set_upstream(filter.upstream->Value());
  if (filter.revision) out->set_revision(filter.revision->Value());
  if (filter.from) out->set_from_ms(filter.from->Count());
  if (filter.to) out->set_to_ms(filter.to->Count());
  out->set_limit(in.limit);
}

Result<EventQuery> FromProto(const pb::EventQuery& in) {
  constexpr uint64_t kMaxMillis = std::numeric_limits<int64_t>::max();
  if (in.from_ms() > kMaxMillis || in.to_ms() > kMaxMillis) {
    return Malformed("query has a time that is out of range");
  }
  EventQuery out;
  out.query = in.query();
  EventFilter& filter = out.filter;
  if (in.has_flow()) {
    BOOST_OUTCOME_TRY(flow, FromProto(in.flow()));
    filter.flow = flow;
  }
  if (in.has_service_id()) filter.service = ServiceId(in.service_id());
  if (in.has_upstream()) filter.upstream = InstanceId(in.upstream());
  if (in.has_revision()) filter.revision = Revision(in.revision());
  if (in.has_from_ms()) {
    filter.from = Millis(static_cast<int64_t>(in.from_ms()));
  }
  if (in.has_to_ms()) filter.to = Millis(static_cast<int64_t>(in.to_ms()));
  out.limit = std::min(in.limit(), kMaxTimelineEvents);
  return out;
}

void ToProto(const Event& in, pb::Event* out) {
  out->set_time(Pack(in.time));
  out->set_sequence(in.sequence);
  out->set_kind(static_cast<uint32_t>(in.kind));
  if (in.flow != FlowKey()) ToProto(in.flow, out->mutable_flow());
  out->set_nonce(in.nonce.Value());
  out->set_service_id(in.service.Value());
  out->set_upstream(in.upstream.Value());
  out->set_revision(in.revision.Value());
  out->set_detail(std::string(in.detail.Text()));
}

Result<Event> FromProto(const pb::Event& in) {
  if (!IsEventKind(in.kind())) {
    return Malformed("event has the unknown kind " + std::to_string(in.kind()));
  }
  Event out;
  out.time = UnpackHybridTime(in.time());
  out.sequence = in.sequence();
  out.kind = static_cast<EventKind>(in.kind());
  if (in.has_flow()) {
    BOOST_OUTCOME_TRY(flow, FromProto(in.flow()));
    out.flow = flow;
  }
  out.nonce = FlowNonce(in.nonce());
  out.service = ServiceId(in.service_id());
  out.upstream = InstanceId(in.upstream());
  out.revision = Revision(in.revision());
  const auto detail = EventDetail::FromWire(in.detail());
  if (!detail) return Malformed("event has a detail that is no short text");
  out.detail = *detail;
  return out;
}

void ToProto(const EventReply& in, pb::EventReply* out) {
  const std::vector<Event>& events = in.page.events;
  const size_t skipped =
      events.size() - std::min<size_t>(events.size(), kMaxTimelineEvents);
  out->set_query(in.query);
  out->set_process(in.process.substr(0, kMaxProcessNameBytes));
  for (size_t i = skipped; i < events.size(); ++i) {
    ToProto(events[i], out->add_events());
  }
  out->set_overwritten(in.page.overwritten);
  out->set_oldest(Pack(in.page.oldest));
  out->set_truncated(in.page.truncated || skipped > 0);
}

Result<EventReply> FromProto(const pb::EventReply& in) {
  if (in.process().empty() || in.process().size() > kMaxProcessNameBytes ||
      !IsPrintable(in.process())) {
    return Malformed("reply has no valid process name");
  }
  if (in.events_size() > static_cast<int>(kMaxTimelineEvents)) {
    return Error{ErrorCode::kTooLarge, "reply with " +
                                           std::to_string(in.events_size()) +
                                           " events has more than " +
                                           std::to_string(kMaxTimelineEvents)};
  }
  EventReply out;
  out.query = in.query();
  out.process = in.process();
  out.page.events.reserve(in.events_size());
  for (const pb::Event& in_event : in.events()) {
    BOOST_OUTCOME_TRY(event, FromProto(in_event));
    event.process = out.process;
    out.page.events.push_back(std::move(event));
  }
  out.page.overwritten = in.overwritten();
  out.page.oldest = UnpackHybridTime(in.oldest());
  out.page.truncated = in.truncated();
  return out;
}

}  // namespace

EventReply Answer(const EventQuery& query, const EventRing& ring) {
  EventReply reply;
  reply.query = query.query;
  reply.process = ring.Process();
  reply.page =
      ring.Read(query.filter, std::min(query.limit, kMaxTimelineEvents));
  return reply;
}

std::string Encode(const TimelineMessage& message) {
  pb::TimelineMessage out;
  out.set_version(kProtocolVersion);
  out.set_clock(Pack(message.clock));
  if (const auto* query = std::get_if<EventQuery>(&message.body)) {
    ToProto(*query, out.mutable_query());
  } else {
    ToProto(std::get<EventReply>(message.body), out.mutable_reply());
  }
  return out.SerializeAsString();
}

Result<TimelineMessage> DecodeTimelineMessage(std::string_view bytes) {
  pb::TimelineMessage in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxTimelineBytes, kProtocolVersion, &in));
  TimelineMessage out;
  out.clock = UnpackHybridTime(in.clock());
  switch (in.body_case()) {
    case pb::TimelineMessage::kQuery: {
      BOOST_OUTCOME_TRY(query, FromProto(in.query()));
      out.body = query;
      return out;
    }
    case pb::TimelineMessage::kReply: {
      BOOST_OUTCOME_TRY(reply, FromProto(in.reply()));
      out.body = std::move(reply);
      return out;
    }
    case pb::TimelineMessage::BODY_NOT_SET:
      break;
  }
  return Malformed("message has no known body");
}

}  // namespace cornelhill
