#include <string>
#include <utility>

#include "cornelhill/base/log.h"
#include "cornelhill/node/core_link.h"
#include "cornelhill/node/datagram_socket.h"
#include "cornelhill/node/http_server.h"
#include "cornelhill/node/node_metrics.h"
#include "cornelhill/node/node_roles.h"
#include "cornelhill/node/one_shot_timer.h"
#include "cornelhill/node/runtime.h"
#include "cornelhill/node/settings_watch.h"
#include "cornelhill/segment/segment_agent.h"
#include "node/dropped_message.h"

namespace cornelhill {

namespace {

constexpr Millis kTickPeriod{1000};
constexpr Millis kPendingTickPeriod{10};
// Short requests in progress finish within this time; long flows are recovered
// by the next start of the agent.
constexpr Millis kDrainPeriod{400};
// In tenths of a heartbeat period: an upstream that has missed three and a half
// heartbeats gets no new flows.
constexpr int64_t kReportTimeoutTenths = 35;
// In tenths of a heartbeat period: a live upstream reports within the first or
// the second heartbeat after its agent starts.
constexpr int64_t kFirstReportTimeoutTenths = 25;
constexpr Millis kCountersPeriod{10000};

// A start is stated in Unix time, which may differ between instances by
// seconds. A report of a start far in the future would hide every later one.
constexpr Millis kMaxStartAhead{3600000};

// The start of a process that starts now.
Incarnation StartNow() {
  return Incarnation(static_cast<uint64_t>(WallNow().Count()));
}

SegmentAgentSettings AgentSettings(const NodeSettings& settings,
                                   const PlatformFormats& formats) {
  SegmentAgentSettings out;
  out.incarnation = StartNow();
  out.address = settings.DataAddress();
  out.upstream = *settings.upstream;
  out.service = settings.service;
  out.failure_domain = settings.failure_domain;
  out.format = formats.segment;
  out.flow_lifetime = settings.flow_lifetime;
  out.report_timeout =
      Millis(settings.heartbeat.Count() * kReportTimeoutTenths / 10);
  out.first_report_timeout =
      Millis(settings.heartbeat.Count() * kFirstReportTimeoutTenths / 10);
  return out;
}

class SidecarRole {
 public:
  SidecarRole(const NodeSettings& settings, const PlatformFormats& formats)
      : settings(settings),
        formats(formats),
        agent(AgentSettings(settings, formats), MonotonicNow()),
        data(runtime.Io()),
        outbound(runtime.Io()),
        reports(runtime.Io(), this->MakeRequestHandler()),
        ready(runtime.Io(), this->MakeRequestHandler()),
        link(runtime, settings,
             {[this] { return this->MakeHello(); }, [](const Update&) {}}),
        watch(runtime, settings,
              [this](const auto& seeds) { this->link.SetSeeds(seeds); }),
        metrics(runtime.Io(), "sidecar"),
        pending_timer(runtime, kPendingTickPeriod, [this] { this->Tick(); }) {}

  Result<void> Run() {
    BOOST_OUTCOME_TRY(this->data.Open(this->settings.DataAddress()));
    BOOST_OUTCOME_TRY(this->outbound.Open(*this->settings.outbound));
    BOOST_OUTCOME_TRY(this->reports.Listen(*this->settings.operators));
    if (this->settings.ready.has_value()) {
      BOOST_OUTCOME_TRY(this->ready.Listen(*this->settings.ready));
    }
    const auto flush = [this] { this->Flush(); };
    this->data.Start(
        [this](Endpoint from, std::string_view bytes) {
          this->OnData(from, bytes);
        },
        flush);
    this->outbound.Start(
        [this](Endpoint, std::string_view bytes) {
          SegmentAgentOutput out;
          this->agent.OnUpstreamPacket(MonotonicNow(), std::string(bytes),
                                       &out);
          this->HandleOutput(std::move(out));
        },
        flush);
    this->link.Start();
    this->watch.Start();
    BOOST_OUTCOME_TRY(this->metrics.Start(this->settings.metrics,
                                          [this] { this->SetGauges(); }));
    this->runtime.Every(kTickPeriod, [this] { this->Tick(); });
    this->runtime.Every(kCountersPeriod, [this] { this->LogState(); });
    this->runtime.OnDrain([this] {
      SegmentAgentOutput out;
      this->agent.Drain(MonotonicNow(), &out);
      this->HandleOutput(std::move(out));
      this->Flush();
      this->link.SendHello();
      this->runtime.Every(kDrainPeriod, [this] { this->runtime.Stop(); });
    });
    LogLine("process_started")
        .Add("role", "sidecar")
        .Add("service", this->settings.service)
        .Add("upstream", ToString(*this->settings.upstream))
        .Add("data", ToString(this->settings.DataAddress()));
    this->runtime.Run();
    EndProcess("sidecar");
  }

