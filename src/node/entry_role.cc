#include <algorithm>
#include <string>
#include <utility>

#include "cornelhill/base/log.h"
#include "cornelhill/base/random.h"
#include "cornelhill/node/core_link.h"
#include "cornelhill/node/datagram_socket.h"
#include "cornelhill/node/http_server.h"
#include "cornelhill/node/node_metrics.h"
#include "cornelhill/node/node_roles.h"
#include "cornelhill/node/one_shot_timer.h"
#include "cornelhill/node/runtime.h"
#include "cornelhill/node/settings_watch.h"
#include "cornelhill/segment/segment_balancer.h"
#include "node/dropped_message.h"

namespace cornelhill {

namespace {

constexpr Millis kTickPeriod{1000};
constexpr Millis kLookupTickPeriod{10};
// A router removes a balancer from rotation after two failed checks, half a
// second apart; a third half second covers packets in flight.
constexpr Millis kRotationRemovalDelay{1500};
// Part of the grace period that is reserved for the exit of the process.
constexpr Millis kShutdownMargin{250};
constexpr Millis kCountersPeriod{10000};
// Bounds the hellos while members send changes that this balancer cannot apply.
constexpr Millis kListenerRequestPeriod{100};

SegmentBalancerSettings BalancerSettings(const NodeSettings& settings,
                                         const PlatformFormats& formats) {
  SegmentBalancerSettings out;
  out.failure_domain = settings.failure_domain;
  out.format = formats.segment;
  out.seed = RandomSeed();
  return out;
}

class EntryRole {
 public:
  EntryRole(const NodeSettings& settings, const PlatformFormats& formats)
      : settings(settings),
        formats(formats),
        balancer(BalancerSettings(settings, formats)),
        packets(runtime.Io()),
        data(runtime.Io()),
        ready(runtime.Io(),
              [this](const HttpRequest& request,
                     const HttpServer::Respond& respond) {
                this->OnRequest(request, respond);
              }),
        link(runtime, settings,
             {[this] { return this->MakeHello(); },
              [this](const Update& update) { this->OnUpdate(update); }}),
        watch(runtime, settings,
              [this](const auto& seeds) { this->link.SetSeeds(seeds); }),
        metrics(runtime.Io(), "entry"),
        lookup_timer(runtime, kLookupTickPeriod, [this] { this->Tick(); }) {}

  Result<void> Run() {
    BOOST_OUTCOME_TRY(this->data.Open(this->settings.DataAddress()));
    BOOST_OUTCOME_TRY(this->packets.Open(*this->settings.packets));
    BOOST_OUTCOME_TRY(this->ready.Listen(*this->settings.ready));
    const auto flush = [this] { this->data.Flush(); };
    this->data.Start(
        [this](Endpoint from, std::string_view bytes) {
          this->OnData(from, bytes);
        },
        flush);
    this->packets.Start(
        [this](Endpoint, std::string_view bytes) {
          BalancerOutput out;
          this->balancer.OnPacket(MonotonicNow(), bytes, &out);
          this->HandleOutput(std::move(out));
        },
        flush);
    this->link.Start();
    this->watch.Start();
    BOOST_OUTCOME_TRY(this->metrics.Start(this->settings.metrics,
                                          [this] { this->SetGauges(); }));
    this->runtime.Every(kTickPeriod, [this] { this->Tick(); });
    this->runtime.Every(kCountersPeriod, [this] { this->LogCounters(); });
    this->runtime.OnDrain([this] {
      this->draining = true;
      const Millis drain_delay = std::min(
          kRotationRemovalDelay, this->settings.grace - kShutdownMargin);
      this->runtime.Every(drain_delay, [this] { this->runtime.Stop(); });
    });
    LogLine("process_started")
        .Add("role", "entry")
        .Add("packets", ToString(*this->settings.packets))
        .Add("data", ToString(this->settings.DataAddress()));
    this->runtime.Run();
    this->LogCounters();
    EndProcess("entry");
  }

 private:
  Hello MakeHello() const {
    Hello hello;
    hello.balancer = true;
    hello.listener_version = this->balancer.Listeners().Version();
    return hello;
  }

  void OnUpdate(const Update& update) {
    const Millis now = MonotonicNow();
    if (!this->balancer.OnUpdate(now, update)) {
      if (update.listeners.to > this->balancer.Listeners().Version()) {
        this->RequestListeners(now, update.listeners);
      }
      return;
    }
    LogLine("listeners_in_effect")
        .Add("version", this->balancer.Listeners().Version())
        .Add("listeners", this->balancer.Listeners().Size());
  }

