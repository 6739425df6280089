#include "control/control_proto.h"

#include <limits>
#include <utility>

#include "cornelhill/control/control_codec.h"

namespace cornelhill {

namespace {

Result<Protocol> ProtocolFromProto(uint32_t value) {
  if (value != static_cast<uint32_t>(Protocol::kTcp) &&
      value != static_cast<uint32_t>(Protocol::kUdp)) {
    return Malformed("service protocol " + std::to_string(value) +
                     " is neither TCP (6) nor UDP (17)");
  }
  return static_cast<Protocol>(value);
}

}  // namespace

Error Malformed(const std::string& reason) {
  return Error{ErrorCode::kMalformed, reason};
}

Result<void> CheckLength(const std::string& text, size_t limit,
                         const char* field) {
  if (text.size() > limit) {
    return Malformed(std::string(field) + " of " + std::to_string(text.size()) +
                     " bytes exceeds the limit of " + std::to_string(limit));
  }
  return boost::outcome_v2::success();
}

void ToProto(const SchedulingRules& in, pb::TurnRules* out) {
  out->set_short_quantum_ms(static_cast<uint32_t>(in.short_quantum.Count()));
  out->set_short_bytes(in.short_bytes);
  out->set_short_reserve_permille(in.short_reserve_permille);
  out->set_straggler_permille(in.straggler_permille);
  out->set_straggler_after_ms(
      static_cast<uint32_t>(in.straggler_after.Count()));
  out->set_max_wait_ms(static_cast<uint32_t>(in.max_wait.Count()));
  out->set_max_queued_per_caller(in.max_queued_per_caller);
  out->set_max_queued(in.max_queued);
  out->set_caller_rate(in.caller_rate);
  out->set_retry_permille(in.retry_permille);
}

Result<SchedulingRules> FromProto(const pb::TurnRules& in) {
  constexpr uint32_t kMaxPermille = 1000;
  if (in.short_reserve_permille() > kMaxPermille ||
      in.straggler_permille() > kMaxPermille) {
    return Malformed(
        "short_reserve_permille or straggler_permille is above 1000");
  }
  SchedulingRules out;
  out.short_quantum = Millis(in.short_quantum_ms());
  out.short_bytes = in.short_bytes();
  out.short_reserve_permille = in.short_reserve_permille();
  out.straggler_permille = in.straggler_permille();
  out.straggler_after = Millis(in.straggler_after_ms());
  out.max_wait = Millis(in.max_wait_ms());
  out.max_queued_per_caller = in.max_queued_per_caller();
  out.max_queued = in.max_queued();
  out.caller_rate = in.caller_rate();
  out.retry_permille = in.retry_permille();
  return out;
}

void ToProto(const ServiceDeclaration& in, pb::ServiceDeclaration* out) {
  out->set_name(in.name);
  ToProto(in.address, out->mutable_address());
  out->set_protocol(static_cast<uint32_t>(in.protocol));
  out->set_application(in.application);
  ToProto(in.rules, out->mutable_rules());
}

Result<ServiceDeclaration> FromProto(const pb::ServiceDeclaration& in) {
  BOOST_OUTCOME_TRY(CheckLength(in.name(), kMaxNameBytes, "service name"));
  BOOST_OUTCOME_TRY(
      CheckLength(in.application(), kMaxNameBytes, "application name"));
  BOOST_OUTCOME_TRY(address, FromProto(in.address()));
  BOOST_OUTCOME_TRY(protocol, ProtocolFromProto(in.protocol()));
  BOOST_OUTCOME_TRY(rules, FromProto(in.rules()));
  return ServiceDeclaration{in.name(), address, protocol, in.application(),
                            rules};
}

void ToProto(const Declaration& in, pb::Declaration* out) {
  for (const ServiceDeclaration& service : in.services) {
    ToProto(service, out->add_services());
  }
}

Result<Declaration> FromProto(const pb::Declaration& in) {
  if (in.services_size() > static_cast<int>(kMaxServices)) {
    return Malformed("declaration of " + std::to_string(in.services_size()) +
                     " services exceeds the limit of " +
                     std::to_string(kMaxServices));
  }
  Declaration out;
  for (const pb::ServiceDeclaration& service : in.services()) {
    BOOST_OUTCOME_TRY(decoded, FromProto(service));
    out.services.push_back(std::move(decoded));
  }
  return out;
}

void ToProto(const Announcement& in, pb::Announcement* out) {
  out->set_instance(in.instance.Value());
  out->set_incarnation(in.incarnation.Value());
  out->set_application(in.application);
  ToProto(in.agent, out->mutable_agent());
  out->set_failure_domain(in.failure_domain.Value());
  out->set_slots(in.slots);
  out->set_weight(in.weight);
  out->set_sequence(in.sequence);
}

Result<Announcement> FromProto(const pb::Announcement& in) {
  BOOST_OUTCOME_TRY(
      CheckLength(in.application(), kMaxNameBytes, "application name"));
  BOOST_OUTCOME_TRY(agent, FromProto(in.agent()));
  if (in.slots() > kMaxSlots || in.weight() > kMaxWeight) {
    return Malformed("announcement with " + std::to_string(in.slots()) +
                     " slots and weight " + std::to_string(in.weight()) +
                     " is above " + std::to_string(kMaxSlots) + " slots or " +
                     "weight " + std::to_string(kMaxWeight));
  }
  Announcement out;
  out.instance = InstanceId(in.instance());
  out.incarnation = Incarnation(in.incarnation());
  out.application = in.application();
  out.agent = agent;
  out.failure_domain = FailureDomainId(in.failure_domain());
  out.slots = in.slots();
  out.weight = in.weight();
  out.sequence = in.sequence();
  return out;
}

void ToProto(const ChangeRef& in, pb::ChangeRef* out) {
  out->set_revision(in.revision.Value());
  out->set_operator_name(in.operator_name);
  out->set_request_id(in.request_id);
}

Result<ChangeRef> FromProto(const pb::ChangeRef& in) {
  BOOST_OUTCOME_TRY(
      CheckLength(in.operator_name(), kMaxNameBytes, "operator name"));
  BOOST_OUTCOME_TRY(
      CheckLength(in.request_id(), kMaxRequestIdBytes, "request id"));
  return ChangeRef{Revision(in.revision()), in.operator_name(),
                   in.request_id()};
}

void ToProto(const CommandResponse& in, pb::CommandResponse* out) {
  out->set_outcome(static_cast<uint32_t>(in.outcome));
  out->set_revision(in.revision.Value());
  out->set_message(in.message);
  if (in.outcome == CommandOutcome::kConflict) {
    ToProto(in.lost_to, out->mutable_lost_to());
  }
}

Result<CommandResponse> FromProto(const pb::CommandResponse& in) {
  if (in.outcome() >= kCommandOutcomeCount) {
    return Malformed("command response outcome is unknown");
  }
  BOOST_OUTCOME_TRY(
      CheckLength(in.message(), kMaxOperatorMessageBytes, "response message"));
  BOOST_OUTCOME_TRY(lost_to, FromProto(in.lost_to()));
  return CommandResponse{static_cast<CommandOutcome>(in.outcome()),
                         Revision(in.revision()), in.message(), lost_to};
}

void ToProto(const UpstreamInfo& in, pb::Upstream* out) {
  out->set_instance(in.instance.Value());
  out->set_incarnation(in.incarnation.Value());
  ToProto(in.agent, out->mutable_agent());
  out->set_failure_domain(in.failure_domain.Value());
  out->set_slots(in.slots);
  out->set_weight(in.weight);
  out->set_draining(in.draining);
}

Result<UpstreamInfo> FromProto(const pb::Upstream& in) {
  BOOST_OUTCOME_TRY(agent, FromProto(in.agent()));
  if (in.slots() > kMaxSlots || in.weight() > kMaxWeight) {
    return Malformed("upstream slots or weight exceed the limit");
  }
  UpstreamInfo out;
  out.instance = InstanceId(in.instance());
  out.incarnation = Incarnation(in.incarnation());
  out.agent = agent;
  out.failure_domain = FailureDomainId(in.failure_domain());
  out.slots = in.slots();
  out.weight = in.weight();
  out.draining = in.draining();
  return out;
}

void ToProto(const ServiceChange& in, pb::ServiceChange* out) {
  out->set_id(in.id.Value());
  out->set_incarnation(in.incarnation.Value());
  out->set_revision(in.revision.Value());
  out->set_whole(in.whole);
  out->set_removed(in.removed);
  out->set_has_header(in.has_header);
  if (in.has_header) {
    out->set_header_revision(in.header.revision.Value());
    out->set_name(in.header.name);
    ToProto(in.header.address, out->mutable_address());
    ToProto(in.header.rules, out->mutable_rules());
    out->set_application(in.header.application);
    out->set_application_revision(in.header.application_revision.Value());
    for (const LostUpstream& lost : in.header.lost) {
      pb::LostUpstream* added = out->add_lost();
      added->set_instance(lost.instance.Value());
      added->set_incarnation(lost.incarnation.Value());
    }
  }
  for (const UpstreamChange& change : in.upstreams) {
    pb::Upstream* upstream = out->add_upstreams();
    ToProto(change.upstream, upstream);
    upstream->set_changed(change.revision.Value());
  }
  for (const UpstreamRemoval& removal : in.removals) {
    pb::RemovedUpstream* removed = out->add_removals();
    removed->set_instance(removal.instance.Value());
    removed->set_revision(removal.revision.Value());
  }
}

Result<ServiceChange> FromProto(const pb::ServiceChange& in) {
  if (in.upstreams_size() > static_cast<int>(kMaxUpstreamsPerService) ||
      in.removals_size() > static_cast<int>(kMaxUpstreamsPerService) ||
      in.lost_size() > static_cast<int>(kMaxUpstreamsPerService)) {
    return Malformed("service change has more than " +
                     std::to_string(kMaxUpstreamsPerService) + " upstreams");
  }
  ServiceChange out;
  out.id = ServiceId(in.id());
  out.incarnation = Incarnation(in.incarnation());
  out.revision = Revision(in.revision());
  out.whole = in.whole();
  out.removed = in.removed();
  out.has_header = in.has_header();
  if (out.whole && !out.has_header) {
    return Malformed("full service change has no header");
  }
  if (out.has_header) {
    BOOST_OUTCOME_TRY(CheckLength(in.name(), kMaxNameBytes, "service name"));
    BOOST_OUTCOME_TRY(
        CheckLength(in.application(), kMaxNameBytes, "application name"));
    BOOST_OUTCOME_TRY(address, FromProto(in.address()));
    BOOST_OUTCOME_TRY(rules, FromProto(in.rules()));
    out.header = {Revision(in.header_revision()),
                  in.name(),
                  address,
                  rules,
                  in.application(),
                  {},
                  Revision(in.application_revision())};
    for (const pb::LostUpstream& lost : in.lost()) {
      out.header.lost.push_back(
          {InstanceId(lost.instance()), Incarnation(lost.incarnation())});
    }
  }
  for (const pb::Upstream& upstream : in.upstreams()) {
    BOOST_OUTCOME_TRY(decoded, FromProto(upstream));
    out.upstreams.push_back({decoded, Revision(upstream.changed())});
  }
  for (const pb::RemovedUpstream& removal : in.removals()) {
    out.removals.push_back(
        {InstanceId(removal.instance()), Revision(removal.revision())});
  }
  return out;
}

void ToProto(const HistoryEntry& in, pb::HistoryEntry* out) {
  ToProto(in.change, out->mutable_change());
  out->set_summary(in.summary);
}

Result<HistoryEntry> FromProto(const pb::HistoryEntry& in) {
  BOOST_OUTCOME_TRY(
      CheckLength(in.summary(), kMaxOperatorMessageBytes, "history summary"));
  BOOST_OUTCOME_TRY(change, FromProto(in.change()));
  return HistoryEntry{change, in.summary()};
}

}  // namespace cornelhill