 private:
  HttpServer::Handler MakeRequestHandler() {
    return
        [this](const HttpRequest& request, const HttpServer::Respond& respond) {
          this->OnRequest(request, respond);
        };
  }

  Hello MakeHello() const {
    Hello hello;
    hello.agent.push_back(this->agent.Record(MonotonicNow()));
    return hello;
  }

  void OnRequest(const HttpRequest& request,
                 const HttpServer::Respond& respond) {
    const ApiRequest call = this->formats.api.read(request);
    if (const auto* report = std::get_if<UpstreamReport>(&call)) {
      this->OnReport(*report, respond);
    } else if (const auto* left = std::get_if<UpstreamLeft>(&call)) {
      this->OnLeave(*left, respond);
    } else if (std::holds_alternative<ReadyQuery>(call)) {
      respond({200, {}, {}});
    } else if (const auto* error = std::get_if<ApiErrorResponse>(&call)) {
      LogLine("request_refused")
          .Warn()
          .Add("target", request.target.substr(0, 100))
          .Add("detail", error->message);
      respond({error->status, this->formats.api.error(error->message), {}});
    } else {
      respond({404,
               this->formats.api.error("request is not supported by this role"),
               {}});
    }
  }

  void OnLeave(const UpstreamLeft& left, const HttpServer::Respond& respond) {
    const bool in_force = this->agent.OnLeave(left.id, left.incarnation);
    LogLine line(in_force ? "upstream_left" : "departure_refused");
    line.Add("upstream", left.id)
        .Add("state", ToString(this->agent.State(MonotonicNow())));
    if (left.incarnation.has_value()) {
      line.Add("incarnation", left.incarnation->Value());
    }
    if (!in_force) {
      respond({409,
               this->formats.api.error("another upstream or start is known"),
               {}});
      return;
    }
    this->link.SendHello();
    respond({200, "{}", {}});
  }

  void OnReport(const UpstreamReport& report,
                const HttpServer::Respond& respond) {
    if (report.incarnation.Value() >
        StartNow().Value() + static_cast<uint64_t>(kMaxStartAhead.Count())) {
      this->RefuseReport(report, 400, "start_in_future", respond);
      return;
    }
    const Millis now = MonotonicNow();
    const UpstreamState before = this->agent.State(now);
    const ReportVerdict verdict = this->agent.OnReport(now, report);
    if (!IsInForce(verdict)) {
      this->RefuseReport(report, 409, ToString(verdict), respond);
      return;
    }
    respond({200, "{}", {}});
    const UpstreamState after = this->agent.State(now);
    if (before == after && verdict == ReportVerdict::kAccepted) return;
    LogLine(verdict == ReportVerdict::kAccepted ? "upstream_state"
                                                : "report_outdated")
        .Add("upstream", report.id)
        .Add("incarnation", report.incarnation.Value())
        .Add("sequence", report.sequence)
        .Add("from", ToString(before))
        .Add("to", ToString(after));
    this->link.SendHello();
  }

  void RefuseReport(const UpstreamReport& report, uint32_t status,
                    std::string_view reason,
                    const HttpServer::Respond& respond) {
    LogLine("report_refused")
        .Warn()
        .Add("upstream", report.id)
        .Add("service", report.service)
        .Add("address", ToString(report.address))
        .Add("incarnation", report.incarnation.Value())
        .Add("sequence", report.sequence)
        .Add("reported", ToString(report.state))
        .Add("state", ToString(this->agent.State(MonotonicNow())))
        .Add("reason", reason);
    respond({status,
             this->formats.api.error("report changes nothing: " +
                                     std::string(reason)),
             {}});
  }

  void OnData(const Endpoint& from, std::string_view bytes) {
    Result<SegmentMessage> message = DecodeSegmentMessage(bytes);
    if (!message.has_value()) {
      LogDropped(message.error(), ToString(from));
      return;
    }
    SegmentAgentOutput out;
    this->agent.OnPeerMessage(MonotonicNow(), from, std::move(message.value()),
                              &out);
    this->HandleOutput(std::move(out));
  }