  // Tells the members which version this balancer has, so that they send the
  // changes since then.
  void RequestListeners(Millis now, const ListenerDelta& delta) {
    LogLine("listeners_not_applied")
        .Add("base", delta.base)
        .Add("to", delta.to)
        .Add("version", this->balancer.Listeners().Version());
    if (now - this->listeners_requested < kListenerRequestPeriod) return;
    this->listeners_requested = now;
    this->link.SendHello();
  }

  void OnRequest(const HttpRequest& request,
                 const HttpServer::Respond& respond) {
    const ApiRequest call = this->formats.api.read(request);
    if (!std::holds_alternative<ReadyQuery>(call)) {
      respond({404,
               this->formats.api.error("request is not supported by this role"),
               {}});
      return;
    }
    const bool accepts_traffic = !this->draining && this->balancer.CanServe();
    respond({accepts_traffic ? 200U : 503U, {}, {}});
  }

  void OnData(const Endpoint& from, std::string_view bytes) {
    Result<SegmentMessage> message = DecodeSegmentMessage(bytes);
    if (!message.has_value()) {
      LogDropped(message.error(), ToString(from));
      return;
    }
    BalancerOutput out;
    this->balancer.OnAgent(MonotonicNow(), from, std::move(message.value()),
                           &out);
    this->HandleOutput(std::move(out));
  }

  // Queues messages and packets; a `Flush` must follow.
  void HandleOutput(BalancerOutput out) {
    for (PeerMessage& send : out.agents) {
      this->data.Queue(send.to, Encode(std::move(send.message)));
    }
    for (CallerPacket& send : out.callers) {
      this->data.Queue({send.caller.address, this->settings.packets->port},
                       std::move(send.datagram));
    }
    for (const BalancerEvent& event : out.events) Log(event);
    if (out.listeners_stale) this->link.SendHello();
    if (this->balancer.HasActiveLookups()) this->lookup_timer.Arm();
  }

  void Log(const BalancerEvent& event) {
    this->metrics.CountDecision(ToString(event.kind), ToString(event.refusal));
    LogLine line(ToString(event.kind));
    line.Add("caller", ToString(event.flow.caller))
        .Add("listener", ToString(event.flow.listener));
    if (event.agent != Endpoint()) line.Add("agent", ToString(event.agent));
    if (event.refusal != OfferRefusal::kNone) {
      line.Add("refusal", ToString(event.refusal));
    }
    line.Add("tries", event.tries).Add("reset", event.reset ? 1 : 0);
  }

  void Tick() {
    BalancerOutput out;
    this->balancer.Tick(MonotonicNow(), &out);
    this->HandleOutput(std::move(out));
    this->data.Flush();
  }

  void SetGauges() {
    const BalancerCounters& counters = this->balancer.Counters();
    this->metrics.SetGauge("cornelhill_node_packets",
                           static_cast<double>(counters.packets));
    this->metrics.SetGauge("cornelhill_node_offers",
                           static_cast<double>(counters.offers));
    this->metrics.SetGauge("cornelhill_node_flows",
                           static_cast<double>(this->balancer.FlowCount()));
    this->metrics.SetGauge(
        "cornelhill_node_agents",
        static_cast<double>(this->balancer.Agents().Entries().size()));
    this->metrics.SetGauge(
        "cornelhill_node_listener_version",
        static_cast<double>(this->balancer.Listeners().Version()));
    this->metrics.SetGauge("cornelhill_node_core_connected",
                           this->link.Connected() ? 1 : 0);
  }

  void LogCounters() const {
    const BalancerCounters& counters = this->balancer.Counters();
    LogLine("entry_counters")
        .Add("packets", counters.packets)
        .Add("offers", counters.offers)
        .Add("refused", counters.refused)
        .Add("resets", counters.resets)
        .Add("seeks", counters.seeks)
        .Add("seeks_failed", counters.seeks_failed)
        .Add("flows", this->balancer.FlowCount())
        .Add("agents", this->balancer.Agents().Entries().size())
        .Add("version", this->balancer.Listeners().Version());
  }

  const NodeSettings& settings;
  const PlatformFormats& formats;
  Runtime runtime;
  SegmentBalancer balancer;
  DatagramSocket packets;
  DatagramSocket data;
  HttpServer ready;
  CoreLink link;
  SettingsWatch watch;
  NodeMetrics metrics;
  OneShotTimer lookup_timer;
  Millis listeners_requested;
  bool draining = false;
};

}  // namespace

Result<void> RunEntry(const NodeSettings& settings,
                      const PlatformFormats& formats) {
  EntryRole role(settings, formats);
  return role.Run();
}

}  // namespace cornelhill
