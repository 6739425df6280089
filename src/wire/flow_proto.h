#pragma once

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"
#include "data.pb.h"

namespace cornelhill {

// Conversions shared by the codecs. `FromProto` fails with `kMalformed` if the
// port is out of range or the protocol is unknown. All functions are
// thread-safe.
void ToProto(const Endpoint& endpoint, pb::Endpoint* out);
void ToProto(const FlowKey& key, pb::FlowKey* out);
Result<Endpoint> FromProto(const pb::Endpoint& in);
Result<FlowKey> FromProto(const pb::FlowKey& in);

}  // namespace cornelhill
