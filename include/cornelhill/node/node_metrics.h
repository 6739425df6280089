#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/node/http_server.h"

namespace cornelhill {

// Prometheus metrics of one node process, served as text at /metrics on its
// event loop. `docs/metrics.md` lists them. All calls must be made on the
// thread of the event loop.
class NodeMetrics {
 public:
  // `role` is a label of every metric.
  NodeMetrics(boost::asio::io_context& io, const std::string& role);
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  // Serves the metrics at `address`, if set. `collect` is called before each
  // response to set gauges.
  Result<void> Start(const std::optional<Endpoint>& address,
                     std::function<void()> collect);

  // Increments the counter of decisions with this event name and reason. Both
  // must be string literals.
  void CountDecision(std::string_view event, std::string_view reason);

  // Sets a gauge by name, e.g. "cornelhill_node_flows".
  void SetGauge(const std::string& name, double value);

  // Adds an observation to a duration histogram, e.g.
  // "..._first_reply_seconds". `name` must be a string literal.
  void ObserveDuration(std::string_view name, Millis duration);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cornelhill
