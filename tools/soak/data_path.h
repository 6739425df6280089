#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/random.h"
#include "tools/soak/config_judge.h"

namespace cornelhill::soak {

constexpr size_t kPacketHeaderBytes = 32;
using PacketHeader = std::array<uint8_t, kPacketHeaderBytes>;

// A UDP socket bound to one address. Thread-safe.
class UdpSocket {
 public:
  explicit UdpSocket(const Endpoint& address);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  void Send(const Endpoint& to, const PacketHeader& packet) const;
  // Returns nothing after `timeout`.
  std::optional<PacketHeader> Receive(Millis timeout) const;

 private:
  int descriptor;
};

// A balancer that flows are opened at.
struct ProbedBalancer {
  std::string name;
  int incarnation = 0;
  Endpoint packets;
};

// Opens flows directly at balancers and reports which service each reached, or
// that it was reset. Thread-safe.
class Prober {
 public:
  // `clients` are addresses of callers, one for each balancer.
  Prober(ConfigJudge& judge, std::vector<Endpoint> clients, uint32_t listener);
  ~Prober();

  // Opens a flow to a random port. The callers of index `client` receive the
  // answer.
  void Open(const ProbedBalancer& balancer, size_t client, Random& random);
  // An upstream has received the first packet of a flow.
  void OnReached(const PacketHeader& first, const std::string& service);

 private:
  void Receive(size_t client);
  void Finish(uint32_t caller, uint16_t caller_port,
              const std::string& service);

  ConfigJudge& judge;
  uint32_t listener;
  std::vector<Endpoint> clients;
  std::vector<std::unique_ptr<UdpSocket>> sockets;
  std::mutex mutex;
  std::map<std::pair<uint32_t, uint16_t>, ProbeResult> open;
  std::map<std::pair<uint32_t, uint16_t>, Endpoint> balancers;
  uint16_t next_port = 1024;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> receivers;
};

// An upstream beside an agent: accepts every flow and reports to the agent.
class UpstreamStub {
 public:
  UpstreamStub(Prober& prober, std::string service, const Endpoint& app,
               const Endpoint& outbound, const Endpoint& control);
  ~UpstreamStub();

  // Sends a report of another writer to the agent: nested too deep, with a
  // number out of range, of a wrong type or not JSON.
  void SendOddReport(Random& random) const;

 private:
  void Serve();
  void Report();

  Prober& prober;
  std::string service;
  std::string id;
  int64_t born;
  Endpoint app;
  Endpoint outbound;
  Endpoint control;
  UdpSocket socket;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace cornelhill::soak
