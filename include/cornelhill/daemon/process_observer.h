#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <string>
#include <unordered_map>

#include "cornelhill/base/result.h"
#include "cornelhill/config/settings.h"
#include "cornelhill/daemon/message_node.h"
#include "cornelhill/observe/event_ring.h"
#include "cornelhill/observe/hybrid_clock.h"
#include "cornelhill/observe/inspect_codec.h"
#include "cornelhill/observe/metrics.h"
#include "cornelhill/route/service_view.h"

namespace cornelhill {

// The events and metrics of one process, and the sockets that answer questions
// about them. Thread-safe but for `Start`.
class ProcessObserver {
 public:
  // Answers a query about an agent, or returns nothing where the process has
  // no answer. Called on the io_context.
  using Inspector =
      std::function<std::optional<InspectMessage>(const InspectMessage&)>;

  // `settings` and `io` outlive the observer.
  ProcessObserver(boost::asio::io_context& io, const Settings& settings);
  ~ProcessObserver();
  ProcessObserver(const ProcessObserver&) = delete;
  ProcessObserver& operator=(const ProcessObserver&) = delete;

  // Serves metrics and answers queries at the addresses that the settings give,
  // and records the start of the process. Call once. Fails where an address
  // cannot be bound.
  Result<void> Start(Inspector inspector = nullptr);

  // Records an event at the present time.
  void Record(Event event);
  void Record(EventKind kind, const EventDetail& detail = {});

  // Counts a dropped packet or message in the metrics; records no event.
  void CountDrop(DropReason reason) { this->metrics.PacketDropped(reason); }

  // Records that a view is in effect. Later calls of `FindService` find the
  // metrics of its service.
  void ViewInEffect(const ServiceView& view);

  void SetRevision(Revision revision) { this->metrics.SetRevision(revision); }

  // Returns the metrics of a service, or null before its first view. The
  // pointer is valid as long as this object.
  ServiceMetrics* FindService(ServiceId service) const;

  const EventRing& Events() const { return this->ring; }

 private:
  // Runs on the thread of `node`.
  void OnQuery(const std::string& peer, const std::string& bytes);
  void OnInspect(const std::string& peer, const InspectMessage& query);

  boost::asio::io_context& io;
  const Settings& settings;
  EventRing ring;
  HybridClock clock;
  Metrics metrics;
  mutable std::shared_mutex mutex;
  std::unordered_map<ServiceId, ServiceMetrics*> services;
  Inspector inspector;
  MessageNode node;
};

// Returns the drop reason of a message that could not be decoded.
DropReason DropReasonOf(const Error& error);

// Adds reason=NAME.
void AddReason(DropReason reason, EventDetail* detail);

}  // namespace cornelhill
