#include "cornelhill/node/node_socket.h"

#include <criterion/criterion.h>
#include <pthread.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "tests/node/free_endpoint.h"

namespace cornelhill {
namespace {

// Calls `action` every few milliseconds: messages that are sent before the
// connection is established are dropped.
class PeriodicAction {
 public:
  PeriodicAction(boost::asio::io_context& io, std::function<void()> action)
      : timer(io), action(std::move(action)) {
    this->Schedule();
  }

 private:
  void Schedule() {
    this->timer.expires_after(std::chrono::milliseconds(5));
    this->timer.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      this->action();
      this->Schedule();
    });
  }

  boost::asio::steady_timer timer;
  std::function<void()> action;
};

// Fails if a reply does not reach the process that sent the request.
Test(node_socket, replies_reach_the_requesting_process, .timeout = 60) {
  boost::asio::io_context io;
  const Endpoint address = FreeEndpoint(SOCK_STREAM);
  std::unique_ptr<NodeSocket> server;
  server = std::make_unique<NodeSocket>(
      io, [&](const NodeSocket::Peer& peer, const std::string& text) {
        server->Reply(peer, "answer to " + text);
      });
  cr_assert(server->Bind(address).has_value());
  std::string first_answer;
  std::string second_answer;
  const auto stop_when_done = [&] {
    if (!first_answer.empty() && !second_answer.empty()) io.stop();
  };
  NodeSocket first(io, [&](const NodeSocket::Peer& peer, std::string text) {
    cr_assert(peer.address == address);
    first_answer = std::move(text);
    stop_when_done();
  });
  NodeSocket second(io, [&](const NodeSocket::Peer&, std::string text) {
    second_answer = std::move(text);
    stop_when_done();
  });
  const PeriodicAction periodic_send(io, [&] {
    first.Send(address, "first");
    second.Send(address, "second");
  });
  io.run();
  cr_assert_eq(first_answer, "answer to first");
  cr_assert_eq(second_answer, "answer to second");
}

// Fails if the client does not reconnect to a process that is restarted at the
// same address.
Test(node_socket, client_reconnects_to_a_restarted_server, .timeout = 60) {
  boost::asio::io_context io;
  const Endpoint address = FreeEndpoint(SOCK_STREAM);
  int incarnation = 1;
  std::unique_ptr<NodeSocket> server;
  const auto start_server = [&] {
    server = std::make_unique<NodeSocket>(
        io, [&](const NodeSocket::Peer& peer, const std::string&) {
          server->Reply(peer, std::to_string(incarnation));
        });
    (void)server->Bind(address);
  };
  start_server();
  bool restart = false;
  NodeSocket client(io, [&](const NodeSocket::Peer&, const std::string& text) {
    if (text == "2") io.stop();
    restart = text == "1";
  });
  const PeriodicAction periodic_send(io, [&] {
    if (restart && incarnation == 1) {
      server.reset();
      incarnation = 2;
      start_server();
    }
    client.Send(address, "hello");
  });
  io.run();
  cr_assert_eq(incarnation, 2);
}

// Guards against a process that ends when a signal interrupts a call of libzmq,
// which then fails with EINTR: 23 of 11,290 SIGHUPs ended a core member.
Test(node_socket, signals_do_not_end_the_process, .timeout = 60) {
  constexpr int kRoundTrips = 20000;
  std::signal(SIGHUP, [](int) {});
  boost::asio::io_context io;
  const Endpoint address = FreeEndpoint(SOCK_STREAM);
  std::unique_ptr<NodeSocket> server;
  server = std::make_unique<NodeSocket>(
      io, [&](const NodeSocket::Peer& peer, const std::string& text) {
        server->Reply(peer, text);
      });
  cr_assert(server->Bind(address).has_value());
  std::atomic<int> round_trips = 0;
  NodeSocket client(io, [&](const NodeSocket::Peer&, const std::string& text) {
    if (++round_trips == kRoundTrips) io.stop();
    client.Send(address, text);
  });
  // Starts a round trip while none has completed.
  const PeriodicAction periodic_send(io, [&] {
    if (round_trips == 0) client.Send(address, "ping");
  });
  const pthread_t receiver = pthread_self();
  std::atomic<bool> done = false;
  // One signal for each round trip, so that signals do not starve the receiver.
  std::thread sender([&] {
    for (int signaled = 0; !done;) {
      if (round_trips == signaled) continue;
      signaled = round_trips;
      pthread_kill(receiver, SIGHUP);
    }
  });
  io.run();
  done = true;
  sender.join();
  cr_assert_geq(round_trips.load(), kRoundTrips);
}

}  // namespace
}  // namespace cornelhill
