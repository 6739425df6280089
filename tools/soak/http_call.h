#pragma once

#include <string>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"

namespace cornelhill::soak {

struct HttpReply {
  uint32_t status = 0;  // 0: no complete response in time.
  std::string location;
  std::string body;
};

// Makes one HTTP/1.1 call on a connection of its own. Thread-safe.
HttpReply HttpCall(const Endpoint& to, const std::string& method,
                   const std::string& target, const std::string& body,
                   Millis timeout);

}  // namespace cornelhill::soak
