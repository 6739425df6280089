#pragma once

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/control/control_messages.h"

namespace cornelhill {

// A message for the caller to send to `endpoint`.
struct Outgoing {
  InstanceId to;
  Endpoint endpoint;
  ControlMessage message;
};

}  // namespace cornelhill
