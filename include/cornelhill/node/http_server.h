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
  std::string content_type;  // Empty: JSON.
};

// Answers HTTP/1.1 requests on one address. Runs on the thread of the event
// loop. At most `kMaxHttpSessions` connections are open; an idle one is closed.
class HttpServer {
 public:
  // Called once for each request; may be kept and called later.
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

// Descriptors are limited; the peers of one process are a handful.
constexpr size_t kMaxHttpSessions = 256;

}  // namespace cornelhill
