#include "tools/soak/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace cornelhill::soak {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// One call. The object lives until its `io` has run out of work.
struct Exchange {
  void Start(const Endpoint& to) {
    this->stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::address_v4(to.address), to.port),
        [this](const beast::error_code& error) {
          if (!error) this->Write();
        });
  }

  void Write() {
    http::async_write(this->stream, this->request,
                      [this](const beast::error_code& error, size_t) {
                        if (!error) this->Read();
                      });
  }

  void Read() {
    this->parser.body_limit(boost::none);
    http::async_read(this->stream, this->buffer, this->parser,
                     [this](const beast::error_code& error, size_t) {
                       if (!error) this->Finish();
                     });
  }

  void Finish() {
    const auto& response = this->parser.get();
    this->reply.status = response.result_int();
    this->reply.location = response[http::field::location].to_string();
    this->reply.body = response.body();
  }

  asio::io_context io;
  beast::tcp_stream stream{this->io};
  http::request<http::string_body> request;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  // A failed call is part of the faults: the status stays 0.
  HttpReply reply;
};

}  // namespace

HttpReply HttpCall(const Endpoint& to, const std::string& method,
                   const std::string& target, const std::string& body,
                   Millis timeout) {
  Exchange call;
  call.stream.expires_after(std::chrono::milliseconds(timeout.Count()));
  call.request.method(http::string_to_verb(method));
  call.request.target(target);
  call.request.version(11);
  call.request.set(http::field::host, ToString(to));
  call.request.keep_alive(false);
  if (!body.empty()) {
    call.request.set(http::field::content_type, "application/json");
    call.request.body() = body;
  }
  call.request.prepare_payload();
  call.Start(to);
  call.io.run();
  return call.reply;
}

}  // namespace cornelhill::soak
