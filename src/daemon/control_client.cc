#include "cornelhill/daemon/control_client.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "cornelhill/base/hash.h"
#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/operator_session.h"

namespace cornelhill {

namespace {

SpreadMember SelfMember(const Settings& settings) {
  SpreadMember self;
  self.id = settings.instance_id;
  self.endpoint = settings.data_address;
  self.region = static_cast<uint32_t>(Hash64(settings.region));
  self.failure_domain =
      FailureDomainId(static_cast<uint32_t>(Hash64(settings.failure_domain)));
  return self;
}

// The control instances as parents in the distribution tree.
std::vector<SpreadMember> ControlMembers(const Settings& settings) {
  std::vector<SpreadMember> members;
  for (const ControlMember& control : settings.control) {
    SpreadMember member;
    member.id = InstanceId(Hash64(control.name));
    member.endpoint = control.address;
    member.control = true;
    members.push_back(member);
  }
  return members;
}

// The control instances as collectors: they gather renewals of every failure
// domain as long as the processes do not know each other.
std::vector<SpreadMember> Collectors(const Settings& settings) {
  std::vector<SpreadMember> members = ControlMembers(settings);
  for (SpreadMember& member : members) {
    member.control = false;
    member.failure_domain = SelfMember(settings).failure_domain;
  }
  return members;
}

}  // namespace

ControlClient::ControlClient(boost::asio::io_context& io,
                             const Settings& settings,
                             const Subscription& subscription,
                             const std::optional<Announcement>& announcement,
                             Handlers handlers)
    : io(io),
      settings(settings),
      handlers(std::move(handlers)),
      node(settings.instance,
           {nullptr,
            [this](const std::string& member, std::string bytes) {
              boost::asio::post(this->io,
                                [this, member, bytes = std::move(bytes)] {
                                  this->OnMessage(member, bytes);
                                });
            }}),
      spread(MonotonicNow(), SelfMember(settings), subscription, RandomSeed()) {
  const Millis now = MonotonicNow();
  this->spread.SetMembers(now, ControlMembers(settings));
  if (announcement.has_value()) {
    this->lease.emplace(now, SelfMember(settings), *announcement, RandomSeed());
    this->lease->SetMembers(now, Collectors(settings));
  }
}

ControlClient::~ControlClient() { this->node.Stop(); }

Result<void> ControlClient::Start() {
  for (const ControlMember& member : this->settings.control) {
    BOOST_OUTCOME_TRY(this->node.Connect(member.name, member.address));
  }
  this->node.Start();
  return boost::outcome_v2::success();
}

void ControlClient::Tick() {
  const Millis now = MonotonicNow();
  this->Carry(this->spread.OnTick(now));
  if (this->lease.has_value()) this->Carry(this->lease->OnTick(now));
}

void ControlClient::Carry(const std::vector<Outgoing>& messages) {
  for (const Outgoing& outgoing : messages) {
    for (const ControlMember& member : this->settings.control) {
      if (member.address != outgoing.endpoint) continue;
      this->node.Send(member.name, Encode(outgoing.message));
    }
  }
}

void ControlClient::RequestDrain() {
  OperatorRequest request = DrainRequest(this->settings.instance_id, true);
  request.request_id = this->DrainRequestId();
  request.operator_name = this->settings.instance;
  const std::string bytes = Encode(ControlMessage(request));
  for (const ControlMember& member : this->settings.control) {
    this->node.Send(member.name, bytes);
  }
}

std::string ControlClient::DrainRequestId() const {
  return "drain-" + std::to_string(this->settings.instance_id.Value()) + "-" +
         std::to_string(this->CurrentIncarnation().Value());
}

void ControlClient::Leave() { this->Carry(this->lease->Leave(MonotonicNow())); }

bool ControlClient::HasLeft() const { return this->lease->HasLeft(); }

bool ControlClient::MayDecide() const {
  return this->lease->MayDecide(MonotonicNow());
}

Incarnation ControlClient::CurrentIncarnation() const {
  return this->lease->CurrentIncarnation();
}

void ControlClient::OnMessage(const std::string& member,
                              const std::string& bytes) {
  const Result<ControlMessage> message = DecodeControlMessage(bytes);
  if (!message.has_value()) {
    this->handlers.on_drop(member, message.error());
    return;
  }
  const Millis now = MonotonicNow();
  if (const auto* ack = std::get_if<RenewalAck>(&message.value())) {
    if (this->lease.has_value()) this->lease->OnAck(now, *ack);
    return;
  }
  if (const auto* response = std::get_if<OperatorResponse>(&message.value())) {
    const bool done = response->outcome == OperatorOutcome::kOk ||
                      response->outcome == OperatorOutcome::kUnchanged;
    if (done && this->lease.has_value() &&
        response->request_id == this->DrainRequestId()) {
      this->drain_accepted = true;
    }
    return;
  }
  for (const ControlMember& known : this->settings.control) {
    if (known.name != member) continue;
    this->Carry(this->spread.OnMessage(now, known.address, message.value()));
  }
  this->ReportChange();
}

void ControlClient::ReportChange() {
  const Revision revision = this->spread.EffectRevision();
  if (!this->spread.HasEffect() || revision == this->reported) return;
  this->reported = revision;
  this->handlers.on_views(this->spread.Store().Views());
}

}  // namespace cornelhill
