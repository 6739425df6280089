#include "cornelhill/node/datagram_socket.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <utility>

namespace cornelhill {

namespace {

using boost::asio::ip::udp;
using ReusePort =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

udp::endpoint ToAsio(const Endpoint& endpoint) {
  return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

}  // namespace

DatagramSocket::DatagramSocket(boost::asio::io_context& io) : socket(io) {}

Result<void> DatagramSocket::Open(const Endpoint& address, bool shared) {
  boost::system::error_code error;
  this->socket.open(udp::v4(), error);
  if (!error && shared) this->socket.set_option(ReusePort(true), error);
  if (!error) this->socket.bind(ToAsio(address), error);
  if (error) {
    return Error{ErrorCode::kIo, "cannot bind UDP address " +
                                     ToString(address) + ": " +
                                     error.message()};
  }
  this->socket.non_blocking(true, error);
  // A smaller buffer than asked for is not an error.
  boost::system::error_code ignored;
  this->socket.set_option(udp::socket::receive_buffer_size(kBufferBytes),
                          ignored);
  this->socket.set_option(udp::socket::send_buffer_size(kBufferBytes), ignored);
  return boost::outcome_v2::success();
}

void DatagramSocket::Start(Handler new_handler) {
  this->handler = std::move(new_handler);
  this->Receive();
}

void DatagramSocket::Receive() {
  this->socket.async_wait(udp::socket::wait_read,
                          [this](const boost::system::error_code& error) {
                            if (error) return;
                            this->ReceiveBatch();
                            if (this->socket.is_open()) this->Receive();
                          });
}

// Takes what has arrived without going through the event loop for each
// datagram; other handlers run after `kBatch` of them.
void DatagramSocket::ReceiveBatch() {
  for (int i = 0; i < kBatch && this->socket.is_open(); ++i) {
    boost::system::error_code error;
    const size_t bytes = this->socket.receive_from(
        boost::asio::buffer(this->buffer), this->from, 0, error);
    if (error == boost::asio::error::would_block) return;
    if (error) continue;
    this->handler({this->from.address().to_v4().to_uint(), this->from.port()},
                  {this->buffer.data(), bytes});
  }
}

void DatagramSocket::Send(const Endpoint& to, const std::string& bytes) {
  boost::system::error_code error;
  this->socket.send_to(boost::asio::buffer(bytes), ToAsio(to), 0, error);
}

void DatagramSocket::Close() {
  boost::system::error_code error;
  this->socket.close(error);
}

}  // namespace cornelhill
