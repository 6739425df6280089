#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/agent/agent.h"
#include "cornelhill/base/hash.h"
#include "cornelhill/base/log.h"
#include "cornelhill/daemon/agent_observer.h"
#include "cornelhill/daemon/control_client.h"
#include "cornelhill/daemon/drop_log.h"
#include "cornelhill/daemon/inspect_agent.h"
#include "cornelhill/daemon/process_observer.h"
#include "cornelhill/daemon/roles.h"
#include "cornelhill/ingress/ingress.h"
#include "cornelhill/node/datagram_socket.h"
#include "cornelhill/node/runtime.h"
#include "cornelhill/wire/data_codec.h"

namespace cornelhill {

namespace {

constexpr Millis kTickPeriod(5);
constexpr Millis kCountersPeriod(10000);
constexpr Millis kGaugesPeriod(1000);
// A drained agent stays for late copies of requests that it answered.
constexpr Millis kDrainLinger = kResendLifetime;
constexpr Millis kDrainRequestPeriod(500);
constexpr Millis kLeavePeriod(200);
// Control may be out of reach; the lease then ends by itself.
constexpr Millis kLeaveTimeout = kDrainLinger + Millis(5000);

// A later start of the same instance has a higher incarnation.
Incarnation NewIncarnation() {
  return Incarnation(static_cast<uint64_t>(WallNow().Count()));
}

AgentIdentity IdentityOf(const Settings& settings) {
  return {settings.instance_id, NewIncarnation(), settings.data_address};
}

Announcement AnnouncementOf(const Settings& settings,
                            const AgentIdentity& identity) {
  Announcement announcement;
  announcement.instance = identity.instance;
  announcement.incarnation = identity.incarnation;
  announcement.application = settings.application;
  announcement.agent = settings.data_address;
  announcement.failure_domain =
      FailureDomainId(static_cast<uint32_t>(Hash64(settings.failure_domain)));
  announcement.slots = settings.slots;
  announcement.weight = settings.weight;
  return announcement;
}

class AgentRole {
 public:
  AgentRole(const Settings& settings, const DeliveryPlugin& plugin)
      : settings(settings),
        plugin(plugin),
        observer(runtime.Io(), settings),
        core(IdentityOf(settings)),
        observed(core, observer),
        data(runtime.Io()),
        delivery(runtime.Io()),
        drops(observer),
        control(runtime.Io(), settings,
                Subscription{false, {}, {settings.application}},
                AnnouncementOf(settings, core.Identity()),
                {[this](const auto& views) { this->OnViews(views); },
                 [this](const std::string& member, const Error& error) {
                   this->drops.Count(DropReasonOf(error), "bad_control_message",
                                     member + ": " + error.message);
                 }}) {}

  Result<void> Run() {
    BOOST_OUTCOME_TRY(this->observer.Start([this](const InspectMessage& query) {
      return InspectAgent(this->core, this->settings.instance, query,
                          MonotonicNow(), WallNow());
    }));
    BOOST_OUTCOME_TRY(this->data.Open(this->settings.data_address));
    BOOST_OUTCOME_TRY(this->delivery.Open(this->settings.delivery.address));
    this->data.Start([this](Endpoint from, std::string_view bytes) {
      this->OnData(from, bytes);
    });
    this->delivery.Start([this](Endpoint from, std::string_view bytes) {
      this->OnUpstream(from, bytes);
    });
    BOOST_OUTCOME_TRY(this->control.Start());
    this->runtime.Every(kControlTick, [this] { this->control.Tick(); });
    this->runtime.Every(kTickPeriod, [this] { this->Tick(); });
    this->runtime.Every(kCountersPeriod,
                        [this] { this->LogCounters("agent_counters"); });
    this->runtime.Every(kGaugesPeriod,
                        [this] { this->observed.OnSecond(MonotonicNow()); });
    this->runtime.OnDrain([this] {
      this->observed.OnDrain();
      this->core.Drain();
      this->control.RequestDrain();
      this->runtime.Every(kDrainRequestPeriod, [this] {
        if (!this->control.DrainAccepted()) this->control.RequestDrain();
      });
    });
    LogLine("agent_started")
        .Add("application", this->settings.application)
        .Add("data_address", ToString(this->settings.data_address))
        .Add("incarnation", this->core.Identity().incarnation.Value());
    this->runtime.Run();
    this->LogCounters("agent_stopped");
    return boost::outcome_v2::success();
  }

 private:
  void OnViews(const std::vector<const ServiceView*>& views) {
    for (const ServiceView* view : views) {
      AgentOutput out;
      const Millis now = MonotonicNow();
      this->core.SetView(now, *view, &out);
      this->observed.OnView(now, *view);
      this->observed.OnOutput(now, out);
      this->Carry(std::move(out));
      LogLine("service_in_effect")
          .Add("service", view->name)
          .Add("revision", view->revision.Value())
          .Add("upstreams", view->upstreams.size());
    }
  }

