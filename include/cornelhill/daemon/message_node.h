#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// The ZeroMQ sockets of one process, on a thread of their own: at most one
// ROUTER that others connect to, and one DEALER for each process that this one
// connects to. Handlers run on that thread. All methods are thread-safe.
class MessageNode {
 public:
  // `peer` is the routing id of a process connected to the ROUTER, or the name
  // given to `Connect`.
  using Handler =
      std::function<void(const std::string& peer, std::string bytes)>;

  struct Handlers {
    Handler on_router;
    Handler on_dealer;
  };

  // `identity` is the routing id that other processes see.
  MessageNode(std::string identity, Handlers handlers);
  ~MessageNode();
  MessageNode(const MessageNode&) = delete;
  MessageNode& operator=(const MessageNode&) = delete;

  // Binds the ROUTER. Call at most once, before `Start`.
  Result<void> Bind(const Endpoint& address);

  // Adds a DEALER. Call before `Start`; `name` is unique.
  Result<void> Connect(const std::string& name, const Endpoint& address);

  void Start();
  void Stop();

  // Sends to a process connected to the ROUTER; dropped where it is gone.
  void Reply(const std::string& peer, std::string bytes);

  // Sends over a DEALER; dropped where its queue is full.
  void Send(const std::string& name, std::string bytes);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Largest message that a process takes from another over ZeroMQ.
constexpr size_t kMaxControlMessageBytes = size_t{8} << 20;

}  // namespace cornelhill