  void Flush() {
    this->outbound.Flush();
    this->data.Flush();
  }

  // Queues messages and packets; a `Flush` must follow.
  void HandleOutput(SegmentAgentOutput out) {
    for (std::string& datagram : out.upstream) {
      this->outbound.Queue(*this->settings.upstream, std::move(datagram));
    }
    for (CallerPacket& send : out.callers) {
      this->data.Queue({send.caller.address, this->settings.packets->port},
                       std::move(send.datagram));
    }
    for (PeerMessage& send : out.peers) {
      this->data.Queue(send.to, Encode(std::move(send.message)));
    }
    for (const AgentDecision& decision : out.decisions) this->Log(decision);
    for (const Millis time : out.first_replies) {
      this->metrics.ObserveDuration("cornelhill_node_first_reply_seconds",
                                    time);
    }
    for (const Millis time : out.answers) {
      this->metrics.ObserveDuration("cornelhill_node_answer_seconds", time);
    }
    for (const Millis time : out.waits) {
      this->metrics.ObserveDuration("cornelhill_node_admission_wait_seconds",
                                    time);
    }
    if (this->agent.HasPendingWork()) this->pending_timer.Arm();
  }

  void SetGauges() {
    this->metrics.SetGauge("cornelhill_node_flows",
                           static_cast<double>(this->agent.OpenFlows()));
    this->metrics.SetGauge("cornelhill_node_busy", this->agent.BusyFlows());
    this->metrics.SetGauge("cornelhill_node_waiting",
                           static_cast<double>(this->agent.WaitingFlows()));
    this->metrics.SetGauge("cornelhill_node_flow_limit",
                           this->agent.FlowLimit());
    this->metrics.SetGauge(
        "cornelhill_node_expected_wait_seconds",
        static_cast<double>(this->agent.ExpectedWait().Count()) / 1000);
    this->metrics.SetGauge(
        "cornelhill_node_upstream_state",
        static_cast<double>(this->agent.State(MonotonicNow())));
    this->metrics.SetGauge("cornelhill_node_core_connected",
                           this->link.Connected() ? 1 : 0);
  }

  void Log(const AgentDecision& decision) {
    this->metrics.CountDecision(ToString(decision.kind),
                                ToString(decision.refusal));
    if (decision.kind == AgentDecisionKind::kFlowAccepted) return;
    LogLine line(ToString(decision.kind));
    line.Add("caller", ToString(decision.flow.caller))
        .Add("listener", ToString(decision.flow.listener));
    if (decision.refusal != OfferRefusal::kNone) {
      line.Add("refusal", ToString(decision.refusal));
    }
    if (decision.kind == AgentDecisionKind::kSearchFailed) {
      line.Add("balancer", ToString(decision.balancer))
          .Add("unanswered", decision.unanswered_count)
          .Add("agent", ToString(decision.agent));
      return;
    }
    line.Add("state", ToString(decision.state))
        .Add("busy", decision.busy)
        .Add("waiting", decision.waiting)
        .Add("flow_limit", decision.flow_limit)
        .Add("expected_wait_ms", decision.expected_wait.Count())
        .Add("report_age_ms", decision.report_age.Count());
  }

  void Tick() {
    SegmentAgentOutput out;
    this->agent.Tick(MonotonicNow(), &out);
    this->HandleOutput(std::move(out));
    this->Flush();
  }

  void LogState() const {
    LogLine("sidecar_state")
        .Add("state", ToString(this->agent.State(MonotonicNow())))
        .Add("open", this->agent.OpenFlows())
        .Add("busy", this->agent.BusyFlows())
        .Add("waiting", this->agent.WaitingFlows())
        .Add("flow_limit", this->agent.FlowLimit())
        .Add("expected_wait_ms", this->agent.ExpectedWait().Count());
  }

  const NodeSettings& settings;
  const PlatformFormats& formats;
  Runtime runtime;
  SegmentAgent agent;
  DatagramSocket data;
  DatagramSocket outbound;
  HttpServer reports;
  HttpServer ready;
  CoreLink link;
  SettingsWatch watch;
  NodeMetrics metrics;
  OneShotTimer pending_timer;
};

}  // namespace

Result<void> RunSidecar(const NodeSettings& settings,
                        const PlatformFormats& formats) {
  SidecarRole role(settings, formats);
  return role.Run();
}

}  // namespace cornelhill
