#include "cornelhill/node/http_server.h"

#include <criterion/criterion.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "tests/node/free_endpoint.h"

namespace cornelhill {
namespace {

using boost::asio::ip::tcp;

// A server on its own thread that echoes the method, target and body.
class EchoServer {
 public:
  EchoServer() {
    cr_assert(this->server.Listen(this->address).has_value());
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~EchoServer() {
    this->io.stop();
    this->thread.join();
  }

  tcp::socket Connect(boost::asio::io_context& client) const {
    tcp::socket socket(client);
    socket.connect({boost::asio::ip::address_v4(this->address.address),
                    this->address.port});
    return socket;
  }

  // Sends bytes on a new connection and returns the whole reply.
  std::string Exchange(const std::string& bytes) const {
    boost::asio::io_context client;
    tcp::socket socket = this->Connect(client);
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string reply;
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply), error);
    return reply;
  }

 private:
  boost::asio::io_context io;
  Endpoint address = FreeEndpoint(SOCK_STREAM);
  HttpServer server{
      io, [](const HttpRequest& request, const HttpServer::Respond& respond) {
        HttpResponse response;
        response.body =
            request.method + " " + request.target + " " + request.body;
        respond(response);
      }};
  std::thread thread;
};

std::string Put(const std::string& body) {
  return "PUT /path HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

Test(http_server, requests_on_one_connection_are_answered_in_order,
     .timeout = 60) {
  const EchoServer server;
  const std::string reply = server.Exchange(Put("first") + Put("second"));
  const size_t first = reply.find("PUT /path first");
  const size_t second = reply.find("PUT /path second");
  cr_assert_neq(first, std::string::npos);
  cr_assert_neq(second, std::string::npos);
  cr_assert_lt(first, second);
}

// Guards against a malformed request that is answered with status 200 or stops
// the server.
Test(http_server, malformed_requests_are_refused_and_the_server_keeps_running,
     .timeout = 60) {
  const EchoServer server;
  const std::string garbage = server.Exchange("\x01\x02 nonsense\r\n\r\n");
  cr_assert_eq(garbage.find("HTTP/1.1 200"), std::string::npos);
  const std::string truncated = server.Exchange(
      "PUT /path HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf");
  cr_assert_eq(truncated.find("HTTP/1.1 200"), std::string::npos);
  const std::string long_header = server.Exchange(
      "GET /path HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') +
      "\r\n\r\n");
  cr_assert_eq(long_header.find("HTTP/1.1 200"), std::string::npos);
  cr_assert_neq(server.Exchange(Put("after")).find("PUT /path after"),
                std::string::npos);
}

// Guards against a body above the limit that is buffered in memory or dropped
// without a reply.
Test(http_server, a_body_above_the_limit_is_refused, .timeout = 60) {
  const EchoServer server;
  const std::string head =
      "PUT /path HTTP/1.1\r\nHost: a\r\nContent-Length: 983041\r\n\r\n";
  const std::string reply = server.Exchange(head);
  cr_assert_neq(reply.find("HTTP/1.1 413"), std::string::npos);
  cr_assert_neq(reply.find("983040 bytes"), std::string::npos);
}

// Guards against a valid configuration of 3,040 routes, some 530 KB, that is
// refused for its size.
Test(http_server, a_large_configuration_is_accepted, .timeout = 60) {
  const EchoServer server;
  const std::string reply = server.Exchange(Put(std::string(983040, 'x')));
  cr_assert_neq(reply.find("HTTP/1.1 200"), std::string::npos);
}

}  // namespace
}  // namespace cornelhill
