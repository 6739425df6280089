#include "tools/soak/data_path.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <stdexcept>

#include "tests/platform/stand_in/messages.h"
#include "tools/soak/configurations.h"
#include "tools/soak/http_call.h"

namespace cornelhill::soak {

namespace {

constexpr size_t kDestination = 4;
constexpr size_t kSourcePort = 8;
constexpr size_t kSource = 10;
constexpr size_t kDestinationPort = 14;
constexpr size_t kFlags = 16;
constexpr size_t kSequence = 24;
constexpr size_t kAcknowledged = 28;

constexpr uint8_t kReset = 1;
constexpr uint8_t kAcknowledge = 2;
constexpr uint8_t kOpen = 16;

constexpr Millis kReceiveTimeout{50};
constexpr Millis kOpeningTimeout{1400};
constexpr Millis kCallTimeout{1000};
constexpr std::chrono::milliseconds kReportPeriod{600};

uint32_t Get(const PacketHeader& packet, size_t at, size_t bytes) {
  uint32_t value = 0;
  for (size_t i = 0; i < bytes; ++i) value = value << 8 | packet.at(at + i);
  return value;
}

void Put(PacketHeader* packet, size_t at, uint32_t value, size_t bytes) {
  for (size_t i = bytes; i-- > 0; value >>= 8) {
    packet->at(at + i) = static_cast<uint8_t>(value);
  }
}

PacketHeader MakePacket(const Endpoint& from, const Endpoint& to, uint8_t flags,
                        uint32_t sequence, uint32_t acknowledged) {
  PacketHeader out{};
  Put(&out, 0, 1, 4);  // The checksum is of no interest to the product.
  Put(&out, kDestination, to.address, 4);
  Put(&out, kSourcePort, from.port, 2);
  Put(&out, kSource, from.address, 4);
  Put(&out, kDestinationPort, to.port, 2);
  Put(&out, kFlags, flags, 1);
  Put(&out, kSequence, sequence, 4);
  Put(&out, kAcknowledged, acknowledged, 4);
  return out;
}

Endpoint SourceOf(const PacketHeader& packet) {
  return {Get(packet, kSource, 4),
          static_cast<uint16_t>(Get(packet, kSourcePort, 2))};
}

Endpoint DestinationOf(const PacketHeader& packet) {
  return {Get(packet, kDestination, 4),
          static_cast<uint16_t>(Get(packet, kDestinationPort, 2))};
}

sockaddr_in SocketAddress(const Endpoint& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  out.sin_addr.s_addr = htonl(address.address);
  return out;
}

}  // namespace

UdpSocket::UdpSocket(const Endpoint& address)
    : descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in own = SocketAddress(address);
  if (bind(this->descriptor, reinterpret_cast<const sockaddr*>(&own),
           sizeof own) != 0) {
    throw std::runtime_error("cannot bind " + ToString(address));
  }
}

UdpSocket::~UdpSocket() { close(this->descriptor); }

