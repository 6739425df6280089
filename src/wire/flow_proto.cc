#include "wire/flow_proto.h"

#include <limits>

namespace cornelhill {

void ToProto(const Endpoint& endpoint, pb::Endpoint* out) {
  out->set_address(endpoint.address);
  out->set_port(endpoint.port);
}

void ToProto(const FlowKey& key, pb::FlowKey* out) {
  ToProto(key.caller, out->mutable_caller());
  ToProto(key.service, out->mutable_service());
  out->set_protocol(static_cast<uint32_t>(key.protocol));
}

Result<Endpoint> FromProto(const pb::Endpoint& in) {
  if (in.port() > std::numeric_limits<uint16_t>::max()) {
    return Error{ErrorCode::kMalformed, "port is larger than 65535"};
  }
  return Endpoint{in.address(), static_cast<uint16_t>(in.port())};
}

Result<FlowKey> FromProto(const pb::FlowKey& in) {
  BOOST_OUTCOME_TRY(caller, FromProto(in.caller()));
  BOOST_OUTCOME_TRY(service, FromProto(in.service()));
  if (in.protocol() != static_cast<uint32_t>(Protocol::kTcp) &&
      in.protocol() != static_cast<uint32_t>(Protocol::kUdp)) {
    return Error{ErrorCode::kMalformed, "flow protocol is neither TCP nor UDP"};
  }
  return FlowKey{caller, service, static_cast<Protocol>(in.protocol())};
}

}  // namespace cornelhill
