#include <boost/asio/post.hpp>
#include <map>
#include <string>
#include <utility>

#include "cornelhill/base/log.h"
#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/control_state.h"
#include "cornelhill/daemon/message_node.h"
#include "cornelhill/daemon/roles.h"
#include "cornelhill/daemon/runtime.h"

namespace cornelhill {

namespace {

constexpr Millis kTickPeriod(100);
constexpr Millis kLeaseDuration(5000);
constexpr Millis kChildTimeout(5000);

// A process that sends digests.
struct Child {
  SpreadDigest digest;
  Millis last_seen;
};

// The first control instance of the settings writes; the others only listen.
class ControlRole {
 public:
  explicit ControlRole(const Settings& settings)
      : settings(settings),
        writes(settings.control.front().name == settings.member),
        node(settings.instance,
             {[this](const std::string& peer, std::string bytes) {
                boost::asio::post(this->runtime.Io(),
                                  [this, peer, bytes = std::move(bytes)] {
                                    this->OnMessage(peer, bytes);
                                  });
              },
              nullptr}) {}

  Result<void> Run() {
    for (const ControlMember& member : this->settings.control) {
      if (member.name != this->settings.member) continue;
      BOOST_OUTCOME_TRY(this->node.Bind(member.address));
    }
    this->node.Start();
    this->runtime.Every(kTickPeriod, [this] { this->Tick(); });
    LogLine("control_started").Add("writes", this->writes ? 1 : 0);
    this->runtime.Run();
    this->node.Stop();
    LogLine("control_stopped")
        .Add("revision", this->state.CurrentRevision().Value());
    return boost::outcome_v2::success();
  }

 private:
  void OnMessage(const std::string& peer, const std::string& bytes) {
    const Result<ControlMessage> message = DecodeControlMessage(bytes);
    if (!message.has_value()) {
      this->drops.Count("bad_control_message", message.error().message);
      return;
    }
    if (!this->writes) return;
    if (const auto* digest = std::get_if<SpreadDigest>(&message.value())) {
      this->children[peer] = {*digest, MonotonicNow()};
      this->SendUpdate(peer, *digest);
    } else if (const auto* joined =
                   std::get_if<Announcement>(&message.value())) {
      this->OnAnnouncement(peer, *joined);
    } else if (const auto* request =
                   std::get_if<OperatorRequest>(&message.value())) {
      this->OnOperator(peer, *request);
    }
  }

  CommandResponse Apply(const Command& command) {
    const Revision next(this->state.CurrentRevision().Value() + 1);
    const CommandResponse response = this->state.Apply(next, command);
    LogLine("command_applied")
        .Add("revision", response.revision.Value())
        .Add("outcome", static_cast<int>(response.outcome))
        .Add("request", command.request_id);
    for (const auto& [peer, child] : this->children) {
      this->SendUpdate(peer, child.digest);
    }
    return response;
  }

  void SendUpdate(const std::string& peer, const SpreadDigest& digest) {
    SpreadUpdate update;
    update.sender = this->settings.instance_id;
    update.number = digest.number;
    update.update =
        this->state.Store().UpdateSince(digest.revision, digest.subscription);
    update.subscription_hash = digest.subscription_hash;
    this->node.Reply(peer, Encode(ControlMessage(update)));
  }

  void OnAnnouncement(const std::string& peer, const Announcement& announced) {
    const Millis now = MonotonicNow();
    RenewalAck ack;
    ack.instance = announced.instance;
    ack.incarnation = announced.incarnation;
    ack.sequence = announced.sequence;
    const Incarnation known = this->state.LastIncarnation(announced.instance);
    const auto lease = this->leases.find(announced.instance);
    const bool held =
        lease != this->leases.end() && announced.incarnation == known;
    if (announced.incarnation < known ||
        (announced.incarnation == known && !held)) {
      ack.status = RenewalStatus::kRefused;
    } else {
      if (!held) this->Join(announced);
      this->leases[announced.instance] = {announced.incarnation,
                                          now + kLeaseDuration};
    }
    this->node.Reply(peer, Encode(ControlMessage(ack)));
  }

