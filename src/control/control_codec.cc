#include "cornelhill/control/control_codec.h"

#include <utility>
#include <variant>

#include "control/control_proto.h"
#include "cornelhill/wire/data_codec.h"
#include "wire/overloaded.h"
#include "wire/parse_message.h"

namespace cornelhill {

namespace {

// The overloads below would otherwise hide those of control_proto.h.
using cornelhill::FromProto;
using cornelhill::ToProto;

template <typename Enum>
Result<Enum> EnumFromProto(uint32_t value, uint32_t count, const char* field) {
  if (value >= count) {
    return Malformed(std::string(field) + " " + std::to_string(value) +
                     " is unknown");
  }
  return static_cast<Enum>(value);
}

Result<void> CheckCount(int count, size_t limit, const char* field) {
  if (count > static_cast<int>(limit)) {
    return Malformed(std::to_string(count) + " " + field +
                     " exceed the limit of " + std::to_string(limit));
  }
  return boost::outcome_v2::success();
}

Result<Millis> DurationFromProto(uint64_t count, const char* field) {
  constexpr uint64_t kMaxDurationMs = uint64_t{1} << 40;
  if (count > kMaxDurationMs) {
    return Malformed(std::string(field) + " is out of range");
  }
  return Millis(static_cast<int64_t>(count));
}

void ToProto(const Renewal& in, pb::Renewal* out) {
  out->set_instance(in.instance.Value());
  out->set_incarnation(in.incarnation.Value());
  out->set_sequence(in.sequence);
  out->set_leaving(in.leaving);
}

Result<Renewal> FromProto(const pb::Renewal& in) {
  return Renewal{InstanceId(in.instance()), Incarnation(in.incarnation()),
                 in.sequence(), in.leaving()};
}

void ToProto(const RenewalAck& in, pb::RenewalAck* out) {
  out->set_instance(in.instance.Value());
  out->set_incarnation(in.incarnation.Value());
  out->set_sequence(in.sequence);
  out->set_status(static_cast<uint32_t>(in.status));
  out->set_known(in.known.Value());
}

Result<RenewalAck> FromProto(const pb::RenewalAck& in) {
  BOOST_OUTCOME_TRY(
      status, EnumFromProto<RenewalStatus>(in.status(), kRenewalStatusCount,
                                           "renewal status"));
  return RenewalAck{InstanceId(in.instance()), Incarnation(in.incarnation()),
                    in.sequence(), status, Incarnation(in.known())};
}

void ToProto(const DomainSummary& in, pb::DomainSummary* out) {
  out->set_failure_domain(in.failure_domain.Value());
  out->set_collector(in.collector.Value());
  out->set_epoch(in.epoch);
  out->set_number(in.number);
  out->set_base(in.base);
  out->set_roster_version(in.roster_version);
  for (const RosterEntry& entry : in.entries) {
    pb::RosterEntry* added = out->add_entries();
    added->set_slot(entry.slot);
    added->set_removed(entry.removed);
    if (!entry.removed) {
      ToProto(entry.announcement, added->mutable_announcement());
    }
  }
  out->set_renewed(in.renewed);
}

Result<DomainSummary> FromProto(const pb::DomainSummary& in) {
  BOOST_OUTCOME_TRY(
      CheckCount(in.entries_size(), kMaxSummaryEntries, "roster entries"));
  if (in.renewed().size() > kMaxRosterSlots / 8) {
    return Malformed("summary renews leases of more than " +
                     std::to_string(kMaxRosterSlots) + " slots");
  }
  DomainSummary out;
  out.failure_domain = FailureDomainId(in.failure_domain());
  out.collector = InstanceId(in.collector());
  out.epoch = in.epoch();
  out.number = in.number();
  out.base = in.base();
  out.roster_version = in.roster_version();
  for (const pb::RosterEntry& entry : in.entries()) {
    if (entry.slot() >= kMaxRosterSlots) {
      return Malformed("roster slot " + std::to_string(entry.slot()) +
                       " is not below " + std::to_string(kMaxRosterSlots));
    }
    RosterEntry decoded{entry.slot(), entry.removed(), {}};
    if (!decoded.removed) {
      BOOST_OUTCOME_TRY(announcement, FromProto(entry.announcement()));
      decoded.announcement = std::move(announcement);
    }
    out.entries.push_back(std::move(decoded));
  }
  out.renewed = in.renewed();
  return out;
}

void ToProto(const SummaryAck& in, pb::SummaryAck* out) {
  out->set_failure_domain(in.failure_domain.Value());
  out->set_collector(in.collector.Value());
  out->set_epoch(in.epoch);
  out->set_number(in.number);
  out->set_roster_version(in.roster_version);
  out->set_term(in.term);
  for (const RefusedLease& lease : in.refused) {
    pb::RefusedLease* refused = out->add_refused();
    refused->set_instance(lease.instance.Value());
    refused->set_incarnation(lease.incarnation.Value());
    refused->set_known(lease.known.Value());
  }
}

Result<SummaryAck> FromProto(const pb::SummaryAck& in) {
  BOOST_OUTCOME_TRY(
      CheckCount(in.refused_size(), kMaxRefusedLeases, "refused leases"));
  SummaryAck out;
  out.failure_domain = FailureDomainId(in.failure_domain());
  out.collector = InstanceId(in.collector());
  out.epoch = in.epoch();
  out.number = in.number();
  out.roster_version = in.roster_version();
  out.term = in.term();
  for (const pb::RefusedLease& lease : in.refused()) {
    out.refused.push_back({InstanceId(lease.instance()),
                           Incarnation(lease.incarnation()),
                           Incarnation(lease.known())});
  }
  return out;
}

void ToProto(const LossReport& in, pb::LossReport* out) {
  out->set_observer(in.observer.Value());
  out->set_instance(in.instance.Value());
  out->set_incarnation(in.incarnation.Value());
}

Result<LossReport> FromProto(const pb::LossReport& in) {
  return LossReport{InstanceId(in.observer()), InstanceId(in.instance()),
                    Incarnation(in.incarnation())};
}

void ToProto(const EffectReport& in, pb::EffectReport* out) {
  out->set_processes(in.processes);
  out->set_lowest_revision(in.lowest.Value());
  for (const Lagging& lagging : in.lagging) {
    pb::Lagging* added = out->add_lagging();
    added->set_instance(lagging.instance.Value());
    added->set_revision(lagging.revision.Value());
  }
}

Result<EffectReport> FromProto(const pb::EffectReport& in) {
  BOOST_OUTCOME_TRY(
      CheckCount(in.lagging_size(), kMaxLaggingProcesses, "lagging processes"));
  EffectReport out;
  out.processes = in.processes();
  out.lowest = Revision(in.lowest_revision());
  for (const pb::Lagging& lagging : in.lagging()) {
    out.lagging.push_back(
        {InstanceId(lagging.instance()), Revision(lagging.revision())});
  }
  return out;
}

void ToProto(const Subscription& in, pb::Subscription* out) {
  out->set_all(in.all);
  for (const std::string& name : in.names) out->add_names(name);
  for (const std::string& name : in.applications) out->add_applications(name);
}

Result<Subscription> FromProto(const pb::Subscription& in) {
  BOOST_OUTCOME_TRY(CheckCount(in.names_size(), kMaxServices, "service names"));
  BOOST_OUTCOME_TRY(
      CheckCount(in.applications_size(), kMaxServices, "applications"));
  Subscription out;
  out.all = in.all();
  for (const std::string& name : in.names()) {
    BOOST_OUTCOME_TRY(CheckLength(name, kMaxNameBytes, "service name"));
    if (!out.names.empty() && name <= out.names.back()) {
      return Malformed("subscription names are not sorted and unique");
    }
    out.names.push_back(name);
  }
  for (const std::string& name : in.applications()) {
    BOOST_OUTCOME_TRY(CheckLength(name, kMaxNameBytes, "application name"));
    if (!out.applications.empty() && name <= out.applications.back()) {
      return Malformed("subscription applications are not sorted and unique");
    }
    out.applications.push_back(name);
  }
  return out;
}

void ToProto(const SpreadDigest& in, pb::SpreadDigest* out) {
  out->set_sender(in.sender.Value());
  out->set_number(in.number);
  out->set_term(in.term);
  out->set_revision(in.revision.Value());
  out->set_hash(in.hash);
  out->set_subscription_hash(in.subscription_hash);
  if (in.has_subscription) {
    ToProto(in.subscription, out->mutable_subscription());
  }
  ToProto(in.report, out->mutable_report());
  out->set_want_whole(in.want_whole);
  out->set_uptime_ms(static_cast<uint64_t>(in.uptime.Count()));
}

Result<SpreadDigest> FromProto(const pb::SpreadDigest& in) {
  SpreadDigest out;
  out.sender = InstanceId(in.sender());
  out.number = in.number();
  out.term = in.term();
  out.revision = Revision(in.revision());
  out.hash = in.hash();
  out.subscription_hash = in.subscription_hash();
  out.has_subscription = in.has_subscription();
  if (out.has_subscription) {
    BOOST_OUTCOME_TRY(subscription, FromProto(in.subscription()));
    out.subscription = std::move(subscription);
  }
  BOOST_OUTCOME_TRY(report, FromProto(in.report()));
  out.report = std::move(report);
  out.want_whole = in.want_whole();
  BOOST_OUTCOME_TRY(uptime, DurationFromProto(in.uptime_ms(), "uptime"));
  out.uptime = uptime;
  return out;
}

void ToProto(const SpreadUpdate& in, pb::SpreadUpdate* out) {
  out->set_sender(in.sender.Value());
  out->set_number(in.number);
  out->set_status(static_cast<uint32_t>(in.status));
  out->set_term(in.term);
  out->set_revision(in.update.revision.Value());
  out->set_from_revision(in.update.from.Value());
  out->set_whole(in.update.whole);
  out->set_confirmed_age_ms(static_cast<uint64_t>(in.confirmed_age.Count()));
  out->set_hash(in.update.hash);
  out->set_subscription_hash(in.subscription_hash);
  for (const ServiceChange& change : in.update.services) {
    ToProto(change, out->add_services());
  }
}

Result<SpreadUpdate> FromProto(const pb::SpreadUpdate& in) {
  BOOST_OUTCOME_TRY(status,
                    EnumFromProto<SpreadStatus>(in.status(), kSpreadStatusCount,
                                                "distribution update status"));
  BOOST_OUTCOME_TRY(
      CheckCount(in.services_size(), kMaxServices, "service changes"));
  BOOST_OUTCOME_TRY(
      age, DurationFromProto(in.confirmed_age_ms(), "confirmation age"));
  SpreadUpdate out;
  out.sender = InstanceId(in.sender());
  out.number = in.number();
  out.status = status;
  out.term = in.term();
  out.confirmed_age = age;
  out.subscription_hash = in.subscription_hash();
  out.update.from = Revision(in.from_revision());
  out.update.revision = Revision(in.revision());
  out.update.whole = in.whole();
  out.update.hash = in.hash();
  for (const pb::ServiceChange& change : in.services()) {
    BOOST_OUTCOME_TRY(decoded, FromProto(change));
    out.update.services.push_back(std::move(decoded));
  }
  return out;
}

void ToProto(const OperatorRequest& in, pb::OperatorRequest* out) {
  out->set_request_id(in.request_id);
  out->set_operator_name(in.operator_name);
  out->set_kind(static_cast<uint32_t>(in.kind));
  out->set_service(in.service);
  out->set_instance(in.instance.Value());
  out->set_weight(in.weight);
  out->set_limit(in.limit);
  out->set_base_revision(in.base.Value());
  ToProto(in.declaration, out->mutable_declaration());
}

Result<OperatorRequest> FromProto(const pb::OperatorRequest& in) {
  BOOST_OUTCOME_TRY(
      CheckLength(in.request_id(), kMaxRequestIdBytes, "request id"));
  BOOST_OUTCOME_TRY(
      CheckLength(in.operator_name(), kMaxNameBytes, "operator name"));
  BOOST_OUTCOME_TRY(CheckLength(in.service(), kMaxNameBytes, "service name"));
  BOOST_OUTCOME_TRY(
      kind, EnumFromProto<OperatorRequestKind>(
                in.kind(), kOperatorRequestKindCount, "operator request kind"));
  OperatorRequest out;
  out.request_id = in.request_id();
  out.operator_name = in.operator_name();
  out.kind = kind;
  out.service = in.service();
  out.instance = InstanceId(in.instance());
  out.weight = in.weight();
  out.limit = in.limit();
  out.base = Revision(in.base_revision());
  BOOST_OUTCOME_TRY(declaration, FromProto(in.declaration()));
  out.declaration = std::move(declaration);
  return out;
}

void ToProto(const ServiceStatus& in, pb::ServiceStatus* out) {
  out->set_id(in.id.Value());
  out->set_incarnation(in.incarnation.Value());
  out->set_revision(in.revision.Value());
  out->set_name(in.name);
  ToProto(in.address, out->mutable_address());
  out->set_application(in.application);
  out->set_upstreams(in.upstreams);
  out->set_draining(in.draining);
  out->set_slots(in.slots);
}

Result<ServiceStatus> FromProto(const pb::ServiceStatus& in) {
  BOOST_OUTCOME_TRY(CheckLength(in.name(), kMaxNameBytes, "service name"));
  BOOST_OUTCOME_TRY(
      CheckLength(in.application(), kMaxNameBytes, "application name"));
  BOOST_OUTCOME_TRY(address, FromProto(in.address()));
  ServiceStatus out;
  out.id = ServiceId(in.id());
  out.incarnation = Incarnation(in.incarnation());
  out.revision = Revision(in.revision());
  out.name = in.name();
  out.address = address;
  out.application = in.application();
  out.upstreams = in.upstreams();
  out.draining = in.draining();
  out.slots = in.slots();
  return out;
}

void ToProto(const OperatorResponse& in, pb::OperatorResponse* out) {
  out->set_request_id(in.request_id);
  out->set_outcome(static_cast<uint32_t>(in.outcome));
  out->set_message(in.message);
  out->set_term(in.term);
  out->set_revision(in.revision.Value());
  ToProto(in.lost_to, out->mutable_lost_to());
  ToProto(in.leader, out->mutable_leader());
  out->set_declaration_revision(in.declaration_revision.Value());
  ToProto(in.declaration, out->mutable_declaration());
  for (const ServiceStatus& service : in.services) {
    ToProto(service, out->add_services());
  }
  for (const UpstreamInfo& upstream : in.upstreams) {
    ToProto(upstream, out->add_upstreams());
  }
  for (const HistoryEntry& entry : in.history) {
    ToProto(entry, out->add_history());
  }
  for (const MemberStatus& member : in.members) {
    pb::ControlMember* added = out->add_members();
    added->set_instance(member.instance.Value());
    ToProto(member.endpoint, added->mutable_endpoint());
    added->set_voter(member.voter);
    added->set_leader(member.leader);
  }
  ToProto(in.report, out->mutable_report());
}

Result<void> DecodeRepeatedFields(const pb::OperatorResponse& in,
                                  OperatorResponse* out) {
  BOOST_OUTCOME_TRY(CheckCount(in.services_size(), kMaxServices, "services"));
  BOOST_OUTCOME_TRY(
      CheckCount(in.history_size(), kMaxHistory, "history entries"));
  BOOST_OUTCOME_TRY(
      CheckCount(in.members_size(), kMaxControlMembers, "members"));
  for (const pb::ServiceStatus& service : in.services()) {
    BOOST_OUTCOME_TRY(decoded, FromProto(service));
    out->services.push_back(std::move(decoded));
  }
  for (const pb::Upstream& upstream : in.upstreams()) {
    BOOST_OUTCOME_TRY(decoded, FromProto(upstream));
    out->upstreams.push_back(decoded);
  }
  for (const pb::HistoryEntry& entry : in.history()) {
    BOOST_OUTCOME_TRY(decoded, FromProto(entry));
    out->history.push_back(std::move(decoded));
  }
  for (const pb::ControlMember& member : in.members()) {
    BOOST_OUTCOME_TRY(endpoint, FromProto(member.endpoint()));
    out->members.push_back({InstanceId(member.instance()), endpoint,
                            member.voter(), member.leader()});
  }
  return boost::outcome_v2::success();
}

Result<OperatorResponse> FromProto(const pb::OperatorResponse& in) {
  BOOST_OUTCOME_TRY(
      CheckLength(in.request_id(), kMaxRequestIdBytes, "request id"));
  BOOST_OUTCOME_TRY(
      CheckLength(in.message(), kMaxOperatorMessageBytes, "response message"));
  BOOST_OUTCOME_TRY(outcome, EnumFromProto<OperatorOutcome>(
                                 in.outcome(), kOperatorOutcomeCount,
                                 "operator response outcome"));
  OperatorResponse out;
  out.request_id = in.request_id();
  out.outcome = outcome;
  out.message = in.message();
  out.term = in.term();
  out.revision = Revision(in.revision());
  BOOST_OUTCOME_TRY(lost_to, FromProto(in.lost_to()));
  out.lost_to = std::move(lost_to);
  BOOST_OUTCOME_TRY(leader, FromProto(in.leader()));
  out.leader = leader;
  out.declaration_revision = Revision(in.declaration_revision());
  BOOST_OUTCOME_TRY(declaration, FromProto(in.declaration()));
  out.declaration = std::move(declaration);
  BOOST_OUTCOME_TRY(DecodeRepeatedFields(in, &out));
  BOOST_OUTCOME_TRY(report, FromProto(in.report()));
  out.report = std::move(report);
  return out;
}

template <typename Body>
Result<ControlMessage> DecodeBody(const Body& in) {
  BOOST_OUTCOME_TRY(body, FromProto(in));
  return ControlMessage(std::move(body));
}

}  // namespace

std::string Encode(const ControlMessage& message) {
  pb::ControlMessage out;
  out.set_version(kProtocolVersion);
  std::visit(
      Overloaded{
          [&out](const Announcement& body) {
            ToProto(body, out.mutable_announcement());
          },
          [&out](const Renewal& body) { ToProto(body, out.mutable_renewal()); },
          [&out](const RenewalAck& body) {
            ToProto(body, out.mutable_renewal_ack());
          },
          [&out](const DomainSummary& body) {
            ToProto(body, out.mutable_domain_summary());
          },
          [&out](const SummaryAck& body) {
            ToProto(body, out.mutable_summary_ack());
          },
          [&out](const LossReport& body) {
            ToProto(body, out.mutable_loss_report());
          },
          [&out](const SpreadDigest& body) {
            ToProto(body, out.mutable_spread_digest());
          },
          [&out](const SpreadUpdate& body) {
            ToProto(body, out.mutable_spread_update());
          },
          [&out](const OperatorRequest& body) {
            ToProto(body, out.mutable_operator_request());
          },
          [&out](const OperatorResponse& body) {
            ToProto(body, out.mutable_operator_response());
          },
          [&out](const ConsensusPacket& body) {
            out.mutable_consensus_packet()->set_message(body.message);
          },
          [&out](const JoinRequest& body) {
            pb::JoinRequest* join = out.mutable_join_request();
            join->set_name(body.name);
            ToProto(body.endpoint, join->mutable_endpoint());
            join->set_token(body.token);
          },
          [&out](const JoinReply& body) {
            out.mutable_join_reply()->set_token(body.token);
            out.mutable_join_reply()->set_member(body.member);
          }},
      message);
  return out.SerializeAsString();
}

Result<ControlMessage> DecodeControlMessage(std::string_view bytes) {
  pb::ControlMessage in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxControlMessageBytes, kProtocolVersion, &in));
  switch (in.body_case()) {
    case pb::ControlMessage::kAnnouncement:
      return DecodeBody(in.announcement());
    case pb::ControlMessage::kRenewal:
      return DecodeBody(in.renewal());
    case pb::ControlMessage::kRenewalAck:
      return DecodeBody(in.renewal_ack());
    case pb::ControlMessage::kDomainSummary:
      return DecodeBody(in.domain_summary());
    case pb::ControlMessage::kSummaryAck:
      return DecodeBody(in.summary_ack());
    case pb::ControlMessage::kLossReport:
      return DecodeBody(in.loss_report());
    case pb::ControlMessage::kSpreadDigest:
      return DecodeBody(in.spread_digest());
    case pb::ControlMessage::kSpreadUpdate:
      return DecodeBody(in.spread_update());
    case pb::ControlMessage::kOperatorRequest:
      return DecodeBody(in.operator_request());
    case pb::ControlMessage::kOperatorResponse:
      return DecodeBody(in.operator_response());
    case pb::ControlMessage::kConsensusPacket:
      return ControlMessage(ConsensusPacket{in.consensus_packet().message()});
    case pb::ControlMessage::kJoinRequest: {
      BOOST_OUTCOME_TRY(
          CheckLength(in.join_request().name(), kMaxNameBytes, "member name"));
      BOOST_OUTCOME_TRY(endpoint, FromProto(in.join_request().endpoint()));
      return ControlMessage(JoinRequest{in.join_request().name(), endpoint,
                                        in.join_request().token()});
    }
    case pb::ControlMessage::kJoinReply:
      return ControlMessage(
          JoinReply{in.join_reply().token(), in.join_reply().member()});
    case pb::ControlMessage::BODY_NOT_SET:
      break;
  }
  return Malformed("control message body is missing or of an unknown type");
}

}  // namespace cornelhill
