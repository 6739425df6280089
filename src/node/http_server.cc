#include "cornelhill/node/http_server.h"

#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "cornelhill/control/command.h"

namespace cornelhill {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// A whole listener document.
constexpr size_t kMaxBodyBytes = kMaxListenerDocumentBytes;
constexpr uint32_t kMaxHeaderBytes = 16384;
// Long enough that a peer that polls twice a second keeps its connection.
constexpr std::chrono::seconds kIdleTimeout{10};
constexpr int kListenBacklog = 128;

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(tcp::socket socket, std::shared_ptr<HttpServer::Handler> handler,
              std::shared_ptr<size_t> open_sessions)
      : stream(std::move(socket)),
        handler(std::move(handler)),
        open_sessions(std::move(open_sessions)) {
    ++*this->open_sessions;
  }
  ~HttpSession() { --*this->open_sessions; }
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Read() {
    this->parser.emplace();
    this->parser->body_limit(kMaxBodyBytes);
    this->parser->header_limit(kMaxHeaderBytes);
    this->stream.expires_after(kIdleTimeout);
    http::async_read(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](const beast::error_code& error,
                                          size_t) { self->OnRead(error); });
  }

 private:
  void OnRead(const beast::error_code& error) {
    if (error == http::error::body_limit) {
      this->keep_alive = false;
      this->Write({413,
                   R"({"error":"body is larger than )" +
                       std::to_string(kMaxBodyBytes) + R"( bytes"})",
                   {}});
      return;
    }
    if (error == http::error::end_of_stream) {
      beast::error_code ignored;
      this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (error) {
      if (error.category() ==
          http::make_error_code(http::error::bad_method).category()) {
        this->keep_alive = false;
        this->Write({400, R"({"error":"request is not HTTP/1.1"})", {}});
      }
      return;
    }
    const http::request<http::string_body>& request = this->parser->get();
    this->keep_alive = request.keep_alive();
    HttpRequest out;
    out.method = request.method_string().to_string();
    out.target = request.target().to_string();
    out.body = request.body();
    // The handler may take longer than the idle timeout.
    this->stream.expires_never();
    (*this->handler)(std::move(out),
                     [self = this->shared_from_this()](HttpResponse response) {
                       self->Write(std::move(response));
                     });
  }

  void Write(HttpResponse response) {
    this->response = {};
    this->response.version(11);
    this->response.result(response.status);
    this->response.set(http::field::content_type, response.content_type.empty()
                                                      ? "application/json"
                                                      : response.content_type);
    if (!response.location.empty()) {
      this->response.set(http::field::location, response.location);
    }
    this->response.keep_alive(this->keep_alive);
    this->response.body() = std::move(response.body);
    this->response.prepare_payload();
    this->stream.expires_after(kIdleTimeout);
    http::async_write(this->stream, this->response,
                      [self = this->shared_from_this()](
                          const beast::error_code& error, size_t) {
                        if (error) return;
                        if (self->keep_alive) {
                          self->Read();
                        } else {
                          beast::error_code ignored;
                          self->stream.socket().shutdown(
                              tcp::socket::shutdown_send, ignored);
                        }
                      });
  }

  beast::tcp_stream stream;
  std::shared_ptr<HttpServer::Handler> handler;
  std::shared_ptr<size_t> open_sessions;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  bool keep_alive = true;
};

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& io, Handler handler)
    : acceptor(io),
      handler(std::make_shared<Handler>(std::move(handler))),
      open_sessions(std::make_shared<size_t>(0)) {}

Result<void> HttpServer::Listen(const Endpoint& address) {
  const tcp::endpoint local(boost::asio::ip::address_v4(address.address),
                            address.port);
  boost::system::error_code error;
  this->acceptor.open(tcp::v4(), error);
  if (!error) this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (!error) this->acceptor.bind(local, error);
  if (!error) this->acceptor.listen(kListenBacklog, error);
  if (error) {
    return Fail(ErrorCode::kIo, "cannot listen on " + ToString(address) + ": " +
                                    error.message());
  }
  this->Accept();
  return boost::outcome_v2::success();
}

void HttpServer::Accept() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error && *this->open_sessions < kMaxHttpSessions) {
          std::make_shared<HttpSession>(std::move(socket), this->handler,
                                        this->open_sessions)
              ->Read();
        }
        this->Accept();
      });
}

}  // namespace cornelhill
