#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/config/node_settings.h"
#include "cornelhill/node/control_log.h"
#include "cornelhill/node/http_server.h"
#include "cornelhill/node/node_metrics.h"
#include "cornelhill/node/node_roles.h"

namespace cornelhill {

// Answers operators at a core member. An order is acknowledged once a majority
// has it on disk, or has confirmed that a version at least as high is held; a
// read is answered once a majority has confirmed the leader. Runs on the thread
// of the event loop.
class OperatorApi {
 public:
  // The core member as this class needs it.
  struct Core {
    // Null while there is no log.
    std::function<ControlLog*()> log;
    std::function<bool()> is_leader;
    // Called after each use of the log.
    std::function<void()> publish_committed;
    std::function<std::vector<std::string>()> member_addresses;
  };

  OperatorApi(const NodeSettings& settings, const PlatformFormats& formats,
              NodeMetrics& metrics, Core core, uint64_t seed);

  void OnRequest(const HttpRequest& request,
                 const HttpServer::Respond& respond);

  // Decides nothing from now on.
  void Drain() { this->draining = true; }

 private:
  void Refuse(const HttpServer::Respond& respond, uint32_t status,
              const std::string& detail) const;
  void RedirectTo(const Endpoint& member, const HttpRequest& request,
                  const HttpServer::Respond& respond);
  void Redirect(const HttpRequest& request, const HttpServer::Respond& respond);
  // Both require a log that leads.
  void HandlePut(const ListenerPut& put, const HttpServer::Respond& respond);
  void HandleGet(const HttpServer::Respond& respond);

  const NodeSettings& settings;
  const PlatformFormats& formats;
  NodeMetrics& metrics;
  Core core;
  Random random;
  bool draining = false;
};

}  // namespace cornelhill
