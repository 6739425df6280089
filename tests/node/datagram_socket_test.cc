#include "cornelhill/node/datagram_socket.h"

#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "tests/node/free_endpoint.h"

namespace cornelhill {
namespace {

// Receives until the expected number of datagrams has arrived.
struct Receiver {
  boost::asio::io_context io;
  DatagramSocket socket{io};
  Endpoint address = FreeEndpoint(SOCK_DGRAM);
  std::vector<std::string> received;
  std::vector<Endpoint> senders;
  size_t batches = 0;

  void Start(size_t count) {
    cr_assert(this->socket.Open(this->address).has_value());
    this->socket.Start(
        [this](Endpoint from, std::string_view bytes) {
          this->senders.push_back(from);
          this->received.emplace_back(bytes);
        },
        [this, count] {
          ++this->batches;
          if (this->received.size() >= count) this->io.stop();
        });
  }
};

// Fails if datagrams of one flush are lost, reordered or received one per
// system call.
Test(datagram_socket, flush_sends_all_queued_datagrams_in_order,
     .timeout = 60) {
  constexpr size_t kCount = 100;
  Receiver receiver;
  receiver.Start(kCount);
  DatagramSocket sender(receiver.io);
  const Endpoint from = FreeEndpoint(SOCK_DGRAM);
  cr_assert(sender.Open(from).has_value());
  for (size_t i = 0; i < kCount; ++i) {
    sender.Queue(receiver.address, "datagram " + std::to_string(i));
  }
  sender.Flush();
  receiver.io.run();
  cr_assert_eq(receiver.received.size(), kCount);
  for (size_t i = 0; i < kCount; ++i) {
    cr_assert_eq(receiver.received[i], "datagram " + std::to_string(i));
    cr_assert(receiver.senders[i] == from);
  }
  cr_assert_lt(receiver.batches, kCount / 10);
}

// Fails if a datagram that the kernel rejects prevents the others from being
// sent.
Test(datagram_socket, rejected_datagram_does_not_block_others, .timeout = 60) {
  Receiver receiver;
  receiver.Start(2);
  DatagramSocket sender(receiver.io);
  cr_assert(sender.Open(FreeEndpoint(SOCK_DGRAM)).has_value());
  sender.Queue(receiver.address, "before");
  sender.Queue(receiver.address, std::string(70000, 'x'));
  sender.Queue({kLoopback, 0}, "no port");
  sender.Queue(receiver.address, "after");
  sender.Flush();
  receiver.io.run();
  cr_assert_eq(receiver.received.size(), 2U);
  cr_assert_eq(receiver.received[0], "before");
  cr_assert_eq(receiver.received[1], "after");
}

// Fails if the rest of a batch is still handled after a handler closes the
// socket.
Test(datagram_socket, handler_may_close_the_socket, .timeout = 60) {
  boost::asio::io_context io;
  DatagramSocket socket(io);
  const Endpoint address = FreeEndpoint(SOCK_DGRAM);
  cr_assert(socket.Open(address).has_value());
  size_t received = 0;
  socket.Start([&](Endpoint, std::string_view) {
    ++received;
    socket.Close();
  });
  DatagramSocket sender(io);
  cr_assert(sender.Open(FreeEndpoint(SOCK_DGRAM)).has_value());
  for (int i = 0; i < 5; ++i) sender.Queue(address, "x");
  sender.Flush();
  io.run();
  cr_assert_eq(received, 1U);
}

}  // namespace
}  // namespace cornelhill
