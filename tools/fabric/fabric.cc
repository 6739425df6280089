// Simulates the platform's network fabric: forwards each datagram that a caller
// sends to a service address to a random balancer through the tunnel, and sends
// answers to callers from the address that they wrote to.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"
#include "cornelhill/wire/data_codec.h"
#include "tools/common/net.h"

ABSL_FLAG(std::string, services, "",
          "addresses that callers write to, IPV4:PORT,IPV4:PORT...");
ABSL_FLAG(std::string, tunnel, "",
          "own tunnel address, IPV4:PORT; balancers return answers to it");
ABSL_FLAG(std::string, balancers, "",
          "tunnel addresses of the balancers, IPV4:PORT,IPV4:PORT...");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random choice of balancers");

namespace cornelhill {
namespace {

using boost::asio::ip::udp;
using ErrorCodeAsio = boost::system::error_code;

// How long a balancer is skipped after its closed port made a send fail.
constexpr Millis kUnreachablePeriod(500);

struct Inbound {
  udp::socket socket;
  Endpoint service;
  udp::endpoint from;
  std::array<char, kMaxDatagramBytes> buffer;
};

struct BalancerLink {
  udp::socket socket;
  Millis unreachable_until;
};

class Fabric {
 public:
  Fabric(boost::asio::io_context& io, const std::vector<Endpoint>& services,
         const Endpoint& tunnel, const std::vector<Endpoint>& balancers,
         uint64_t seed)
      : random(seed), tunnel(io, ToAsio(tunnel)) {
    for (const Endpoint& service : services) {
      this->inbound.push_back(std::make_unique<Inbound>(
          Inbound{udp::socket(io, ToAsio(service)), service, {}, {}}));
    }
    for (const Endpoint& balancer : balancers) {
      udp::socket socket(io, udp::v4());
      socket.connect(ToAsio(balancer));
      socket.non_blocking(true);
      this->links.push_back({std::move(socket), Millis()});
    }
  }

  void Start() {
    for (const auto& service : this->inbound) this->ReceiveFromCaller(*service);
    this->ReceiveFromBalancer();
  }

 private:
  void ReceiveFromCaller(Inbound& in) {
    in.socket.async_receive_from(
        boost::asio::buffer(in.buffer), in.from,
        [this, &in](const ErrorCodeAsio& error, size_t bytes) {
          if (error == boost::asio::error::operation_aborted) return;
          if (!error) this->SendToRandomBalancer(in, bytes);
          this->ReceiveFromCaller(in);
        });
  }

  void SendToRandomBalancer(const Inbound& in, size_t bytes) {
    Encapsulated packet;
    packet.flow = {FromAsio(in.from), in.service, Protocol::kUdp};
    packet.payload.assign(in.buffer.data(), bytes);
    const std::string encoded = Encode(packet);
    const Millis now = MonotonicNow();
    const size_t first = this->random.Below(this->links.size());
    for (size_t i = 0; i < this->links.size(); ++i) {
      BalancerLink& link = this->links[(first + i) % this->links.size()];
      if (now < link.unreachable_until) continue;
      ErrorCodeAsio error;
      link.socket.send(boost::asio::buffer(encoded), 0, error);
      if (!error) return;
      link.unreachable_until = now + kUnreachablePeriod;
    }
  }

  void ReceiveFromBalancer() {
    this->tunnel.async_receive_from(
        boost::asio::buffer(this->buffer), this->from,
        [this](const ErrorCodeAsio& error, size_t bytes) {
          if (error == boost::asio::error::operation_aborted) return;
          if (!error) this->Deliver({this->buffer.data(), bytes});
          this->ReceiveFromBalancer();
        });
  }

  void Deliver(std::string_view bytes) {
    const Result<Encapsulated> packet = DecodeEncapsulated(bytes);
    if (!packet.has_value()) return;
    for (const auto& in : this->inbound) {
      if (in->service != packet.value().flow.service) continue;
      ErrorCodeAsio error;
      in->socket.send_to(boost::asio::buffer(packet.value().payload),
                         ToAsio(packet.value().flow.caller), 0, error);
    }
  }

  Random random;
  udp::socket tunnel;
  udp::endpoint from;
  std::array<char, kMaxDatagramBytes> buffer{};
  std::vector<std::unique_ptr<Inbound>> inbound;
  std::vector<BalancerLink> links;
};

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "simulates the network fabric: distributes callers' datagrams over the "
      "balancers");
  absl::ParseCommandLine(argc, argv);
  using cornelhill::ParseEndpointOrExit;
  using cornelhill::ParseEndpointsOrExit;
  boost::asio::io_context io;
  cornelhill::Fabric fabric(
      io, ParseEndpointsOrExit("services", absl::GetFlag(FLAGS_services)),
      ParseEndpointOrExit("tunnel", absl::GetFlag(FLAGS_tunnel)),
      ParseEndpointsOrExit("balancers", absl::GetFlag(FLAGS_balancers)),
      absl::GetFlag(FLAGS_seed));
  fabric.Start();
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  io.run();
  return 0;
}