void UdpSocket::Send(const Endpoint& to, const PacketHeader& packet) const {
  const sockaddr_in address = SocketAddress(to);
  sendto(this->descriptor, packet.data(), packet.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

std::optional<PacketHeader> UdpSocket::Receive(Millis timeout) const {
  pollfd ready{this->descriptor, POLLIN, 0};
  PacketHeader out{};
  if (poll(&ready, 1, static_cast<int>(timeout.Count())) != 1 ||
      recv(this->descriptor, out.data(), out.size(), 0) !=
          static_cast<ssize_t>(out.size())) {
    return std::nullopt;
  }
  return out;
}

Prober::Prober(ConfigJudge& judge, std::vector<Endpoint> clients,
               uint32_t listener)
    : judge(judge), listener(listener), clients(std::move(clients)) {
  for (const Endpoint& client : this->clients) {
    this->sockets.push_back(std::make_unique<UdpSocket>(client));
  }
  for (size_t i = 0; i < this->clients.size(); ++i) {
    this->receivers.emplace_back([this, i] { this->Receive(i); });
  }
}

Prober::~Prober() {
  this->stopping = true;
  for (std::thread& receiver : this->receivers) receiver.join();
}

void Prober::Open(const ProbedBalancer& balancer, size_t client,
                  Random& random) {
  const auto port =
      static_cast<uint16_t>(kFirstRoutedPort + random.Below(kRoutedPorts));
  const auto sequence = static_cast<uint32_t>(random.Next());
  const Millis now = MonotonicNow();
  Endpoint caller = this->clients.at(client);
  {
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->open, [now](const auto& item) {
      return now - item.second.sent > kOpeningTimeout;
    });
    this->next_port = this->next_port == UINT16_MAX
                          ? 1024
                          : static_cast<uint16_t>(this->next_port + 1);
    caller.port = this->next_port;
    this->open[{caller.address, caller.port}] = {
        balancer.name, balancer.incarnation, now, now, port, {}};
    this->balancers[{caller.address, caller.port}] = balancer.packets;
  }
  this->sockets.at(client)->Send(
      balancer.packets,
      MakePacket(caller, {this->listener, port}, kOpen, sequence, 0));
}

void Prober::Receive(size_t client) {
  while (!this->stopping) {
    const std::optional<PacketHeader> packet =
        this->sockets.at(client)->Receive(kReceiveTimeout);
    if (!packet.has_value()) continue;
    const Endpoint caller = DestinationOf(*packet);
    const uint32_t flags = Get(*packet, kFlags, 1);
    if ((flags & kReset) != 0) {
      this->Finish(caller.address, caller.port, {});
      continue;
    }
    if ((flags & kOpen) == 0) continue;
    // Opens the flow and gives it up, so that it holds no slot.
    Endpoint balancer;
    {
      const std::lock_guard lock(this->mutex);
      balancer = this->balancers[{caller.address, caller.port}];
    }
    this->sockets.at(client)->Send(balancer,
                                   MakePacket(caller, SourceOf(*packet), kReset,
                                              Get(*packet, kAcknowledged, 4),
                                              Get(*packet, kSequence, 4) + 1));
  }
}

void Prober::OnReached(const PacketHeader& first, const std::string& service) {
  const Endpoint caller = SourceOf(first);
  this->Finish(caller.address, caller.port, service);
}

void Prober::Finish(uint32_t caller, uint16_t caller_port,
                    const std::string& service) {
  ProbeResult result;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->open.extract({caller, caller_port});
    if (found.empty()) return;
    result = found.mapped();
  }
  result.observed = MonotonicNow();
  result.service = service;
  this->judge.OnProbe(result);
}

UpstreamStub::UpstreamStub(Prober& prober, std::string service,
                           const Endpoint& app, const Endpoint& outbound,
                           const Endpoint& control)
    : prober(prober),
      service(std::move(service)),
      id("i-" + std::to_string(app.address & 0xff)),
      born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      app(app),
      outbound(outbound),
      control(control),
      socket(app) {
  this->threads.emplace_back([this] { this->Serve(); });
  this->threads.emplace_back([this] { this->Report(); });
}

UpstreamStub::~UpstreamStub() {
  this->stopping = true;
  for (std::thread& thread : this->threads) thread.join();
}

void UpstreamStub::Serve() {
  Random random(static_cast<uint64_t>(this->born) + this->app.address);
  while (!this->stopping) {
    const std::optional<PacketHeader> packet =
        this->socket.Receive(kReceiveTimeout);
    if (!packet.has_value()) continue;
    if ((Get(*packet, kFlags, 1) & kOpen) == 0) continue;
    this->prober.OnReached(*packet, this->service);
    this->socket.Send(
        this->outbound,
        MakePacket(DestinationOf(*packet), SourceOf(*packet),
                   kOpen | kAcknowledge, static_cast<uint32_t>(random.Next()),
                   Get(*packet, kSequence, 4) + 1));
  }
}

void UpstreamStub::Report() {
  for (uint64_t sequence = 1; !this->stopping; ++sequence) {
    const std::string report =
        platform_stand_in::ReportDocument(this->service, this->app, sequence,
                                          this->born)
            .dump();
    HttpCall(this->control, "PUT", platform_stand_in::ReportTarget(this->id),
             report, kCallTimeout);
    std::this_thread::sleep_for(kReportPeriod);
  }
}

void UpstreamStub::SendOddReport(Random& random) const {
  std::string body;
  switch (random.Below(7)) {
    case 0:
      body = std::string(200000, '[');
      break;
    case 1:
      body = R"({"service":"alpha","state":"ready","slots":1e999,"seq":1})";
      break;
    case 2:
      body = R"({"service":"alpha","address":"10.0.0.1:99999","state":"ready",)"
             R"("slots":8,"seq":"7"})";
      break;
    case 3:
      body = R"({"service":["alpha"],"state":7,"slots":8,"seq":1})";
      break;
    case 4:
      body = platform_stand_in::IncompleteReportDocument(
                 this->service, this->app, 1, this->born + 1)
                 .dump();
      break;
    case 5:
      body = platform_stand_in::ReportDocument(this->service, this->control, 1,
                                               this->born + 1)
                 .dump();
      break;
    default:
      body = std::string("\xff\x00\xfe{", 4);
  }
  HttpCall(this->control, "PUT", platform_stand_in::ReportTarget("i-other"),
           body, kCallTimeout);
}

}  // namespace cornelhill::soak
