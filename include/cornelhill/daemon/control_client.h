#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/config/settings.h"
#include "cornelhill/control/agent_lease.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/spread_node.h"
#include "cornelhill/daemon/message_node.h"

namespace cornelhill {

// A balancer's or agent's connection to the control instances: keeps the
// services that it subscribes to at the newest confirmed revision and, for an
// agent, its lease. Handlers and methods run on the io_context's thread.
class ControlClient {
 public:
  struct Handlers {
    // Something changed; called with every service of the subscription.
    std::function<void(const std::vector<const ServiceView*>&)> on_views;
    // A message of the control instance `member` could not be decoded.
    std::function<void(const std::string& member, const Error& error)> on_drop;
  };

  // `announcement` is set for an agent.
  ControlClient(boost::asio::io_context& io, const Settings& settings,
                const Subscription& subscription,
                const std::optional<Announcement>& announcement,
                Handlers handlers);
  ~ControlClient();

  Result<void> Start();

  // Sends what is due; call every `kControlTick`.
  void Tick();

  // Asks control to drain this agent's upstream. Repeat until `DrainAccepted`:
  // each repetition is an entry of the replicated log.
  void RequestDrain();
  bool DrainAccepted() const { return this->drain_accepted; }

  // Tells control that this agent leaves. Repeat until `HasLeft`.
  void Leave();
  bool HasLeft() const;

  // The agent's side of the lease. Require an announcement.
  bool MayDecide() const;
  Incarnation CurrentIncarnation() const;

  Revision EffectRevision() const { return this->spread.EffectRevision(); }

 private:
  void OnMessage(const std::string& member, const std::string& bytes);
  void Carry(const std::vector<Outgoing>& messages);
  void ReportChange();
  std::string DrainRequestId() const;

  boost::asio::io_context& io;
  const Settings& settings;
  Handlers handlers;
  MessageNode node;
  SpreadNode spread;
  std::optional<AgentLease> lease;
  Revision reported;
  bool drain_accepted = false;
};

constexpr Millis kControlTick = Millis(50);

}  // namespace cornelhill
