#include "cornelhill/observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cassert>
#include <exception>
#include <sstream>

namespace cornelhill {

namespace {

constexpr std::string_view kOtherServices = "other";

size_t IndexOf(auto value) { return static_cast<size_t>(value); }

// Returns the entry of that name in the table, which exists.
consteval const MetricInfo& InfoOf(std::string_view name) {
  for (const MetricInfo& info : kMetrics) {
    if (info.name == name) return info;
  }
  throw "no such metric";  // NOLINT: stops the compilation.
}

template <typename Builder>
auto& Register(Builder builder, const MetricInfo& info,
               prometheus::Registry* registry) {
  return builder.Name(std::string(info.name))
      .Help(std::string(info.help))
      .Register(*registry);
}

}  // namespace

struct Metrics::Families {
  using Counters = prometheus::Family<prometheus::Counter>&;
  using Gauges = prometheus::Family<prometheus::Gauge>&;
  using Histograms = prometheus::Family<prometheus::Histogram>&;

  explicit Families(prometheus::Registry* registry)
      : packets(Register(prometheus::BuildCounter(),
                         InfoOf("cornelhill_packets_total"), registry)),
        answer_packets(Register(prometheus::BuildCounter(),
                                InfoOf("cornelhill_answer_packets_total"),
                                registry)),
        flows_started(Register(prometheus::BuildCounter(),
                               InfoOf("cornelhill_flows_started_total"),
                               registry)),
        dropped(Register(prometheus::BuildCounter(),
                         InfoOf("cornelhill_packets_dropped_total"), registry)),
        requests(Register(prometheus::BuildCounter(),
                          InfoOf("cornelhill_requests_total"), registry)),
        retries(Register(prometheus::BuildCounter(),
                         InfoOf("cornelhill_retries_total"), registry)),
        waits(Register(prometheus::BuildHistogram(),
                       InfoOf("cornelhill_queue_wait_seconds"), registry)),
        queued(Register(prometheus::BuildGauge(),
                        InfoOf("cornelhill_queued_requests"), registry)),
        busy_slots(Register(prometheus::BuildGauge(),
                            InfoOf("cornelhill_busy_slots"), registry)),
        slots(Register(prometheus::BuildGauge(), InfoOf("cornelhill_slots"),
                       registry)),
        open_flows(Register(prometheus::BuildGauge(),
                            InfoOf("cornelhill_open_flows"), registry)),
        revision(Register(prometheus::BuildGauge(),
                          InfoOf("cornelhill_revision_in_effect"), registry)) {}

  Counters packets;
  Counters answer_packets;
  Counters flows_started;
  Counters dropped;
  Counters requests;
  Counters retries;
  Histograms waits;
  Gauges queued;
  Gauges busy_slots;
  Gauges slots;
  Gauges open_flows;
  Gauges revision;
};

void ServiceMetrics::PacketReceived() { this->packets->Increment(); }

void ServiceMetrics::AnswerPacketSent() { this->answer_packets->Increment(); }

void ServiceMetrics::FlowStarted() { this->flows_started->Increment(); }

void ServiceMetrics::RequestEnded(Verdict verdict) {
  this->requests[IndexOf(verdict)]->Increment();
}

void ServiceMetrics::RequestRetried() { this->retries->Increment(); }

void ServiceMetrics::RequestWaited(WorkClass work_class, Millis wait) {
  this->waits[IndexOf(work_class)]->Observe(static_cast<double>(wait.Count()) /
                                            1000.0);
}

void ServiceMetrics::SetQueued(WorkClass work_class, size_t requests) {
  this->queued[IndexOf(work_class)]->Set(static_cast<double>(requests));
}

void ServiceMetrics::SetBusySlots(WorkClass work_class, size_t slots) {
  this->busy_slots[IndexOf(work_class)]->Set(static_cast<double>(slots));
}

void ServiceMetrics::SetSlots(size_t slots) {
  this->slots->Set(static_cast<double>(slots));
}

void ServiceMetrics::SetOpenFlows(size_t flows) {
  this->open_flows->Set(static_cast<double>(flows));
}

Metrics::Metrics(size_t max_services)
    : max_services(max_services),
      registry(std::make_shared<prometheus::Registry>()),
      families(std::make_unique<Families>(this->registry.get())) {
  for (size_t i = 0; i < kDropReasonNames.size(); ++i) {
    this->dropped[i] = &this->families->dropped.Add(
        {{"reason", std::string(kDropReasonNames[i])}});
  }
  this->revision = &this->families->revision.Add({});
}

Metrics::~Metrics() = default;

ServiceMetrics Metrics::MakeService(const std::string& service) {
  const prometheus::Labels labels = {{"service", service}};
  const auto with = [&](const char* name, std::string_view value) {
    prometheus::Labels result = labels;
    result.emplace(name, value);
    return result;
  };
  Families& all = *this->families;
  ServiceMetrics metrics;
  metrics.packets = &all.packets.Add(labels);
  metrics.answer_packets = &all.answer_packets.Add(labels);
  metrics.flows_started = &all.flows_started.Add(labels);
  metrics.retries = &all.retries.Add(labels);
  metrics.slots = &all.slots.Add(labels);
  metrics.open_flows = &all.open_flows.Add(labels);
  for (size_t i = 0; i < kVerdictNames.size(); ++i) {
    metrics.requests[i] = &all.requests.Add(with("verdict", kVerdictNames[i]));
  }
  const prometheus::Histogram::BucketBoundaries bounds(kWaitBounds.begin(),
                                                       kWaitBounds.end());
  for (size_t i = 0; i < kWorkClassNames.size(); ++i) {
    const prometheus::Labels of_class = with("class", kWorkClassNames[i]);
    metrics.waits[i] = &all.waits.Add(of_class, bounds);
    metrics.queued[i] = &all.queued.Add(of_class);
    metrics.busy_slots[i] = &all.busy_slots.Add(of_class);
  }
  return metrics;
}

ServiceMetrics& Metrics::OfService(const std::string& service) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->services.find(service);
  if (found != this->services.end()) return *found->second;
  if (this->services.size() < this->max_services) {
    auto made = std::make_unique<ServiceMetrics>(this->MakeService(service));
    return *this->services.emplace(service, std::move(made)).first->second;
  }
  if (this->other == nullptr) {
    this->other = std::make_unique<ServiceMetrics>(
        this->MakeService(std::string(kOtherServices)));
  }
  return *this->other;
}

void Metrics::PacketDropped(DropReason reason) {
  this->dropped[IndexOf(reason)]->Increment();
}

void Metrics::SetRevision(Revision revision) {
  this->revision->Set(static_cast<double>(revision.Value()));
}

Result<void> Metrics::Expose(const std::string& address) {
  if (address.empty()) return boost::outcome_v2::success();
  assert(this->exposer == nullptr);
  try {
    // One thread: a scrape every few seconds needs no more.
    this->exposer = std::make_unique<prometheus::Exposer>(address, 1);
    this->exposer->RegisterCollectable(this->registry);
  } catch (const std::exception& e) {
    this->exposer.reset();
    return Error{ErrorCode::kUnavailable,
                 "cannot serve metrics at \"" + address + "\": " + e.what()};
  }
  return boost::outcome_v2::success();
}

uint16_t Metrics::ExposedPort() const {
  if (this->exposer == nullptr) return 0;
  const std::vector<int> ports = this->exposer->GetListeningPorts();
  return ports.empty() ? 0 : static_cast<uint16_t>(ports.front());
}

std::string Metrics::Text() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, this->registry->Collect());
  return out.str();
}

}  // namespace cornelhill
