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

// Serves operator requests at a core member. A write is acknowledged once a
// majority has it on disk, or has confirmed that a version at least as high is
// stored. A read is answered once a majority has confirmed the leader. Runs on
// the event loop thread.
class OperatorApi {
 public:
  // What this class needs from the core member.
  struct Core {
    // Returns null while there is no log.
    std::function<ControlLog*()> log;
    std::function<bool()> is_leader;
    // Publishes committed listeners. Called after each use of the log.
    std::function<void()> publish_committed;
    std::function<std::vector<std::string>()> member_addresses;
  };

  OperatorApi(const NodeSettings& settings, const PlatformFormats& formats,
              NodeMetrics& metrics, Core core, uint64_t seed);

  void OnRequest(const HttpRequest& request,
                 const HttpServer::Respond& respond);

  // Refuses reads and writes from now on.
  void Drain() { this->draining = true; }

 private:
  void Refuse(const HttpServer::Respond& respond, uint32_t status,
              const std::string& detail) const;
  void RedirectTo(const Endpoint& member, const HttpRequest& request,
                  const HttpServer::Respond& respond);
  void Redirect(const HttpRequest& request, const HttpServer::Respond& respond);
  // Both require that this instance is the leader.
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
