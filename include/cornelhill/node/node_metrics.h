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

// The counters, gauges and histograms of one node process, served as text at
// /metrics by its own event loop. `docs/metrics.md` lists them. Runs on the
// thread of the event loop.
class NodeMetrics {
 public:
  // `role` is a label of every metric.
  NodeMetrics(boost::asio::io_context& io, const std::string& role);
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  // Serves the metrics where there is an address. `collect` is called before
  // each answer, to set gauges.
  Result<void> Start(const std::optional<Endpoint>& address,
                     std::function<void()> collect);

  // Counts a decision by its event name and reason, which are string literals.
  void CountDecision(std::string_view event, std::string_view reason);

  // Sets a value by name, e.g. "cornelhill_node_flows".
  void SetGauge(const std::string& name, double value);

  // Adds to a histogram of times by name, which is a string literal, e.g.
  // "..._first_reply_seconds".
  void ObserveDuration(std::string_view name, Millis duration);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cornelhill
