#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "cornelhill/base/registry.h"
#include "cornelhill/node/http_server.h"
#include "cornelhill/segment/segment_agent.h"

namespace cornelhill {

// What a process is asked from outside the system.

// Whether the process takes traffic.
struct ReadyQuery {};

// An upstream has left for good.
struct UpstreamLeft {
  std::string id;
};

// An operator's listener document; its version was read from it.
struct ListenerPut {
  uint64_t version = 0;
  std::string document;
};

// Asks for the newest listener document.
struct ListenerGet {};

// A request that is answered at once.
struct ApiErrorResponse {
  uint32_t status = 400;
  std::string message;
};

using ApiRequest = std::variant<ReadyQuery, UpstreamReport, UpstreamLeft,
                                ListenerPut, ListenerGet, ApiErrorResponse>;

// How the outside asks. Thread-safe, keeps no state.
struct ApiFormat {
  ApiRequest (*read)(const HttpRequest& request) = nullptr;
  // Renders an error as a body.
  std::string (*error)(const std::string& message) = nullptr;
};

using ApiFormatRegistry = Registry<ApiFormat>;

}  // namespace cornelhill
