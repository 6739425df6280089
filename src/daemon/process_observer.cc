#include "cornelhill/daemon/process_observer.h"

#include <array>
#include <boost/asio/post.hpp>
#include <mutex>
#include <utility>

#include "cornelhill/observe/timeline_codec.h"

namespace cornelhill {

ProcessObserver::ProcessObserver(boost::asio::io_context& io,
                                 const Settings& settings)
    : io(io),
      settings(settings),
      ring(settings.instance),
      node(settings.instance,
           {[this](const std::string& peer, const std::string& bytes) {
              this->OnQuery(peer, bytes);
            },
            nullptr}) {}

ProcessObserver::~ProcessObserver() { this->node.Stop(); }

Result<void> ProcessObserver::Start(Inspector answers) {
  this->inspector = std::move(answers);
  if (this->settings.metrics_address.has_value()) {
    BOOST_OUTCOME_TRY(
        this->metrics.Expose(ToString(*this->settings.metrics_address)));
  }
  if (this->settings.timeline_address.has_value()) {
    BOOST_OUTCOME_TRY(this->node.Bind(*this->settings.timeline_address));
    this->node.Start();
  }
  this->Record(EventKind::kProcessStarted);
  return boost::outcome_v2::success();
}

void ProcessObserver::Record(Event event) {
  event.time = this->clock.Tick(WallNow());
  this->ring.Record(event);
}

void ProcessObserver::Record(EventKind kind, const EventDetail& detail) {
  Event event;
  event.kind = kind;
  event.detail = detail;
  this->Record(std::move(event));
}

void ProcessObserver::ViewInEffect(const ServiceView& view) {
  ServiceMetrics& service = this->metrics.OfService(view.name);
  {
    const std::unique_lock lock(this->mutex);
    this->services[view.id] = &service;
  }
  this->metrics.SetRevision(view.revision);
  Event event;
  event.kind = EventKind::kRevisionApplied;
  event.service = view.id;
  event.revision = view.revision;
  event.detail.Add("upstreams", view.upstreams.size())
      .Add("lost", view.lost.size());
  this->Record(std::move(event));
}

ServiceMetrics* ProcessObserver::FindService(ServiceId service) const {
  const std::shared_lock lock(this->mutex);
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : found->second;
}

void ProcessObserver::OnQuery(const std::string& peer,
                              const std::string& bytes) {
  const Result<TimelineMessage> timeline = DecodeTimelineMessage(bytes);
  if (timeline.has_value()) {
    const auto* query = std::get_if<EventQuery>(&timeline.value().body);
    if (query == nullptr) return;
    const Result<HybridTime> merged =
        this->clock.Merge(timeline.value().clock, WallNow());
    if (!merged.has_value()) this->Record(EventKind::kClockDriftRefused);
    // Read on this thread: a full ring takes milliseconds, in which the
    // process's packets must not wait.
    const EventReply reply = Answer(*query, this->ring);
    this->node.Reply(
        peer, Encode(TimelineMessage{this->clock.Tick(WallNow()), reply}));
    return;
  }
  Result<InspectMessage> inspect = DecodeInspectMessage(bytes);
  if (!inspect.has_value()) {
    this->CountDrop(DropReasonOf(inspect.error()));
    EventDetail detail;
    AddReason(DropReasonOf(inspect.error()), &detail);
    this->Record(EventKind::kPacketDropped, detail.Add("cause", "bad_query"));
    return;
  }
  boost::asio::post(this->io, [this, peer, query = std::move(inspect.value())] {
    this->OnInspect(peer, query);
  });
}

void ProcessObserver::OnInspect(const std::string& peer,
                                const InspectMessage& query) {
  std::optional<InspectMessage> reply;
  if (this->inspector) {
    reply = this->inspector(query);
  } else if (const auto* flows = std::get_if<FlowQuery>(&query)) {
    // A process that holds no flows says so, rather than leave the operator's
    // tool to wait.
    reply = FlowReply{flows->query, this->settings.instance, {}, false};
  } else if (const auto* why = std::get_if<WhyQuery>(&query)) {
    reply = WhyReply{why->query, this->settings.instance, {}, false};
  }
  if (reply.has_value()) this->node.Reply(peer, Encode(*reply));
}

DropReason DropReasonOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kTooLarge:
      return DropReason::kTooLarge;
    case ErrorCode::kUnsupportedVersion:
      return DropReason::kUnsupportedVersion;
    default:
      return DropReason::kMalformed;
  }
}

void AddReason(DropReason reason, EventDetail* detail) {
  static constexpr std::array<EventDetail::Literal, 9> kNames = {
      "malformed",       "too_large",     "unsupported_version",
      "unknown_service", "wrong_service", "hop_limit",
      "unmatched",       "no_upstream",   "send_failed"};
  static_assert(kNames.size() == kDropReasonNames.size());
  detail->Add("reason", kNames.at(static_cast<size_t>(reason)));
}

}  // namespace cornelhill
