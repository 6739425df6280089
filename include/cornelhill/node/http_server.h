#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

struct HttpRequest {
  std::string method;
  std::string target;
  std::string body;
};

struct HttpResponse {
  uint32_t status = 200;
  std::string body;  // May be empty.
  std::string location;
  std::string content_type;  // If empty, application/json.
};

// An HTTP/1.1 server on one address. Runs on the event loop thread. At most
// `kMaxHttpSessions` connections are open; idle connections are closed.
class HttpServer {
 public:
  // Call exactly once per request; may be stored and called later.
  using Respond = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest request, Respond respond)>;

  HttpServer(boost::asio::io_context& io, Handler handler);

  Result<void> Listen(const Endpoint& address);

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<Handler> handler;
  std::shared_ptr<size_t> open_sessions;
};

// Limits the file descriptors in use; a process has only a few HTTP peers.
constexpr size_t kMaxHttpSessions = 256;

}  // namespace cornelhill
