#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/config/node_settings.h"
#include "cornelhill/node/demand_timer.h"
#include "cornelhill/node/node_socket.h"
#include "cornelhill/node/runtime.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// The connections of a balancer or agent to the core members. Finds the members
// from the seeds, sends each a periodic hello that describes this process, and
// receives their updates. Runs on the event loop thread.
class CoreLink {
 public:
  struct Handlers {
    // Returns the description of this process; the link sets `directory`.
    std::function<Hello()> hello;
    std::function<void(const Update&)> on_update;
  };

  CoreLink(Runtime& runtime, const NodeSettings& settings, Handlers handlers);

  void Start();

  // Replaces the seeds. Members learned from updates stay.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  // Sends a hello now instead of at the next period.
  void SendHello();

  // Whether a core member has answered within the member timeout.
  bool Connected() const;

 private:
  struct Member {
    std::string failure_domain;
    Millis last_heard{-1000000};
  };

  void OnMessage(const NodeSocket::Peer& peer, const std::string& bytes);
  void SetMembers(const std::vector<std::string>& addresses);
  bool ShouldRequestDirectory(const Endpoint& address, Millis now) const;
  void LogConnection();
  void SendInitialHello();
  bool AllMembersResponded() const;

  Runtime& runtime;
  const NodeSettings& settings;
  std::vector<Endpoint> seeds;
  std::vector<std::string> member_addresses;  // From the last update.
  Handlers handlers;
  NodeSocket socket;
  std::map<Endpoint, Member> members;
  bool connected = false;
  DemandTimer initial_hello_timer;
  Millis started;
};

}  // namespace cornelhill
