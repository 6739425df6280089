#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/node/node_socket.h"
#include "cornelhill/segment/agent_directory.h"
#include "cornelhill/segment/listener_table.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// Tracks the balancers and agents that are connected to a core member, and
// sends them updates: the listeners in effect, the agents and the core members.
// Soft state. Not thread-safe.
class ConnectedDaemons {
 public:
  struct Handlers {
    std::function<void(const NodeSocket::Peer&, const Update&)> send;
    // Returns the addresses of the core members.
    std::function<std::vector<std::string>()> member_addresses;
  };

  ConnectedDaemons(Millis now, Handlers handlers);

  void OnHello(Millis now, const NodeSocket::Peer& peer, const Hello& hello);

  // Applies a committed version and sends it to every balancer. An equal or
  // lower version changes nothing.
  void PublishListeners(Millis now, const ListenerSet& set);

  // Removes daemons and agents that have timed out. Call about once a second.
  void Expire(Millis now);

  const ListenerTable& Listeners() const { return this->listeners; }
  const AgentDirectory& Agents() const { return this->agents; }

 private:
  struct Daemon {
    NodeSocket::Peer peer;
    bool balancer = false;
    uint64_t listener_version = 0;
    Millis last_heard;
  };

  // Notes that this process runs. After a pause it may not know the agents that
  // started meanwhile, and has heard of none.
  void NoteRunning(Millis now);
  void SendAgent(Millis now, const AgentRecord& record);
  void SendUpdate(Millis now, std::vector<AgentRecord> records,
                  bool whole_directory, Daemon* daemon);

  Handlers handlers;
  Millis started;  // Or continued after a pause.
  Millis last_running;
  ListenerTable listeners;
  AgentDirectory agents;
  std::map<std::string, Daemon> daemons;  // Keyed by routing id.
};

}  // namespace cornelhill
