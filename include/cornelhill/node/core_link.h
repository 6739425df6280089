#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/config/node_settings.h"
#include "cornelhill/node/node_socket.h"
#include "cornelhill/node/one_shot_timer.h"
#include "cornelhill/node/runtime.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// A balancer's or agent's connection to the core members: finds them from the
// seeds, tells each what this process is, and takes what they know. Runs on
// the thread of the event loop.
class CoreLink {
 public:
  struct Handlers {
    // Returns what to say of this process; the link fills in `directory`.
    std::function<Hello()> hello;
    std::function<void(const Update&)> on_update;
  };

  CoreLink(Runtime& runtime, const NodeSettings& settings, Handlers handlers);

  void Start();

  // Replaces the seeds; members that were found otherwise stay.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  // Says it now instead of with the next period.
  void SayHello();

  // Whether a core member has answered lately.
  bool Connected() const;

 private:
  struct Member {
    std::string failure_domain;
    Millis heard{-1000000};
  };

  void OnMessage(const NodeSocket::Peer& peer, const std::string& bytes);
  void SetMembers(const std::vector<std::string>& texts);
  bool AsksDirectory(const Endpoint& address, Millis now) const;
  void LogConnection();
  void SayFirstHello();
  bool HeardAll() const;

  Runtime& runtime;
  const NodeSettings& settings;
  std::vector<Endpoint> seeds;
  std::vector<std::string> member_texts;  // As the last update stated them.
  Handlers handlers;
  NodeSocket socket;
  std::map<Endpoint, Member> members;
  bool connected = false;
  OneShotTimer first_hello;
  Millis started;
};

}  // namespace cornelhill
