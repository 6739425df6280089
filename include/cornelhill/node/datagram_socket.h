#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// A UDP socket that passes each datagram to a handler. `Send` may be called
// from any thread; all other calls and the handlers run on the io_context.
class DatagramSocket {
 public:
  using Handler = std::function<void(Endpoint from, std::string_view bytes)>;
  // Called after the datagrams of one receive system call were handled.
  using BatchEndHandler = std::function<void()>;

  explicit DatagramSocket(boost::asio::io_context& io);
  ~DatagramSocket();

  // Binds the socket. With `shared`, several sockets of this process may bind
  // the same address and the kernel distributes the senders among them.
  Result<void> Open(const Endpoint& address, bool shared = false);

  // Starts receiving. Requires an open socket; objects that the handlers use
  // must outlive it.
  void Start(Handler handler, BatchEndHandler batch_end = {});

  // Drops the datagram on a send error: callers and upstreams resend.
  void Send(const Endpoint& to, const std::string& bytes);

  // Like `Send`, but sends at the next `Flush`, or earlier if the queue is
  // full.
  void Queue(const Endpoint& to, std::string bytes);
  void Flush();

  void Close();

 private:
  // Message headers of one recvmmsg or sendmmsg call.
  struct Batch;

  struct QueuedDatagram {
    Endpoint to;
    std::string bytes;
  };

  void Receive();
  // Returns whether more datagrams may be pending.
  bool ReceiveBatch();
  // Returns the number of datagrams sent or dropped, at least one.
  size_t SendBatch(size_t first);

  static constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

  boost::asio::ip::udp::socket socket;
  std::unique_ptr<Batch> receive_batch;
  std::unique_ptr<Batch> send_batch;
  // Uninitialized, so that only pages with datagrams take memory.
  std::unique_ptr<char[]> buffer;
  std::vector<QueuedDatagram> queued;
  Handler handler;
  BatchEndHandler batch_end;
};

}  // namespace cornelhill
