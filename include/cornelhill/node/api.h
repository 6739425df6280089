#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "cornelhill/base/registry.h"
#include "cornelhill/node/http_server.h"
#include "cornelhill/segment/segment_agent.h"

namespace cornelhill {

// Requests to a process from outside the system.

// Asks whether the process accepts traffic.
struct ReadyQuery {};

// States that an upstream has left permanently.
struct UpstreamLeft {
  std::string id;
  std::optional<Incarnation> incarnation;  // The start that left, if stated.
};

// An operator's listener document; `version` was read from it.
struct ListenerPut {
  uint64_t version = 0;
  std::string document;
};

// Requests the newest listener document.
struct ListenerGet {};

// An invalid or unsupported request, as the error response to it.
struct ApiErrorResponse {
  uint32_t status = 400;
  std::string message;
};

using ApiRequest = std::variant<ReadyQuery, UpstreamReport, UpstreamLeft,
                                ListenerPut, ListenerGet, ApiErrorResponse>;

// Format of the HTTP API. All functions are thread-safe and keep no state.
struct ApiFormat {
  ApiRequest (*read)(const HttpRequest& request) = nullptr;
  // Renders an error as a response body.
  std::string (*error)(const std::string& message) = nullptr;
};

using ApiFormatRegistry = Registry<ApiFormat>;

}  // namespace cornelhill
