#pragma once

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"
#include "data.pb.h"

namespace cornelhill {

// Conversions that every codec needs. The readers fail with `kMalformed` where
// a port or a protocol is out of range. All are thread-safe.
void ToProto(const Endpoint& endpoint, pb::Endpoint* out);
void ToProto(const FlowKey& key, pb::FlowKey* out);
Result<Endpoint> FromProto(const pb::Endpoint& in);
Result<FlowKey> FromProto(const pb::FlowKey& in);

}  // namespace cornelhill
