#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/base/verdict.h"
#include "cornelhill/turn/request_scheduler.h"

namespace prometheus {
class Counter;
class Exposer;
class Gauge;
class Histogram;
class Registry;
}  // namespace prometheus

namespace cornelhill {

// Why a packet or message was dropped.
enum class DropReason : uint8_t {
  kMalformed,
  kTooLarge,
  kUnsupportedVersion,
  kUnknownService,
  kWrongService,
  kHopLimit,
  kUnmatched,
  kNoUpstream,
  kSendFailed,
};

inline constexpr std::array<std::string_view, 9> kDropReasonNames = {
    "malformed",       "too_large",     "unsupported_version",
    "unknown_service", "wrong_service", "hop_limit",
    "unmatched",       "no_upstream",   "send_failed"};
inline constexpr std::array<std::string_view, 3> kVerdictNames = {
    "not_run", "may_have_run", "ran"};
inline constexpr std::array<std::string_view, 3> kWorkClassNames = {
    "short", "long", "straggler"};

// Upper bounds of the wait histograms, in seconds. The range covers a wait of a
// free slot and the default longest wait of 2 s; the factor of about 2 gives
// 99th percentiles precise enough for the targets of a factor of 2 and more.
inline constexpr std::array<double, 13> kWaitBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

// One metric of the process. `docs/metrics.md` lists the same.
struct MetricInfo {
  std::string_view name;
  std::string_view type;    // "counter", "gauge" or "histogram"
  std::string_view labels;  // Separated by ", ".
  std::string_view unit;
  std::string_view help;
};

inline constexpr std::array kMetrics = {
    MetricInfo{"cornelhill_packets_total", "counter", "service", "packets",
               "Packets received from callers."},
    MetricInfo{"cornelhill_answer_packets_total", "counter", "service",
               "packets", "Packets sent to callers."},
    MetricInfo{"cornelhill_flows_started_total", "counter", "service", "flows",
               "New flows that this process accepted."},
    MetricInfo{"cornelhill_packets_dropped_total", "counter", "reason",
               "packets", "Packets and messages dropped."},
    MetricInfo{"cornelhill_requests_total", "counter", "service, verdict",
               "requests", "Requests that ended, by verdict."},
    MetricInfo{"cornelhill_retries_total", "counter", "service", "requests",
               "Requests that the home agent retried."},
    MetricInfo{"cornelhill_queue_wait_seconds", "histogram", "service, class",
               "seconds", "Time from queueing to dispatch of a request."},
    MetricInfo{"cornelhill_queued_requests", "gauge", "service, class",
               "requests", "Requests that wait for a slot."},
    MetricInfo{"cornelhill_busy_slots", "gauge", "service, class", "slots",
               "Slots held by requests."},
    MetricInfo{"cornelhill_slots", "gauge", "service", "slots",
               "Slots of the upstream."},
    MetricInfo{"cornelhill_open_flows", "gauge", "service", "flows",
               "Flows that this process keeps state of."},
    MetricInfo{"cornelhill_revision_in_effect", "gauge", "", "revision",
               "Configuration revision in effect at this process."},
};

// The metrics of one service. All functions are thread-safe, allocate nothing
// and look nothing up.
class ServiceMetrics {
 public:
  void PacketReceived();
  void AnswerPacketSent();
  void FlowStarted();
  void RequestEnded(Verdict verdict);
  void RequestRetried();
  void RequestWaited(WorkClass work_class, Millis wait);
  void SetQueued(WorkClass work_class, size_t requests);
  void SetBusySlots(WorkClass work_class, size_t slots);
  void SetSlots(size_t slots);
  void SetOpenFlows(size_t flows);

 private:
  friend class Metrics;
  ServiceMetrics() = default;

  prometheus::Counter* packets = nullptr;
  prometheus::Counter* answer_packets = nullptr;
  prometheus::Counter* flows_started = nullptr;
  std::array<prometheus::Counter*, kVerdictNames.size()> requests{};
  prometheus::Counter* retries = nullptr;
  std::array<prometheus::Histogram*, kWorkClassNames.size()> waits{};
  std::array<prometheus::Gauge*, kWorkClassNames.size()> queued{};
  std::array<prometheus::Gauge*, kWorkClassNames.size()> busy_slots{};
  prometheus::Gauge* slots = nullptr;
  prometheus::Gauge* open_flows = nullptr;
};

// The metrics of one process. Thread-safe.
class Metrics {
 public:
  // Services beyond `max_services` share the label value "other".
  explicit Metrics(size_t max_services = 256);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Returns the metrics of a service. The reference is valid as long as this
  // object; keep it, since each call takes a lock.
  ServiceMetrics& OfService(const std::string& service);

  void PacketDropped(DropReason reason);
  void SetRevision(Revision revision);

  // Serves the metrics by HTTP at `address`, e.g. "127.0.0.1:9100", path
  // /metrics. Does nothing where `address` is empty. Fails with
  // `kUnavailable` where the address cannot be bound. Requires that it has not
  // succeeded with an address before.
  Result<void> Expose(const std::string& address);

  // Returns the port that `Expose` bound, or 0.
  uint16_t ExposedPort() const;

  // Returns the metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct Families;

  ServiceMetrics MakeService(const std::string& service);

  const size_t max_services;
  const std::shared_ptr<prometheus::Registry> registry;
  const std::unique_ptr<Families> families;
  std::array<prometheus::Counter*, kDropReasonNames.size()> dropped{};
  prometheus::Gauge* revision = nullptr;
  std::mutex mutex;
  std::unordered_map<std::string, std::unique_ptr<ServiceMetrics>> services;
  std::unique_ptr<ServiceMetrics> other;
  std::unique_ptr<prometheus::Exposer> exposer;
};

}  // namespace cornelhill