  void Join(const Announcement& announced) {
    Command command;
    command.request_id = "join-" + std::to_string(announced.instance.Value()) +
                         "-" + std::to_string(announced.incarnation.Value());
    UpstreamJoin join{announced};
    join.announcement.sequence = 0;
    command.body = join;
    this->Apply(command);
  }

  void OnOperator(const std::string& peer, const OperatorRequest& request) {
    OperatorResponse response;
    response.request_id = request.request_id;
    switch (request.kind) {
      case OperatorRequestKind::kApply:
        this->ApplyFor(request,
                       PutDeclaration{request.base, request.declaration},
                       &response);
        break;
      case OperatorRequestKind::kDrain:
        this->ApplyFor(request, UpstreamDrain{request.instance, true},
                       &response);
        break;
      case OperatorRequestKind::kUndrain:
        this->ApplyFor(request, UpstreamDrain{request.instance, false},
                       &response);
        break;
      case OperatorRequestKind::kUpstreams:
        for (const ServiceView* view : this->state.Store().Views()) {
          response.upstreams.insert(response.upstreams.end(),
                                    view->upstreams.begin(),
                                    view->upstreams.end());
        }
        break;
      default:
        break;
    }
    response.revision = this->state.CurrentRevision();
    response.declaration_revision = this->state.DeclarationChange().revision;
    response.declaration = this->state.CurrentDeclaration();
    this->node.Reply(peer, Encode(ControlMessage(response)));
  }

  template <typename Body>
  void ApplyFor(const OperatorRequest& request, Body body,
                OperatorResponse* response) {
    Command command;
    command.request_id = request.request_id;
    command.operator_name = request.operator_name;
    command.body = std::move(body);
    const CommandResponse applied = this->Apply(command);
    response->message = applied.message;
    response->lost_to = applied.lost_to;
    switch (applied.outcome) {
      case CommandOutcome::kApplied:
        response->outcome = OperatorOutcome::kOk;
        break;
      case CommandOutcome::kUnchanged:
        response->outcome = OperatorOutcome::kUnchanged;
        break;
      case CommandOutcome::kConflict:
        response->outcome = OperatorOutcome::kConflict;
        break;
      case CommandOutcome::kNotFound:
        response->outcome = OperatorOutcome::kNotFound;
        break;
      case CommandOutcome::kInvalid:
      case CommandOutcome::kStaleIncarnation:
        response->outcome = OperatorOutcome::kInvalid;
        break;
    }
  }

  void Tick() {
    const Millis now = MonotonicNow();
    std::erase_if(this->children, [now](const auto& item) {
      return now - item.second.last_seen > kChildTimeout;
    });
    std::vector<InstanceId> expired;
    for (const auto& [instance, lease] : this->leases) {
      if (lease.until <= now) expired.push_back(instance);
    }
    for (const InstanceId instance : expired) this->Leave(instance);
  }

  void Leave(InstanceId instance) {
    const Incarnation incarnation = this->leases.at(instance).incarnation;
    this->leases.erase(instance);
    Command command;
    command.request_id = "leave-" + std::to_string(instance.Value()) + "-" +
                         std::to_string(incarnation.Value());
    command.body = UpstreamLeave{instance, incarnation};
    this->Apply(command);
  }

  struct Lease {
    Incarnation incarnation;
    Millis until;
  };

  const Settings& settings;
  bool writes;
  Runtime runtime;
  MessageNode node;
  DropLog drops;
  ControlState state;
  std::map<std::string, Child> children;
  std::map<InstanceId, Lease> leases;
};

}  // namespace

Result<void> RunControl(const Settings& settings) {
  ControlRole role(settings);
  return role.Run();
}

}  // namespace cornelhill
