#include "cornelhill/node/operator_api.h"

#include <utility>

#include "cornelhill/base/hash.h"
#include "cornelhill/base/log.h"
#include "cornelhill/control/core_membership.h"

namespace cornelhill {

OperatorApi::OperatorApi(const NodeSettings& settings,
                         const PlatformFormats& formats, NodeMetrics& metrics,
                         Core core, uint64_t seed)
    : settings(settings),
      formats(formats),
      metrics(metrics),
      core(std::move(core)),
      random(seed) {}

void OperatorApi::Refuse(const HttpServer::Respond& respond, uint32_t status,
                         const std::string& detail) const {
  respond({status, this->formats.api.error(detail), {}});
}

void OperatorApi::OnRequest(const HttpRequest& request,
                            const HttpServer::Respond& respond) {
  const ApiRequest call = this->formats.api.read(request);
  if (const auto* refusal = std::get_if<ApiErrorResponse>(&call)) {
    LogLine("request_refused")
        .Warn()
        .Add("target", request.target.substr(0, 100))
        .Add("status", refusal->status)
        .Add("detail", refusal->message);
    this->Refuse(respond, refusal->status, refusal->message);
    return;
  }
  const auto* put = std::get_if<ListenerPut>(&call);
  if (put == nullptr && !std::holds_alternative<ListenerGet>(call)) {
    this->Refuse(respond, 404, "not served here");
    return;
  }
  if (this->draining) {
    this->Refuse(respond, 503, "this instance is shutting down");
  } else if (!this->core.is_leader()) {
    this->Redirect(request, respond);
  } else if (put != nullptr) {
    this->HandlePut(*put, respond);
  } else {
    this->HandleGet(respond);
  }
}

void OperatorApi::RedirectTo(const Endpoint& member, const HttpRequest& request,
                             const HttpServer::Respond& respond) {
  const Endpoint to{member.address, this->settings.operators->port};
  LogLine("request_redirected")
      .Add("method", request.method)
      .Add("member", ToString(to));
  respond({307, {}, "http://" + ToString(to) + request.target, {}});
}

void OperatorApi::Redirect(const HttpRequest& request,
                           const HttpServer::Respond& respond) {
  const ControlLog* log = this->core.log();
  if (log != nullptr) {
    const ReplicaStatus status = log->Status(MonotonicNow());
    const Member* leader = FindMember(status.membership, status.leader);
    const Result<CoreAddress> address =
        ParseCoreAddress(leader == nullptr ? std::string() : leader->address);
    if (address.has_value() && status.leader != status.self) {
      this->RedirectTo(address.value().endpoint, request, respond);
      return;
    }
  }
  const std::vector<std::string> members = this->core.member_addresses();
  if (log == nullptr && !members.empty()) {
    const Result<CoreAddress> member =
        ParseCoreAddress(members[this->random.Below(members.size())]);
    if (member.has_value() &&
        member.value().endpoint != this->settings.CoreAddress()) {
      this->RedirectTo(member.value().endpoint, request, respond);
      return;
    }
  }
  LogLine("request_not_decided")
      .Warn()
      .Add("method", request.method)
      .Add("log_open", log == nullptr ? 0 : 1);
  this->Refuse(respond, 503, "no leader is known");
}

void OperatorApi::HandlePut(const ListenerPut& put,
                            const HttpServer::Respond& respond) {
  ControlLog* log = this->core.log();
  const Millis now = MonotonicNow();
  const uint64_t current = log->State().Listeners().version;
  const auto record_outcome = [this, put, current,
                               now](std::string_view outcome) {
    this->metrics.CountDecision("order", outcome);
    this->metrics.ObserveDuration("cornelhill_node_order_seconds",
                                  MonotonicNow() - now);
    LogLine("order")
        .Add("version", put.version)
        .Add("held", current)
        .Add("outcome", outcome);
  };
  if (put.version <= current) {
    log->ConfirmLeadership(
        now, [this, respond, record_outcome](std::optional<Millis> started) {
          record_outcome(started.has_value() ? "superseded" : "unconfirmed");
          if (started.has_value()) {
            respond({200, "{}", {}});
          } else {
            this->Refuse(respond, 503,
                         "this instance cannot confirm that it is the leader");
          }
        });
    this->core.publish_committed();
    return;
  }
  const size_t voters = VoterCount(log->Status(now).membership);
  const size_t required = 2 * this->settings.tolerated_failures + 1;
  if (voters < required) {
    // A smaller group could lose what it acknowledges together with disks that
    // may be lost.
    record_outcome("group_incomplete");
    this->Refuse(respond, 503,
                 "the group has " + std::to_string(voters) + " of " +
                     std::to_string(required) + " voters");
    return;
  }
  Command command;
  command.request_id = "listeners-" + std::to_string(put.version) + "-" +
                       std::to_string(Hash64(put.document));
  command.operator_name = "operator";
  command.body = PutListeners{put.version, put.document};
  log->Propose(
      now, command,
      [this, respond, record_outcome](const Result<CommandResponse>& response) {
        if (response.has_value()) {
          record_outcome("accepted");
          respond({200, "{}", {}});
        } else {
          record_outcome("failed");
          this->Refuse(respond, 503, response.error().message);
        }
      });
  this->core.publish_committed();
}

void OperatorApi::HandleGet(const HttpServer::Respond& respond) {
  ControlLog* log = this->core.log();
  log->ConfirmLeadership(MonotonicNow(), [this, respond,
                                          log](std::optional<Millis> started) {
    const PutListeners& current = log->State().Listeners();
    if (!started.has_value() || current.version == 0) {
      this->Refuse(respond, 503,
                   started.has_value()
                       ? "no listener configuration is committed yet"
                       : "this instance cannot confirm that it is the leader");
      return;
    }
    respond({200, current.document, {}});
  });
  this->core.publish_committed();
}

}  // namespace cornelhill
