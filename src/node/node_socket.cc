#include "cornelhill/node/node_socket.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "cornelhill/base/log.h"
#include "node/retry_interrupted.h"

namespace cornelhill {

namespace {

constexpr int kMaxQueuedMessages = 1000;
constexpr int64_t kMaxMessageBytes = int64_t{4} << 20;
// A silent connection is replaced before a core member considers an agent lost.
constexpr int kHeartbeatMs = 1000;
constexpr int kHeartbeatTimeoutMs = 2500;
// Ten round trips between failure domains. A machine without power does not
// answer and may return at any time.
constexpr int kConnectTimeoutMs = 250;
constexpr int kReconnectIntervalMs = 100;
// After a power failure, processes start listening within half a second of each
// other.
constexpr int kMaxReconnectIntervalMs = 200;

// All processes of a deployment connect when they start; an attempt that finds
// the accept queue full is retried only after seconds.
constexpr int kBacklog = 1024;

std::string TcpAddress(const Endpoint& address) {
  return "tcp://" + ToString(address);
}

void SetOptions(zmq::socket_t* socket) {
  socket->set(zmq::sockopt::linger, 0);
  socket->set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  socket->set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
  socket->set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  socket->set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  socket->set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
}

// Returns false if the part cannot be queued.
bool SendPart(zmq::socket_t* socket, const std::string& bytes,
              zmq::send_flags flags) {
  return RetryInterrupted(
      [&] { return socket->send(zmq::buffer(bytes), flags).has_value(); });
}

// The peer is as unreachable as one that is down; its own retries and those of
// the sender cover the loss.
void LogNotSent(const std::string& peer, const zmq::error_t& error) {
  LogLine("message_not_sent")
      .Warn()
      .Add("peer", peer)
      .Add("detail", error.what());
}

}  // namespace

struct NodeSocket::Impl {
  // A ZeroMQ socket and the file descriptor that signals its events.
  struct PolledSocket {
    PolledSocket(boost::asio::io_context& io, zmq::socket_t from)
        : socket(std::move(from)),
          descriptor(io, this->socket.get(zmq::sockopt::fd)) {}
    ~PolledSocket() { this->descriptor.release(); }

    zmq::socket_t socket;
    boost::asio::posix::stream_descriptor descriptor;
    bool read_posted = false;
  };

  boost::asio::io_context& io;
  Handler handler;
  zmq::context_t context{1};
  std::shared_ptr<PolledSocket> router;
  std::map<Endpoint, std::shared_ptr<PolledSocket>> dealers;

  // The descriptor is edge-triggered and any call on the socket may consume the
  // edge, so a read is posted after each call.
  void PostRead(const std::shared_ptr<PolledSocket>& polled,
                std::optional<Endpoint> address) {
    if (polled->read_posted) return;
    polled->read_posted = true;
    boost::asio::post(this->io, [this, polled, address] {
      polled->read_posted = false;
      this->ReadAll(polled, address);
    });
  }

  void WaitReadable(const std::shared_ptr<PolledSocket>& polled,
                    std::optional<Endpoint> address) {
    polled->descriptor.async_wait(
        boost::asio::posix::stream_descriptor::wait_read,
        [this, polled, address](const boost::system::error_code& error) {
          if (error) return;
          this->ReadAll(polled, address);
          if (polled->socket) this->WaitReadable(polled, address);
        });
  }

  void ReadAll(const std::shared_ptr<PolledSocket>& polled,
               std::optional<Endpoint> address) {
    std::vector<zmq::message_t> parts;
    while (polled->socket && Receive(&polled->socket, &parts)) {
      const size_t expected = address.has_value() ? 1 : 2;
      if (parts.size() != expected) continue;
      Peer peer;
      peer.address = address;
      if (!address.has_value()) peer.routing_id = parts[0].to_string();
      this->handler(peer, parts.back().to_string());
    }
  }

  static bool Receive(zmq::socket_t* socket,
                      std::vector<zmq::message_t>* parts) {
    parts->clear();
    do {
      zmq::message_t part;
      const bool received = RetryInterrupted([&] {
        return socket->recv(part, zmq::recv_flags::dontwait).has_value();
      });
      if (!received) return false;
      parts->push_back(std::move(part));
    } while (parts->back().more());
    return true;
  }

  std::shared_ptr<PolledSocket> GetOrCreateDealer(const Endpoint& address) {
    const auto found = this->dealers.find(address);
    if (found != this->dealers.end()) return found->second;
    zmq::socket_t socket(this->context, zmq::socket_type::dealer);
    SetOptions(&socket);
    // Messages are not queued for a process that is not connected: one that is
    // delayed by seconds is useless to it.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
    socket.connect(TcpAddress(address));
    auto polled = std::make_shared<PolledSocket>(this->io, std::move(socket));
    this->dealers[address] = polled;
    this->WaitReadable(polled, address);
    return polled;
  }
};

NodeSocket::NodeSocket(boost::asio::io_context& io, Handler handler)
    : impl(new Impl{io, std::move(handler)}) {}

NodeSocket::~NodeSocket() {
  this->DisconnectUnless([](const Endpoint&) { return false; });
  if (this->impl->router) this->impl->router->socket.close();
}

Result<void> NodeSocket::Bind(const Endpoint& address) {
  zmq::socket_t socket(this->impl->context, zmq::socket_type::router);
  SetOptions(&socket);
  socket.set(zmq::sockopt::backlog, kBacklog);
  try {
    socket.bind(TcpAddress(address));
  } catch (const zmq::error_t& error) {
    return Fail(ErrorCode::kIo,
                "cannot listen on " + ToString(address) + ": " + error.what());
  }
  this->impl->router =
      std::make_shared<Impl::PolledSocket>(this->impl->io, std::move(socket));
  this->impl->WaitReadable(this->impl->router, std::nullopt);
  return boost::outcome_v2::success();
}

void NodeSocket::Connect(const Endpoint& address) {
  try {
    this->impl->GetOrCreateDealer(address);
  } catch (const zmq::error_t& error) {
    LogNotSent(ToString(address), error);
  }
}

void NodeSocket::Send(const Endpoint& address, const std::string& bytes) {
  try {
    const std::shared_ptr<Impl::PolledSocket> dealer =
        this->impl->GetOrCreateDealer(address);
    SendPart(&dealer->socket, bytes, zmq::send_flags::dontwait);
    this->impl->PostRead(dealer, address);
  } catch (const zmq::error_t& error) {
    LogNotSent(ToString(address), error);
  }
}

void NodeSocket::Reply(const Peer& peer, const std::string& bytes) {
  if (peer.address.has_value()) {
    this->Send(*peer.address, bytes);
    return;
  }
  if (!this->impl->router) return;
  zmq::socket_t& router = this->impl->router->socket;
  try {
    if (SendPart(&router, peer.routing_id,
                 zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
      SendPart(&router, bytes, zmq::send_flags::dontwait);
    }
  } catch (const zmq::error_t& error) {
    LogNotSent("a connected daemon", error);
  }
  this->impl->PostRead(this->impl->router, std::nullopt);
}

void NodeSocket::DisconnectUnless(
    const std::function<bool(const Endpoint&)>& wanted) {
  for (auto item = this->impl->dealers.begin();
       item != this->impl->dealers.end();) {
    if (wanted(item->first)) {
      ++item;
      continue;
    }
    item->second->descriptor.cancel();
    item->second->socket.close();
    item = this->impl->dealers.erase(item);
  }
}

}  // namespace cornelhill
