#include "cornelhill/node/datagram_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "cornelhill/wire/data_codec.h"

namespace cornelhill {

namespace {

using boost::asio::ip::udp;
using ReusePort =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Datagrams per system call: twice a sender's window.
constexpr size_t kBatchSize = 32;
// Other handlers of the event loop run after this many full batches.
constexpr int kMaxBatchesPerWakeup = 2;
// The queue is flushed when it reaches this size.
constexpr size_t kMaxQueuedDatagrams = 4 * kBatchSize;
// The extra byte reveals a datagram that is too long.
constexpr size_t kReceiveSlotBytes = kMaxDatagramBytes + 1;

udp::endpoint ToAsio(const Endpoint& endpoint) {
  return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(endpoint.address);
  out.sin_port = htons(endpoint.port);
  return out;
}

Endpoint FromSockaddr(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

}  // namespace

struct DatagramSocket::Batch {
  std::array<iovec, kBatchSize> parts{};
  std::array<sockaddr_in, kBatchSize> addresses{};
  std::array<mmsghdr, kBatchSize> headers{};

  Batch() {
    for (size_t i = 0; i < kBatchSize; ++i) {
      msghdr& header = this->headers[i].msg_hdr;
      header.msg_name = &this->addresses[i];
      header.msg_namelen = sizeof(sockaddr_in);
      header.msg_iov = &this->parts[i];
      header.msg_iovlen = 1;
    }
  }
};

DatagramSocket::DatagramSocket(boost::asio::io_context& io)
    : socket(io),
      receive_batch(std::make_unique<Batch>()),
      send_batch(std::make_unique<Batch>()),
      buffer(new char[kBatchSize * kReceiveSlotBytes]) {
  for (size_t i = 0; i < kBatchSize; ++i) {
    this->receive_batch->parts[i] = {this->buffer.get() + i * kReceiveSlotBytes,
                                     kReceiveSlotBytes};
  }
}

DatagramSocket::~DatagramSocket() = default;

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
  // A smaller buffer than requested is not an error.
  boost::system::error_code ignored;
  this->socket.set_option(udp::socket::receive_buffer_size(kSocketBufferBytes),
                          ignored);
  this->socket.set_option(udp::socket::send_buffer_size(kSocketBufferBytes),
                          ignored);
  return boost::outcome_v2::success();
}

void DatagramSocket::Start(Handler new_handler, BatchEndHandler new_batch_end) {
  this->handler = std::move(new_handler);
  this->batch_end = std::move(new_batch_end);
  this->Receive();
}

void DatagramSocket::Receive() {
  this->socket.async_wait(udp::socket::wait_read,
                          [this](const boost::system::error_code& error) {
                            if (error) return;
                            for (int i = 0; i < kMaxBatchesPerWakeup; ++i) {
                              if (!this->ReceiveBatch()) break;
                            }
                            if (this->socket.is_open()) this->Receive();
                          });
}

bool DatagramSocket::ReceiveBatch() {
  if (!this->socket.is_open()) return false;
  Batch& batch = *this->receive_batch;
  const int count = recvmmsg(this->socket.native_handle(), batch.headers.data(),
                             kBatchSize, MSG_DONTWAIT, nullptr);
  if (count <= 0) return false;
  for (size_t i = 0; i < static_cast<size_t>(count); ++i) {
    // Overwritten by recvmmsg.
    batch.headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    if (!this->socket.is_open()) return false;
    this->handler(
        FromSockaddr(batch.addresses[i]),
        {this->buffer.get() + i * kReceiveSlotBytes, batch.headers[i].msg_len});
  }
  if (this->batch_end) this->batch_end();
  return static_cast<size_t>(count) == kBatchSize;
}

void DatagramSocket::Send(const Endpoint& to, const std::string& bytes) {
  boost::system::error_code error;
  this->socket.send_to(boost::asio::buffer(bytes), ToAsio(to), 0, error);
}

void DatagramSocket::Queue(const Endpoint& to, std::string bytes) {
  this->queued.push_back({to, std::move(bytes)});
  if (this->queued.size() >= kMaxQueuedDatagrams) this->Flush();
}

void DatagramSocket::Flush() {
  for (size_t first = 0; first < this->queued.size();) {
    first += this->SendBatch(first);
  }
  this->queued.clear();
}

size_t DatagramSocket::SendBatch(size_t first) {
  Batch& batch = *this->send_batch;
  const size_t count = std::min(kBatchSize, this->queued.size() - first);
  for (size_t i = 0; i < count; ++i) {
    QueuedDatagram& next = this->queued[first + i];
    batch.addresses[i] = ToSockaddr(next.to);
    batch.parts[i] = {next.bytes.data(), next.bytes.size()};
  }
  const int done =
      sendmmsg(this->socket.native_handle(), batch.headers.data(),
               static_cast<unsigned>(count), MSG_DONTWAIT | MSG_NOSIGNAL);
  // On an error only the first datagram is dropped: the others may have other
  // destinations.
  return done <= 0 ? 1 : static_cast<size_t>(done);
}

void DatagramSocket::Close() {
  boost::system::error_code error;
  this->socket.close(error);
}

}  // namespace cornelhill
