// Codec for the commands in the replicated log.

#include <utility>
#include <variant>

#include "control/control_proto.h"
#include "cornelhill/control/control_codec.h"
#include "cornelhill/wire/data_codec.h"
#include "wire/overloaded.h"
#include "wire/parse_message.h"

namespace cornelhill {

namespace {

Result<Command> DecodeBody(const pb::Command& in) {
  switch (in.body_case()) {
    case pb::Command::kPutDeclaration: {
      BOOST_OUTCOME_TRY(declaration,
                        FromProto(in.put_declaration().declaration()));
      return Command{
          {},
          {},
          PutDeclaration{Revision(in.put_declaration().base_revision()),
                         std::move(declaration)}};
    }
    case pb::Command::kUpstreamJoin: {
      BOOST_OUTCOME_TRY(announcement, FromProto(in.upstream_join()));
      return Command{{}, {}, UpstreamJoin{std::move(announcement)}};
    }
    case pb::Command::kUpstreamLeave:
      return Command{
          {},
          {},
          UpstreamLeave{InstanceId(in.upstream_leave().instance()),
                        Incarnation(in.upstream_leave().incarnation()),
                        in.upstream_leave().lost()}};
    case pb::Command::kForgetLost:
      return Command{{},
                     {},
                     ForgetLost{InstanceId(in.forget_lost().instance()),
                                Incarnation(in.forget_lost().incarnation())}};
    case pb::Command::kUpstreamDrain:
      return Command{{},
                     {},
                     UpstreamDrain{InstanceId(in.upstream_drain().instance()),
                                   in.upstream_drain().draining()}};
    case pb::Command::kUpstreamWeight:
      if (in.upstream_weight().weight() > kMaxWeight) {
        return Malformed("weight is above " + std::to_string(kMaxWeight));
      }
      return Command{{},
                     {},
                     UpstreamWeight{InstanceId(in.upstream_weight().instance()),
                                    in.upstream_weight().weight()}};
    case pb::Command::kPutListeners: {
      BOOST_OUTCOME_TRY(CheckLength(in.put_listeners().document(),
                                    kMaxListenerDocumentBytes,
                                    "listener document"));
      return Command{{},
                     {},
                     PutListeners{in.put_listeners().version(),
                                  in.put_listeners().document()}};
    }
    case pb::Command::BODY_NOT_SET:
      break;
  }
  return Malformed("command body is missing or of an unknown type");
}

}  // namespace

std::string Encode(const Command& command) {
  pb::Command out;
  out.set_version(kProtocolVersion);
  out.set_request_id(command.request_id);
  out.set_operator_name(command.operator_name);
  std::visit(
      Overloaded{
          [&out](const PutDeclaration& body) {
            out.mutable_put_declaration()->set_base_revision(body.base.Value());
            ToProto(body.declaration,
                    out.mutable_put_declaration()->mutable_declaration());
          },
          [&out](const UpstreamJoin& body) {
            ToProto(body.announcement, out.mutable_upstream_join());
          },
          [&out](const UpstreamLeave& body) {
            out.mutable_upstream_leave()->set_instance(body.instance.Value());
            out.mutable_upstream_leave()->set_incarnation(
                body.incarnation.Value());
            out.mutable_upstream_leave()->set_lost(body.lost);
          },
          [&out](const ForgetLost& body) {
            out.mutable_forget_lost()->set_instance(body.instance.Value());
            out.mutable_forget_lost()->set_incarnation(
                body.incarnation.Value());
          },
          [&out](const UpstreamDrain& body) {
            out.mutable_upstream_drain()->set_instance(body.instance.Value());
            out.mutable_upstream_drain()->set_draining(body.draining);
          },
          [&out](const UpstreamWeight& body) {
            out.mutable_upstream_weight()->set_instance(body.instance.Value());
            out.mutable_upstream_weight()->set_weight(body.weight);
          },
          [&out](const PutListeners& body) {
            out.mutable_put_listeners()->set_version(body.version);
            out.mutable_put_listeners()->set_document(body.document);
          }},
      command.body);
  return out.SerializeAsString();
}

Result<Command> DecodeCommand(std::string_view bytes) {
  pb::Command in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxCommandBytes, kProtocolVersion, &in));
  BOOST_OUTCOME_TRY(
      CheckLength(in.request_id(), kMaxRequestIdBytes, "request id"));
  BOOST_OUTCOME_TRY(
      CheckLength(in.operator_name(), kMaxNameBytes, "operator name"));
  BOOST_OUTCOME_TRY(out, DecodeBody(in));
  out.request_id = in.request_id();
  out.operator_name = in.operator_name();
  return out;
}

}  // namespace cornelhill
