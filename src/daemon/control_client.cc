#include "cornelhill/daemon/control_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "cornelhill/base/hash.h"
#include "cornelhill/base/log.h"
#include "cornelhill/control/control_codec.h"

namespace cornelhill {

namespace {

constexpr Millis kLeaseDuration(5000);
constexpr size_t kRememberedRenewals = 16;

}  // namespace

ControlClient::ControlClient(boost::asio::io_context& io,
                             const Settings& settings,
                             Subscription subscription,
                             std::optional<Announcement> announcement,
                             Handlers handlers)
    : io(io),
      settings(settings),
      subscription(std::move(subscription)),
      announcement(std::move(announcement)),
      handlers(std::move(handlers)),
      node(settings.instance,
           {nullptr, [this](const std::string& member, std::string bytes) {
              boost::asio::post(this->io,
                                [this, member, bytes = std::move(bytes)] {
                                  this->OnMessage(member, bytes);
                                });
            }}) {}

ControlClient::~ControlClient() { this->node.Stop(); }

Result<void> ControlClient::Start() {
  for (const ControlMember& member : this->settings.control) {
    BOOST_OUTCOME_TRY(this->node.Connect(member.name, member.address));
  }
  this->node.Start();
  return boost::outcome_v2::success();
}

void ControlClient::Tick() {
  this->SendRenewal();
  this->SendDigest();
}

void ControlClient::SendToAll(const ControlMessage& message) {
  const std::string bytes = Encode(message);
  for (const ControlMember& member : this->settings.control) {
    this->node.Send(member.name, bytes);
  }
}

void ControlClient::SendDigest() {
  SpreadDigest digest;
  digest.sender = this->settings.instance_id;
  digest.number = ++this->digest_number;
  digest.revision = this->store.CurrentRevision();
  digest.hash = this->store.Hash(this->subscription);
  digest.subscription_hash = HashSubscription(this->subscription);
  digest.has_subscription = true;
  digest.subscription = this->subscription;
  this->SendToAll(digest);
}

void ControlClient::SendRenewal() {
  if (!this->announcement.has_value()) return;
  ++this->announcement->sequence;
  this->renewals[this->announcement->sequence] = MonotonicNow();
  while (this->renewals.size() > kRememberedRenewals) {
    this->renewals.erase(this->renewals.begin());
  }
  this->SendToAll(*this->announcement);
}

void ControlClient::RequestDrain() {
  if (!this->announcement.has_value()) return;
  OperatorRequest request;
  request.request_id =
      "drain-" + std::to_string(this->announcement->instance.Value()) + "-" +
      std::to_string(this->announcement->incarnation.Value());
  request.operator_name = this->settings.instance;
  request.kind = OperatorRequestKind::kDrain;
  request.instance = this->announcement->instance;
  this->SendToAll(request);
}

void ControlClient::SetIncarnation(Incarnation incarnation) {
  if (!this->announcement.has_value()) return;
  this->announcement->incarnation = incarnation;
  this->renewals.clear();
}

void ControlClient::OnMessage(const std::string& member,
                              const std::string& bytes) {
  const Result<ControlMessage> message = DecodeControlMessage(bytes);
  if (!message.has_value()) {
    LogLine("message_dropped")
        .Warn()
        .Add("reason", "bad_control_message")
        .Add("from", member)
        .Add("detail", message.error().message);
    return;
  }
  if (const auto* update = std::get_if<SpreadUpdate>(&message.value())) {
    this->OnUpdate(*update);
  } else if (const auto* ack = std::get_if<RenewalAck>(&message.value())) {
    this->OnRenewalAck(*ack);
  }
}

void ControlClient::OnUpdate(const SpreadUpdate& update) {
  if (update.status != SpreadStatus::kOk) return;
  // Never to a lower revision, and an update without a change is no news.
  if (update.update.revision <= this->store.CurrentRevision()) return;
  const Result<void> applied =
      this->store.Apply(update.update, this->subscription);
  if (!applied.has_value()) {
    LogLine("update_refused").Warn().Add("detail", applied.error().message);
    return;
  }
  this->handlers.on_views(this->store.Views());
}

void ControlClient::OnRenewalAck(const RenewalAck& ack) {
  if (!this->announcement.has_value() ||
      ack.incarnation != this->announcement->incarnation) {
    return;
  }
  if (ack.status == RenewalStatus::kRefused) {
    this->handlers.on_refused();
    return;
  }
  const auto sent = this->renewals.find(ack.sequence);
  if (ack.status != RenewalStatus::kGranted || sent == this->renewals.end()) {
    return;
  }
  this->handlers.on_lease(sent->second + kLeaseDuration);
}

}  // namespace cornelhill
