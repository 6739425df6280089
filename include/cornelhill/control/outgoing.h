#pragma once

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/control/control_messages.h"

namespace cornelhill {

// A message that the caller is to send.
struct Outgoing {
  InstanceId to;
  Endpoint endpoint;
  ControlMessage message;
};

}  // namespace cornelhill
