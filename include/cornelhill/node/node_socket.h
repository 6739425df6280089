#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// ZeroMQ sockets on the event loop of a process: a ROUTER for incoming
// connections, if bound, and one DEALER for each address that this process
// sends to. Silent connections are replaced. All calls and handlers run on the
// thread of the event loop.
class NodeSocket {
 public:
  // The origin of a message: the routing id of a connection to the ROUTER, or
  // the address that a DEALER is connected to. The ROUTER assigns the ids: a
  // process that sets its own id displaces its older connection, on which
  // libzmq 4.3.4 can fail an assertion.
  struct Peer {
    std::string routing_id;
    std::optional<Endpoint> address;
  };

  using Handler = std::function<void(const Peer& peer, std::string bytes)>;

  NodeSocket(boost::asio::io_context& io, Handler handler);
  ~NodeSocket();
  NodeSocket(const NodeSocket&) = delete;
  NodeSocket& operator=(const NodeSocket&) = delete;

  // Binds the ROUTER. Call at most once.
  Result<void> Bind(const Endpoint& address);

  // Connects to `address` before the first message to it.
  void Connect(const Endpoint& address);

  // Sends to the process that listens at `address`; connects if needed. The
  // message is dropped while there is no connection.
  void Send(const Endpoint& address, const std::string& bytes);

  // Sends to the origin of a message. The reply is dropped if the peer is gone.
  void Reply(const Peer& peer, const std::string& bytes);

  // Closes the connections to addresses for which `wanted` returns false.
  void DisconnectUnless(const std::function<bool(const Endpoint&)>& wanted);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cornelhill
