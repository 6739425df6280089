#include "cornelhill/node/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <utility>

namespace cornelhill {

namespace {

// Upper bounds in seconds, from a round trip within a failure domain to the
// longest deadline of the sites' requests.
const prometheus::Histogram::BucketBoundaries& DurationBuckets() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
  return bounds;
}

}  // namespace

struct NodeMetrics::Impl {
  Impl(boost::asio::io_context& io, const std::string& role)
      : role(role),
        server(io, [this](const HttpRequest& request,
                          const HttpServer::Respond& respond) {
          this->OnRequest(request, respond);
        }) {}

  void OnRequest(const HttpRequest& request,
                 const HttpServer::Respond& respond) {
    if (request.target != "/metrics") {
      respond({404, {}, {}, {}});
      return;
    }
    this->collect();
    const prometheus::TextSerializer serializer;
    respond({200,
             serializer.Serialize(this->registry.Collect()),
             {},
             "text/plain; version=0.0.4"});
  }

  std::string role;
  prometheus::Registry registry;
  // Cache of the registered metrics: a lookup by labels costs more than a
  // decision.
  std::map<std::pair<std::string_view, std::string_view>, prometheus::Counter*>
      decisions;
  std::map<std::string_view, prometheus::Histogram*> histograms;
  std::function<void()> collect;
  HttpServer server;
};

NodeMetrics::NodeMetrics(boost::asio::io_context& io, const std::string& role)
    : impl(std::make_unique<Impl>(io, role)) {}

NodeMetrics::~NodeMetrics() = default;

Result<void> NodeMetrics::Start(const std::optional<Endpoint>& address,
                                std::function<void()> collect) {
  this->impl->collect = std::move(collect);
  if (!address.has_value()) return boost::outcome_v2::success();
  return this->impl->server.Listen(*address);
}

void NodeMetrics::CountDecision(std::string_view event,
                                std::string_view reason) {
  prometheus::Counter*& counter = this->impl->decisions[{event, reason}];
  if (counter == nullptr) {
    counter = &prometheus::BuildCounter()
                   .Name("cornelhill_node_decisions_total")
                   .Help("Decisions by event and reason")
                   .Register(this->impl->registry)
                   .Add({{"role", this->impl->role},
                         {"event", std::string(event)},
                         {"reason", std::string(reason)}});
  }
  counter->Increment();
}

void NodeMetrics::SetGauge(const std::string& name, double value) {
  prometheus::BuildGauge()
      .Name(name)
      .Help("See docs/metrics.md")
      .Register(this->impl->registry)
      .Add({{"role", this->impl->role}})
      .Set(value);
}

void NodeMetrics::ObserveDuration(std::string_view name, Millis duration) {
  prometheus::Histogram*& histogram = this->impl->histograms[name];
  if (histogram == nullptr) {
    histogram = &prometheus::BuildHistogram()
                     .Name(std::string(name))
                     .Help("See docs/metrics.md")
                     .Register(this->impl->registry)
                     .Add({{"role", this->impl->role}}, DurationBuckets());
  }
  histogram->Observe(static_cast<double>(duration.Count()) / 1000.0);
}

}  // namespace cornelhill
