#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"
#include "cornelhill/wire/data_codec.h"

namespace cornelhill {

// A UDP socket that hands each datagram to a handler. `Send` may be called from
// any thread; the handler runs on the io_context.
class DatagramSocket {
 public:
  using Handler = std::function<void(Endpoint from, std::string_view bytes)>;

  explicit DatagramSocket(boost::asio::io_context& io);

  // Binds the socket. With `shared`, several sockets of this process may bind
  // the same address and the kernel spreads the senders over them.
  Result<void> Open(const Endpoint& address, bool shared = false);

  // Starts receiving. Requires an open socket; `handler` outlives it.
  void Start(Handler handler);

  // Drops the datagram where the network refuses it: callers and upstreams
  // resend.
  void Send(const Endpoint& to, const std::string& bytes);

  void Close();

 private:
  void Receive();
  void ReceiveBatch();

  static constexpr int kBatch = 64;
  static constexpr int kBufferBytes = 4 * 1024 * 1024;

  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint from;
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  Handler handler;
};

}  // namespace cornelhill