  void LogCounters(const char* event) {
    const AgentCounters& counters = this->core.Counters();
    LogLine(event)
        .Add("open", this->core.OpenFlows())
        .Add("queued", this->core.Scheduler().QueuedCount())
        .Add("running", this->core.Scheduler().RunningCount())
        .Add("flows", counters.flows_accepted)
        .Add("started", counters.requests_started)
        .Add("answered", counters.requests_answered)
        .Add("refused", counters.requests_refused)
        .Add("duplicates", counters.duplicates)
        .Add("passed_to_second", counters.passed_to_second)
        .Add("handed_back", counters.handed_back)
        .Add("quarantined", counters.quarantined)
        .Add("wrong_incarnation", counters.dropped_wrong_incarnation)
        .Add("wrong_service", counters.dropped_wrong_service)
        .Add("hop_limit", counters.dropped_hop_limit)
        .Add("unknown_flow", counters.dropped_unknown_flow)
        .Add("no_lease", counters.dropped_no_lease)
        .Add("late_answer", counters.dropped_late_answer)
        .Add("pipelined", counters.dropped_pipelined);
  }

  // The decisions follow the lease: they may use it for the next ticks, and a
  // new incarnation starts with nothing gathered.
  void FollowLease() {
    const Incarnation present = this->control.CurrentIncarnation();
    if (present != this->core.Identity().incarnation) {
      LogLine("incarnation_replaced")
          .Warn()
          .Add("from", this->core.Identity().incarnation.Value())
          .Add("to", present.Value());
      this->observed.OnIncarnation(this->core.Identity().incarnation, present);
      this->core.Rejoin(present);
    }
    const bool may_decide = this->control.MayDecide();
    this->observed.OnLease(may_decide);
    if (may_decide) {
      this->core.SetLease(MonotonicNow() + kTickPeriod + kTickPeriod);
    }
  }

  void OnData(Endpoint from, std::string_view bytes) {
    Result<DataMessage> message = DecodeDataMessage(bytes);
    if (!message.has_value()) {
      this->drops.Count(DropReasonOf(message.error()), "bad_data_message",
                        ToString(from) + ": " + message.error().message);
      return;
    }
    const auto* forward = std::get_if<Forward>(&message.value());
    const FlowKey flow = forward == nullptr ? FlowKey() : forward->packet.flow;
    AgentOutput out;
    const Millis now = MonotonicNow();
    this->core.OnMessage(now, from, std::move(message.value()), &out);
    this->observed.OnOutput(now, out, flow);
    this->Carry(std::move(out));
  }

  void OnUpstream(Endpoint from, std::string_view bytes) {
    if (from != this->settings.delivery.upstream) {
      this->drops.Count(DropReason::kUnmatched, "unexpected_upstream",
                        ToString(from));
      return;
    }
    Result<Encapsulated> packet = DecodeEncapsulated(bytes);
    if (!packet.has_value()) {
      this->drops.Count(DropReasonOf(packet.error()), "bad_upstream_packet",
                        packet.error().message);
      return;
    }
    const Result<AnswerInfo> answer = this->plugin.read_answer(packet.value());
    if (!answer.has_value()) {
      this->drops.Count(DropReasonOf(answer.error()), "bad_answer",
                        answer.error().message);
      return;
    }
    AgentOutput out;
    const Millis now = MonotonicNow();
    this->core.OnAnswer(now, answer.value(), std::move(packet.value().payload),
                        &out);
    this->observed.OnOutput(now, out, answer.value().flow);
    this->Carry(std::move(out));
  }

  void Tick() {
    this->FollowLease();
    AgentOutput out;
    const Millis now = MonotonicNow();
    this->core.Tick(now, &out);
    this->observed.OnOutput(now, out);
    this->Carry(std::move(out));
    if (this->core.Draining()) this->StopWhenDrained();
  }

  void StopWhenDrained() {
    if (!this->core.Idle() || this->core.OpenFlows() > 0) {
      this->idle_since.reset();
      return;
    }
    const Millis now = MonotonicNow();
    if (!this->idle_since.has_value()) this->idle_since = now;
    if (now - *this->idle_since < kDrainLinger) return;
    if (this->control.HasLeft() || now - *this->idle_since > kLeaveTimeout) {
      this->observed.OnLeft();
      this->runtime.Stop();
    } else if (now >= this->next_leave) {
      this->next_leave = now + kLeavePeriod;
      this->control.Leave();
    }
  }

  void Carry(AgentOutput out) {
    for (SendMessage& send : out.sends) {
      this->data.Send(send.to, Encode(send.message));
    }
    for (UpstreamPacket& packet : out.upstream) {
      const Result<Encapsulated> wrapped =
          packet.action == UpstreamAction::kCancel
              ? this->plugin.cancel(packet.packet, packet.payload)
              : this->plugin.encapsulate(packet.packet,
                                         std::move(packet.payload));
      if (!wrapped.has_value()) {
        this->drops.Count(DropReasonOf(wrapped.error()), "unwrapped_packet",
                          wrapped.error().message, packet.packet.flow);
        continue;
      }
      this->delivery.Send(this->settings.delivery.upstream,
                          Encode(wrapped.value()));
    }
  }

  const Settings& settings;
  const DeliveryPlugin& plugin;
  Runtime runtime;
  ProcessObserver observer;
  Agent core;
  AgentObserver observed;
  DatagramSocket data;
  DatagramSocket delivery;
  DropLog drops;
  ControlClient control;
  std::optional<Millis> idle_since;
  Millis next_leave;
};

}  // namespace

Result<void> RunAgent(const Settings& settings) {
  const DeliveryPlugin* plugin =
      DeliveryRegistry::Global().Find(settings.delivery.plugin);
  if (plugin == nullptr) {
    return Error{
        ErrorCode::kInvalidArgument,
        "delivery.plugin \"" + settings.delivery.plugin + "\" is not built in"};
  }
  AgentRole role(settings, *plugin);
  return role.Run();
}

}  // namespace cornelhill
