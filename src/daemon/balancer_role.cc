#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cornelhill/base/log.h"
#include "cornelhill/daemon/control_client.h"
#include "cornelhill/daemon/drop_log.h"
#include "cornelhill/daemon/process_observer.h"
#include "cornelhill/daemon/roles.h"
#include "cornelhill/ingress/ingress.h"
#include "cornelhill/node/datagram_socket.h"
#include "cornelhill/node/runtime.h"
#include "cornelhill/route/balancer.h"
#include "cornelhill/wire/data_codec.h"

namespace cornelhill {

namespace {

// How long a draining balancer goes on: the fabric needs time to stop sending,
// and answers in transit come back.
constexpr Millis kDrainPeriod(3000);

// One ingress socket with the thread that serves it.
struct IngressWorker {
  explicit IngressWorker(ProcessObserver& observer) : drops(observer) {}

  boost::asio::io_context io;
  DatagramSocket socket{io};
  DropLog drops;
  std::thread thread;
};

class BalancerRole {
 public:
  BalancerRole(const Settings& settings, const IngressPlugin& plugin)
      : settings(settings),
        plugin(plugin),
        observer(runtime.Io(), settings),
        core(settings.flow_cache_entries),
        data(runtime.Io()),
        drops(observer),
        control(runtime.Io(), settings, Subscription{true, {}, {}},
                std::nullopt,
                {[this](const auto& views) { this->OnViews(views); },
                 [this](const std::string& member, const Error& error) {
                   this->drops.Count(DropReasonOf(error), "bad_control_message",
                                     member + ": " + error.message);
                 }}) {}

  Result<void> Run() {
    BOOST_OUTCOME_TRY(this->observer.Start());
    BOOST_OUTCOME_TRY(this->data.Open(this->settings.data_address));
    this->data.Start([this](Endpoint from, std::string_view bytes) {
      this->OnData(from, bytes);
    });
    for (uint32_t i = 0; i < this->settings.ingress.threads; ++i) {
      this->workers.emplace_back(this->observer);
      IngressWorker& worker = this->workers.back();
      BOOST_OUTCOME_TRY(
          worker.socket.Open(this->settings.ingress.address, true));
      worker.socket.Start([this, &worker](Endpoint, std::string_view bytes) {
        this->OnTunnel(worker, bytes);
      });
    }
    BOOST_OUTCOME_TRY(this->control.Start());
    this->runtime.Every(kControlTick, [this] { this->control.Tick(); });
    this->runtime.OnDrain([this] {
      this->observer.Record(EventKind::kProcessStopping);
      this->runtime.Every(kDrainPeriod, [this] { this->runtime.Stop(); });
    });
    for (IngressWorker& worker : this->workers) {
      worker.thread = std::thread([&worker] { worker.io.run(); });
    }
    LogLine("balancer_started")
        .Add("data_address", ToString(this->settings.data_address))
        .Add("ingress", this->settings.ingress.plugin);
    this->runtime.Run();
    for (IngressWorker& worker : this->workers) {
      worker.io.stop();
      worker.thread.join();
    }
    LogLine("balancer_stopped");
    return boost::outcome_v2::success();
  }

 private:
  void OnViews(const std::vector<const ServiceView*>& views) {
    for (const ServiceView* view : views) {
      if (!this->core.SetView(*view)) continue;
      this->observer.ViewInEffect(*view);
      LogLine("service_in_effect")
          .Add("service", view->name)
          .Add("revision", view->revision.Value())
          .Add("upstreams", view->upstreams.size());
    }
  }

  // Runs on the worker's thread.
  void OnTunnel(IngressWorker& worker, std::string_view bytes) {
    Result<Encapsulated> tunnel = DecodeEncapsulated(bytes);
    if (!tunnel.has_value()) {
      worker.drops.Count(DropReasonOf(tunnel.error()), "bad_tunnel_packet",
                         tunnel.error().message);
      return;
    }
    Result<PacketInfo> packet = this->plugin.read(tunnel.value());
    if (!packet.has_value()) {
      worker.drops.Count(DropReasonOf(packet.error()), "bad_packet",
                         packet.error().message);
      return;
    }
    RouteDrop drop = RouteDrop::kUnknownService;
    const auto decision = this->core.Route(packet.value().flow, &drop);
    if (!decision.has_value()) {
      const bool unknown = drop == RouteDrop::kUnknownService;
      worker.drops.Count(
          unknown ? DropReason::kUnknownService : DropReason::kNoUpstream,
          unknown ? "unknown_service" : "no_upstream",
          ToString(packet.value().flow.service), packet.value().flow);
      return;
    }
    if (ServiceMetrics* metrics =
            this->observer.FindService(decision->service.id)) {
      metrics->PacketReceived();
    }
    Forward forward;
    forward.service = decision->service;
    forward.packet = packet.value();
    forward.balancer = this->settings.data_address;
    forward.target_incarnation = decision->target;
    forward.payload = std::move(tunnel.value().payload);
    worker.socket.Send(decision->agent,
                       Encode(DataMessage(std::move(forward))));
  }

  void OnData(Endpoint from, std::string_view bytes) {
    Result<DataMessage> message = DecodeDataMessage(bytes);
    if (!message.has_value()) {
      this->drops.Count(DropReasonOf(message.error()), "bad_data_message",
                        ToString(from) + ": " + message.error().message);
      return;
    }
    if (auto* answer = std::get_if<Return>(&message.value())) {
      this->OnReturn(std::move(*answer));
    } else if (const auto* hint = std::get_if<OwnerHint>(&message.value())) {
      this->core.OnOwnerHint(*hint);
    } else {
      this->drops.Count(DropReason::kUnmatched, "unexpected_data_message",
                        ToString(from));
    }
  }

  void CountAnswer(const FlowKey& flow) {
    const auto route = this->core.Services().Find(flow.service);
    if (route == nullptr) return;
    if (ServiceMetrics* metrics = this->observer.FindService(route->view.id)) {
      metrics->AnswerPacketSent();
    }
  }

  void OnReturn(Return answer) {
    this->CountAnswer(answer.flow);
    if (!answer.refused) {
      this->data.Send(
          this->settings.ingress.fabric,
          Encode(Encapsulated{answer.flow, std::move(answer.payload)}));
      return;
    }
    PacketInfo original;
    original.flow = answer.flow;
    original.nonce = answer.nonce;
    original.request = answer.request;
    const Result<Encapsulated> refusal =
        this->plugin.refuse(original, answer.refusal, answer.payload);
    if (!refusal.has_value()) {
      this->drops.Count(DropReasonOf(refusal.error()), "unrendered_refusal",
                        refusal.error().message, answer.flow);
      return;
    }
    this->data.Send(this->settings.ingress.fabric, Encode(refusal.value()));
  }

  const Settings& settings;
  const IngressPlugin& plugin;
  Runtime runtime;
  ProcessObserver observer;
  Balancer core;
  DatagramSocket data;
  DropLog drops;
  std::list<IngressWorker> workers;
  ControlClient control;
};

}  // namespace

Result<void> RunBalancer(const Settings& settings) {
  const IngressPlugin* plugin =
      IngressRegistry::Global().Find(settings.ingress.plugin);
  if (plugin == nullptr) {
    return Error{
        ErrorCode::kInvalidArgument,
        "ingress.plugin \"" + settings.ingress.plugin + "\" is not built in"};
  }
  BalancerRole role(settings, *plugin);
  return role.Run();
}

}  // namespace cornelhill
