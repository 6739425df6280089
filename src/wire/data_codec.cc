#include "cornelhill/wire/data_codec.h"

#include <limits>
#include <utility>

#include "data.pb.h"
#include "wire/flow_proto.h"
#include "wire/parse_message.h"

namespace cornelhill {

namespace {

using cornelhill::FromProto;
using cornelhill::ToProto;

constexpr uint32_t kMaxHops = 255;

Error Malformed(const std::string& what) {
  return Error{ErrorCode::kMalformed, what};
}

void ToProto(const Refusal& refusal, pb::Refusal* out) {
  out->set_verdict(static_cast<uint32_t>(refusal.verdict));
  out->set_reason(static_cast<uint32_t>(refusal.reason));
  out->set_retry_after_ms(static_cast<uint32_t>(refusal.retry_after.Count()));
}

Result<Refusal> FromProto(const pb::Refusal& in) {
  if (in.verdict() > static_cast<uint32_t>(Verdict::kRan)) {
    return Malformed("refusal has an unknown verdict");
  }
  if (in.reason() > static_cast<uint32_t>(Reason::kNoLease)) {
    return Malformed("refusal has an unknown reason");
  }
  return Refusal{static_cast<Verdict>(in.verdict()),
                 static_cast<Reason>(in.reason()), Millis(in.retry_after_ms())};
}

void ToProto(const ServiceRef& in, pb::ServiceRef* out) {
  out->set_id(in.id.Value());
  out->set_incarnation(in.incarnation.Value());
  out->set_revision(in.revision.Value());
}

ServiceRef FromProto(const pb::ServiceRef& in) {
  return {ServiceId(in.id()), Incarnation(in.incarnation()),
          Revision(in.revision())};
}

void ToProto(const Forward& in, pb::Forward* out) {
  ToProto(in.service, out->mutable_service());
  ToProto(in.packet.flow, out->mutable_flow());
  out->set_nonce(in.packet.nonce.Value());
  out->set_request(in.packet.request.Value());
  out->set_first(in.packet.first);
  out->set_last(in.packet.last);
  out->set_reset(in.packet.reset);
  out->set_repeatable(in.packet.repeatable);
  out->set_cancel(in.packet.cancel);
  out->set_deadline_ms(static_cast<uint32_t>(in.packet.deadline.Count()));
  ToProto(in.balancer, out->mutable_balancer());
  out->set_hops(in.hops);
  out->set_route(static_cast<uint32_t>(in.route));
  out->set_load_milli(in.load_milli);
  out->set_class_hint(static_cast<uint32_t>(in.class_hint));
  out->set_target_incarnation(in.target_incarnation.Value());
  out->set_resent(in.packet.resent);
  out->set_sender_instance(in.sender.Value());
  out->set_sender_incarnation(in.sender_incarnation.Value());
  out->set_payload(in.payload);
}

Result<DataMessage> FromProto(pb::Forward* in) {
  if (in->route() >= kForwardRouteCount) {
    return Malformed("forward has an unknown route");
  }
  if (in->class_hint() >= kClassHintCount) {
    return Malformed("forward has an unknown class hint");
  }
  if (in->hops() > kMaxHops) return Malformed("forward has too many hops");
  Forward out;
  out.service = FromProto(in->service());
  BOOST_OUTCOME_TRY(flow, FromProto(in->flow()));
  out.packet.flow = flow;
  out.packet.nonce = FlowNonce(in->nonce());
  out.packet.request = RequestNumber(in->request());
  out.packet.first = in->first();
  out.packet.last = in->last();
  out.packet.reset = in->reset();
  out.packet.repeatable = in->repeatable();
  out.packet.cancel = in->cancel();
  out.packet.deadline = Millis(in->deadline_ms());
  BOOST_OUTCOME_TRY(balancer, FromProto(in->balancer()));
  out.balancer = balancer;
  out.hops = in->hops();
  out.route = static_cast<ForwardRoute>(in->route());
  out.load_milli = in->load_milli();
  out.class_hint = static_cast<ClassHint>(in->class_hint());
  out.target_incarnation = Incarnation(in->target_incarnation());
  out.packet.resent = in->resent();
  out.sender = InstanceId(in->sender_instance());
  out.sender_incarnation = Incarnation(in->sender_incarnation());
  out.payload = std::move(*in->mutable_payload());
  return DataMessage(std::move(out));
}

void ToProto(const Return& in, pb::Return* out) {
  ToProto(in.flow, out->mutable_flow());
  out->set_nonce(in.nonce.Value());
  out->set_request(in.request.Value());
  if (in.refused) ToProto(in.refusal, out->mutable_refusal());
  out->set_payload(in.payload);
}

Result<DataMessage> FromProto(pb::Return* in) {
  Return out;
  BOOST_OUTCOME_TRY(flow, FromProto(in->flow()));
  out.flow = flow;
  out.nonce = FlowNonce(in->nonce());
  out.request = RequestNumber(in->request());
  out.refused = in->has_refusal();
  if (out.refused) {
    BOOST_OUTCOME_TRY(refusal, FromProto(in->refusal()));
    out.refusal = refusal;
  }
  out.payload = std::move(*in->mutable_payload());
  return DataMessage(std::move(out));
}

void ToProto(const OwnerHint& in, pb::OwnerHint* out) {
  ToProto(in.flow, out->mutable_flow());
  out->set_nonce(in.nonce.Value());
  out->set_service_id(in.service.Value());
  out->set_owner_instance(in.owner_instance.Value());
  ToProto(in.owner, out->mutable_owner());
}

Result<DataMessage> FromProto(const pb::OwnerHint& in) {
  OwnerHint out;
  BOOST_OUTCOME_TRY(flow, FromProto(in.flow()));
  out.flow = flow;
  out.nonce = FlowNonce(in.nonce());
  out.service = ServiceId(in.service_id());
  out.owner_instance = InstanceId(in.owner_instance());
  BOOST_OUTCOME_TRY(owner, FromProto(in.owner()));
  out.owner = owner;
  return DataMessage(out);
}

void ToProto(const OwnerReport& in, pb::OwnerReport* out) {
  ToProto(in.flow, out->mutable_flow());
  out->set_nonce(in.nonce.Value());
  out->set_service_id(in.service.Value());
  out->set_closed(in.closed);
  out->set_owner_incarnation(in.owner_incarnation.Value());
}

Result<DataMessage> FromProto(const pb::OwnerReport& in) {
  OwnerReport out;
  BOOST_OUTCOME_TRY(flow, FromProto(in.flow()));
  out.flow = flow;
  out.nonce = FlowNonce(in.nonce());
  out.service = ServiceId(in.service_id());
  out.closed = in.closed();
  out.owner_incarnation = Incarnation(in.owner_incarnation());
  return DataMessage(out);
}

void ToProto(const DirectoryQuery& in, pb::DirectoryQuery* out) {
  ToProto(in.service, out->mutable_service());
  out->set_requester_instance(in.requester.Value());
  out->set_requester_incarnation(in.requester_incarnation.Value());
  std::string bits(kBucketCount / 8, '\0');
  for (size_t i = 0; i < kBucketCount; ++i) {
    if (in.buckets[i]) bits[i / 8] |= static_cast<char>(1U << (i % 8));
  }
  out->set_buckets(bits);
}

Result<DataMessage> FromProto(const pb::DirectoryQuery& in) {
  if (in.buckets().size() != kBucketCount / 8) {
    return Malformed("directory query has a bucket set of the wrong length");
  }
  DirectoryQuery out;
  out.service = FromProto(in.service());
  out.requester = InstanceId(in.requester_instance());
  out.requester_incarnation = Incarnation(in.requester_incarnation());
  for (size_t i = 0; i < kBucketCount; ++i) {
    const auto byte = static_cast<unsigned char>(in.buckets()[i / 8]);
    out.buckets[i] = ((byte >> (i % 8)) & 1U) != 0;
  }
  return DataMessage(out);
}

void ToProto(const DirectoryReply& in, pb::DirectoryReply* out) {
  ToProto(in.service, out->mutable_service());
  out->set_responder_instance(in.responder.Value());
  out->set_responder_incarnation(in.responder_incarnation.Value());
  out->set_page(in.page);
  out->set_page_count(in.page_count);
  for (const FlowLocation& entry : in.entries) {
    pb::DirectoryEntry* added = out->add_entries();
    ToProto(entry.flow, added->mutable_flow());
    added->set_nonce(entry.nonce.Value());
    added->set_owner_instance(entry.owner.Value());
    added->set_closed(entry.closed);
    added->set_owner_incarnation(entry.owner_incarnation.Value());
  }
}

Result<DataMessage> FromProto(const pb::DirectoryReply& in) {
  if (in.page_count() == 0 || in.page_count() > kMaxDirectoryPages ||
      in.page() >= in.page_count()) {
    return Malformed(
        "directory reply has an invalid page number or page count");
  }
  DirectoryReply out;
  out.service = FromProto(in.service());
  out.responder = InstanceId(in.responder_instance());
  out.responder_incarnation = Incarnation(in.responder_incarnation());
  out.page = in.page();
  out.page_count = in.page_count();
  for (const pb::DirectoryEntry& entry : in.entries()) {
    FlowLocation location;
    BOOST_OUTCOME_TRY(flow, FromProto(entry.flow()));
    location.flow = flow;
    location.nonce = FlowNonce(entry.nonce());
    location.owner = InstanceId(entry.owner_instance());
    location.closed = entry.closed();
    location.owner_incarnation = Incarnation(entry.owner_incarnation());
    out.entries.push_back(location);
  }
  return DataMessage(std::move(out));
}

}  // namespace

std::string Encode(const CallerDatagram& datagram) {
  pb::CallerDatagram out;
  out.set_version(kProtocolVersion);
  out.set_nonce(datagram.nonce.Value());
  out.set_request(datagram.request.Value());
  out.set_first(datagram.first);
  out.set_last(datagram.last);
  out.set_repeatable(datagram.repeatable);
  out.set_cancel(datagram.cancel);
  out.set_resent(datagram.resent);
  out.set_deadline_ms(static_cast<uint32_t>(datagram.deadline.Count()));
  if (datagram.refused) ToProto(datagram.refusal, out.mutable_refusal());
  out.set_payload(datagram.payload);
  return out.SerializeAsString();
}

std::string Encode(const Encapsulated& packet) {
  pb::Encapsulated out;
  out.set_version(kProtocolVersion);
  ToProto(packet.flow, out.mutable_flow());
  out.set_payload(packet.payload);
  return out.SerializeAsString();
}

std::string Encode(const DataMessage& message) {
  pb::DataMessage out;
  out.set_version(kProtocolVersion);
  struct Visitor {
    pb::DataMessage* out;
    void operator()(const Forward& body) const {
      ToProto(body, this->out->mutable_forward());
    }
    void operator()(const Return& body) const {
      ToProto(body, this->out->mutable_answer());
    }
    void operator()(const OwnerHint& body) const {
      ToProto(body, this->out->mutable_owner_hint());
    }
    void operator()(const OwnerReport& body) const {
      ToProto(body, this->out->mutable_owner_report());
    }
    void operator()(const DirectoryQuery& body) const {
      ToProto(body, this->out->mutable_directory_query());
    }
    void operator()(const DirectoryReply& body) const {
      ToProto(body, this->out->mutable_directory_reply());
    }
  };
  std::visit(Visitor{&out}, message);
  return out.SerializeAsString();
}

Result<CallerDatagram> DecodeCallerDatagram(std::string_view bytes) {
  pb::CallerDatagram in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxDatagramBytes, kProtocolVersion, &in));
  CallerDatagram out;
  out.nonce = FlowNonce(in.nonce());
  out.request = RequestNumber(in.request());
  out.first = in.first();
  out.last = in.last();
  out.repeatable = in.repeatable();
  out.cancel = in.cancel();
  out.resent = in.resent();
  out.deadline = Millis(in.deadline_ms());
  out.refused = in.has_refusal();
  if (out.refused) {
    BOOST_OUTCOME_TRY(refusal, FromProto(in.refusal()));
    out.refusal = refusal;
  }
  out.payload = std::move(*in.mutable_payload());
  return out;
}

Result<Encapsulated> DecodeEncapsulated(std::string_view bytes) {
  pb::Encapsulated in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxDatagramBytes, kProtocolVersion, &in));
  Encapsulated out;
  BOOST_OUTCOME_TRY(flow, FromProto(in.flow()));
  out.flow = flow;
  out.payload = std::move(*in.mutable_payload());
  return out;
}

Result<DataMessage> DecodeDataMessage(std::string_view bytes) {
  pb::DataMessage in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxDatagramBytes, kProtocolVersion, &in));
  switch (in.body_case()) {
    case pb::DataMessage::kForward:
      return FromProto(in.mutable_forward());
    case pb::DataMessage::kAnswer:
      return FromProto(in.mutable_answer());
    case pb::DataMessage::kOwnerHint:
      return FromProto(in.owner_hint());
    case pb::DataMessage::kOwnerReport:
      return FromProto(in.owner_report());
    case pb::DataMessage::kDirectoryQuery:
      return FromProto(in.directory_query());
    case pb::DataMessage::kDirectoryReply:
      return FromProto(in.directory_reply());
    case pb::DataMessage::BODY_NOT_SET:
      break;
  }
  return Malformed("message has no known body");
}

}  // namespace cornelhill
