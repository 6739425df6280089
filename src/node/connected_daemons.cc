#include "cornelhill/node/connected_daemons.h"

#include <utility>

#include "cornelhill/base/log.h"

namespace cornelhill {

namespace {

// A daemon that has sent nothing for this long is removed.
constexpr Millis kDaemonTimeout{4000};
// All running agents have sent a hello by then: they reconnect within 0.45 s
// and send one each second.
constexpr Millis kDirectorySettlePeriod{1500};
// A process that runs calls `Expire` once a second.
constexpr Millis kPauseThreshold{1500};

}  // namespace

ConnectedDaemons::ConnectedDaemons(Millis now, Handlers handlers)
    : handlers(std::move(handlers)), started(now), last_running(now) {}

void ConnectedDaemons::NoteRunning(Millis now) {
  if (now - this->last_running > kPauseThreshold) {
    LogLine("process_was_paused")
        .Add("milliseconds", (now - this->last_running).Count());
    this->started = now;
  }
  this->last_running = now;
}

void ConnectedDaemons::OnHello(Millis now, const NodeSocket::Peer& peer,
                               const Hello& hello) {
  this->NoteRunning(now);
  Daemon& daemon = this->daemons[peer.routing_id];
  daemon = {peer, hello.balancer, hello.listener_version, now};
  if (!hello.agent.empty()) {
    const bool changed = this->agents.Merge(now, hello.agent.front());
    if (changed) this->SendAgent(now, hello.agent.front());
  }
  this->SendUpdate(
      now,
      hello.directory ? this->agents.Records(now) : std::vector<AgentRecord>{},
      hello.directory, &daemon);
}

void ConnectedDaemons::PublishListeners(Millis now, const ListenerSet& set) {
  if (!this->listeners.Apply(set)) return;
  LogLine("listeners_committed")
      .Add("version", this->listeners.Version())
      .Add("listeners", this->listeners.Size());
  for (auto& [id, daemon] : this->daemons) {
    if (daemon.balancer) this->SendUpdate(now, {}, false, &daemon);
  }
}

void ConnectedDaemons::Expire(Millis now) {
  this->NoteRunning(now);
  if (now - this->started <= kDirectorySettlePeriod) return;
  this->agents.Expire(now);
  std::erase_if(this->daemons, [now](const auto& item) {
    return now - item.second.last_heard > kDaemonTimeout;
  });
}

void ConnectedDaemons::SendAgent(Millis now, const AgentRecord& record) {
  LogLine("agent_changed")
      .Add("agent", ToString(record.address))
      .Add("failure_domain", record.failure_domain)
      .Add("state", ToString(record.state));
  for (auto& [id, daemon] : this->daemons) {
    if (daemon.balancer) this->SendUpdate(now, {record}, false, &daemon);
  }
}

void ConnectedDaemons::SendUpdate(Millis now, std::vector<AgentRecord> records,
                                  bool whole_directory, Daemon* daemon) {
  Update update;
  update.agents = std::move(records);
  update.members = this->handlers.member_addresses();
  update.complete =
      whole_directory && now - this->started > kDirectorySettlePeriod;
  if (daemon->balancer &&
      daemon->listener_version < this->listeners.Version()) {
    update.listeners = this->listeners.DeltaSince(daemon->listener_version);
    // If this message is lost, the next hello states the daemon's version
    // again.
    daemon->listener_version = this->listeners.Version();
  }
  this->handlers.send(daemon->peer, update);
}

}  // namespace cornelhill
