#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/config/settings.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/service_store.h"
#include "cornelhill/daemon/message_node.h"

namespace cornelhill {

// A balancer's or agent's connection to the control instances: keeps the
// services that it subscribes to at the newest revision and, for an agent, its
// lease. Handlers run on the io_context's thread.
class ControlClient {
 public:
  struct Handlers {
    // The services changed; called with every service of the subscription.
    std::function<void(const std::vector<const ServiceView*>&)> on_views;
    // The lease is good until this instant of the monotonic clock.
    std::function<void(Millis)> on_lease;
    // Control refuses the incarnation; the agent takes a higher one.
    std::function<void()> on_refused;
  };

  // `announcement` is set for an agent.
  ControlClient(boost::asio::io_context& io, const Settings& settings,
                Subscription subscription,
                std::optional<Announcement> announcement, Handlers handlers);
  ~ControlClient();

  Result<void> Start();

  // Sends digest and renewal; call once a second.
  void Tick();

  // Asks control to drain this agent's upstream.
  void RequestDrain();

  // Announces under another incarnation.
  void SetIncarnation(Incarnation incarnation);

  Revision CurrentRevision() const { return this->store.CurrentRevision(); }

 private:
  void OnMessage(const std::string& member, const std::string& bytes);
  void OnUpdate(const SpreadUpdate& update);
  void OnRenewalAck(const RenewalAck& ack);
  void SendDigest();
  void SendRenewal();
  void SendToAll(const ControlMessage& message);

  boost::asio::io_context& io;
  const Settings& settings;
  Subscription subscription;
  std::optional<Announcement> announcement;
  Handlers handlers;
  MessageNode node;
  ServiceStore store;
  uint64_t digest_number = 0;
  // When each renewal of the recent past was sent: the lease counts from there.
  std::map<uint64_t, Millis> renewals;
};

}  // namespace cornelhill
