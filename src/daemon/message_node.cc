#include "cornelhill/daemon/message_node.h"

#include <atomic>
#include <csignal>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "cornelhill/base/log.h"
#include "node/retry_interrupted.h"

namespace cornelhill {

namespace {

constexpr int kSendQueueMessages = 10000;
constexpr std::chrono::milliseconds kPollPeriod(100);

struct Outgoing {
  bool to_router = false;
  std::string peer;
  std::string bytes;
};

std::string ZmqAddress(const Endpoint& address) {
  return "tcp://" + ToString(address);
}

void SetCommonOptions(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendQueueMessages);
  socket.set(zmq::sockopt::rcvhwm, kSendQueueMessages);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<int64_t>(kMaxZmqMessageBytes));
}

std::string ToText(const zmq::message_t& message) {
  return {static_cast<const char*>(message.data()), message.size()};
}

}  // namespace

struct MessageNode::Impl {
  std::string identity;
  Handlers handlers;
  zmq::context_t context{1};
  zmq::socket_t router;
  std::map<std::string, zmq::socket_t> dealers;
  zmq::socket_t wake_receive;
  zmq::socket_t wake_send;
  std::mutex mutex;
  std::deque<Outgoing> outgoing;
  std::atomic<bool> stopping = false;
  std::thread thread;

  void Enqueue(Outgoing message) {
    const std::lock_guard lock(this->mutex);
    this->outgoing.push_back(std::move(message));
    if (this->outgoing.size() == 1) {
      RetryInterrupted([this] {
        return this->wake_send.send(zmq::str_buffer("x"),
                                    zmq::send_flags::dontwait);
      });
    }
  }

  void SendQueued() {
    std::deque<Outgoing> batch;
    {
      const std::lock_guard lock(this->mutex);
      batch.swap(this->outgoing);
    }
    for (Outgoing& message : batch) this->SendOne(message);
  }

  void SendOne(const Outgoing& message) {
    try {
      if (message.to_router) {
        if (!this->router) return;
        if (!this->router.send(
                zmq::buffer(message.peer),
                zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
          return;
        }
        this->router.send(zmq::buffer(message.bytes),
                          zmq::send_flags::dontwait);
        return;
      }
      const auto found = this->dealers.find(message.peer);
      if (found == this->dealers.end()) return;
      found->second.send(zmq::buffer(message.bytes), zmq::send_flags::dontwait);
    } catch (const zmq::error_t& error) {
      // An unreachable peer: the sender's own retry covers the loss.
      if (error.num() != EHOSTUNREACH && error.num() != EAGAIN) throw;
    }
  }

  void ReceiveFromRouter() {
    zmq::message_t peer;
    zmq::message_t body;
    while (this->router.recv(peer, zmq::recv_flags::dontwait)) {
      bool whole = false;
      if (peer.more()) {
        whole = this->router.recv(body, zmq::recv_flags::dontwait).has_value();
      }
      if (!whole) continue;
      while (body.more()) {
        zmq::message_t rest;
        if (!this->router.recv(rest, zmq::recv_flags::dontwait)) break;
        whole = false;
        if (!rest.more()) break;
      }
      if (whole && this->handlers.on_router) {
        this->handlers.on_router(ToText(peer), ToText(body));
      }
    }
  }

  void ReceiveFromDealer(const std::string& name, zmq::socket_t& dealer) {
    zmq::message_t body;
    while (dealer.recv(body, zmq::recv_flags::dontwait)) {
      if (this->handlers.on_dealer) {
        this->handlers.on_dealer(name, ToText(body));
      }
    }
  }

  void Run() {
    // A signal that interrupts a call of libzmq makes it fail. The main thread
    // handles signals.
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
    std::vector<zmq::pollitem_t> items;
    std::vector<std::string> names;
    items.push_back({this->wake_receive.handle(), 0, ZMQ_POLLIN, 0});
    for (auto& [name, dealer] : this->dealers) {
      items.push_back({dealer.handle(), 0, ZMQ_POLLIN, 0});
      names.push_back(name);
    }
    if (this->router) {
      items.push_back({this->router.handle(), 0, ZMQ_POLLIN, 0});
    }
    while (!this->stopping) {
      zmq::poll(items, kPollPeriod);
      if (items[0].revents != 0) {
        zmq::message_t wake;
        while (this->wake_receive.recv(wake, zmq::recv_flags::dontwait)) {
        }
      }
      this->SendQueued();
      for (size_t i = 0; i < names.size(); ++i) {
        if (items[i + 1].revents == 0) continue;
        this->ReceiveFromDealer(names[i], this->dealers.at(names[i]));
      }
      if (this->router && items.back().revents != 0) this->ReceiveFromRouter();
    }
    this->SendQueued();
  }
};

MessageNode::MessageNode(std::string identity, Handlers handlers)
    : impl(std::make_unique<Impl>()) {
  this->impl->identity = std::move(identity);
  this->impl->handlers = std::move(handlers);
  this->impl->wake_receive =
      zmq::socket_t(this->impl->context, zmq::socket_type::pair);
  this->impl->wake_receive.bind("inproc://wake");
  this->impl->wake_send =
      zmq::socket_t(this->impl->context, zmq::socket_type::pair);
  this->impl->wake_send.connect("inproc://wake");
}

MessageNode::~MessageNode() { this->Stop(); }

Result<void> MessageNode::Bind(const Endpoint& address) {
  zmq::socket_t socket(this->impl->context, zmq::socket_type::router);
  SetCommonOptions(socket);
  // A process that reconnects under its routing id replaces its old
  // connection; without this its new one is refused until the old one fails.
  socket.set(zmq::sockopt::router_handover, true);
  try {
    socket.bind(ZmqAddress(address));
  } catch (const zmq::error_t& error) {
    return Error{ErrorCode::kIo,
                 "cannot listen on " + ToString(address) + ": " + error.what()};
  }
  this->impl->router = std::move(socket);
  return boost::outcome_v2::success();
}

Result<void> MessageNode::Connect(const std::string& name,
                                  const Endpoint& address) {
  zmq::socket_t socket(this->impl->context, zmq::socket_type::dealer);
  SetCommonOptions(socket);
  socket.set(zmq::sockopt::routing_id, this->impl->identity);
  socket.set(zmq::sockopt::reconnect_ivl, 100);
  socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
  try {
    socket.connect(ZmqAddress(address));
  } catch (const zmq::error_t& error) {
    return Error{ErrorCode::kIo, "cannot connect to " + ToString(address) +
                                     ": " + error.what()};
  }
  this->impl->dealers.emplace(name, std::move(socket));
  return boost::outcome_v2::success();
}

void MessageNode::Start() {
  this->impl->thread = std::thread([impl = this->impl.get()] { impl->Run(); });
}

void MessageNode::Stop() {
  this->impl->stopping = true;
  if (this->impl->thread.joinable()) this->impl->thread.join();
}

void MessageNode::Reply(const std::string& peer, std::string bytes) {
  this->impl->Enqueue({true, peer, std::move(bytes)});
}

void MessageNode::Send(const std::string& name, std::string bytes) {
  this->impl->Enqueue({false, name, std::move(bytes)});
}

}  // namespace cornelhill
