// A small deployment on loopback addresses: the project's own programs as
// processes, and stand-ins for the platform's router, the operator, the
// upstreams and the callers. Everything a stand-in does is described on the
// users' pages (PROTOCOL.md, DEPLOY.md). Used by the cases of this review only.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct Address {
  uint32_t ip = 0;
  uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};
std::string ToText(const Address& address);
std::string IpText(uint32_t ip);

// Milliseconds of the steady clock since the start of the program.
int64_t NowMs();
// Unix time in milliseconds.
int64_t UnixMs();
void SleepMs(int64_t ms);

// Writes one line to record.txt and to standard output.
void Record(const std::string& line);

// The platform's packet: a header of 32 bytes and up to 1,200 bytes of data.
struct Packet {
  Address from;
  Address to;
  uint8_t flags = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  std::string data;
};
inline constexpr uint8_t kReset = 1;
inline constexpr uint8_t kAck = 2;
inline constexpr uint8_t kSyn = 16;
inline constexpr uint8_t kBounced = 32;
inline constexpr uint8_t kFin = 128;

// Encodes a packet with the keyed sum that only callers and upstreams know.
std::string Encode(const Packet& packet);
// Returns nothing if the bytes are no packet. `sum_valid` tells whether the sum
// is that of the sender.
std::optional<Packet> Decode(const std::string& bytes, bool* sum_valid);

class Udp {
 public:
  explicit Udp(const Address& own);
  ~Udp();
  Udp(const Udp&) = delete;
  Udp& operator=(const Udp&) = delete;
  void Send(const Address& to, const std::string& bytes) const;
  std::optional<std::string> Receive(int timeout_ms) const;

 private:
  int fd;
};

struct HttpAnswer {
  int status = 0;  // 0: no answer.
  std::string location;
  std::string body;
};
HttpAnswer HttpCall(const Address& to, const std::string& method,
                    const std::string& target, const std::string& body,
                    int timeout_ms);

// Stands for the way from a server to its daemon. Passes each call on at once,
// or holds it until it is released, as a partition does.
class HoldingProxy {
 public:
  HoldingProxy(const Address& own, const Address& to);
  ~HoldingProxy();
  HoldingProxy(const HoldingProxy&) = delete;
  HoldingProxy& operator=(const HoldingProxy&) = delete;
  void Hold() { this->holding = true; }
  // Number of calls that are held.
  size_t Held() const { return this->held; }
  // Delivers the held calls, each as soon as the daemon accepts a connection.
  // Returns the status of the last one.
  int Release();

 private:
  void Serve();
  std::optional<std::string> Deliver(const std::string& request) const;

  Address to;
  int listener;
  std::atomic<bool> stopping = false;
  std::atomic<bool> holding = false;
  std::atomic<size_t> held = 0;
  std::mutex mutex;
  std::vector<std::string> requests;
  std::thread thread;
};

// Ports, which are the same on all machines.
struct Ports {
  uint16_t control = 0;
  uint16_t packets = 0;
  uint16_t ready = 0;
  uint16_t outbound = 0;
  uint16_t app = 0;
  uint16_t internal = 0;
};

// A machine and the processes of the system on it.
class Machine {
 public:
  Machine(std::string name, std::string zone, uint32_t ip)
      : name(std::move(name)), zone(std::move(zone)), ip(ip) {}
  std::string name;
  std::string zone;
  uint32_t ip;
  std::string service;                     // Of the upstream on a side machine.
  std::map<std::string, pid_t> processes;  // By role.
};

// One request on a flow, as the caller saw it.
enum class Outcome { kAnswered, kReset, kSilent };
std::string ToText(Outcome outcome);

class World;

// An upstream: holds flows, answers requests, and reports to its agent. Its
// memory is lost when it ends.
class Upstream {
 public:
  struct Options {
    std::string id;
    std::string service;
    uint64_t first_seq = 1;
    // Where heartbeats go; the agent's `control` address unless a proxy delays
    // the way there.
    std::optional<Address> control;
  };
  Upstream(World& world, const Machine& machine, Options options);
  ~Upstream();

  // Ends like a process that crashes: nothing is sent any more.
  void Crash();
  bool Holds(const Address& caller) const;
  int64_t Born() const { return this->born; }
  const std::string& Id() const { return this->options.id; }
  // Time and number of the last heartbeat that was acknowledged.
  int64_t AckedAt() const { return this->acked_at; }
  uint64_t AckedSeq() const { return this->acked_seq; }
  uint64_t RunCount() const { return this->runs; }
  uint64_t SynCount() const { return this->syns; }
  // Sends one heartbeat as the next one of this start. Returns the status.
  int Beat(const std::string& state);
  void SetState(const std::string& next);
  // Leaves runs out of the record.
  std::atomic<int> quiet = 0;

 private:
  struct Flow {
    uint32_t client_seq = 0;  // Of the first packet.
    uint32_t own_seq = 0;
    uint32_t expected = 0;  // Next byte of the caller.
    uint32_t next = 0;      // Next byte of its own.
    bool open = false;
    std::map<uint32_t, std::string> answers;  // By the caller's sequence.
    std::map<uint32_t, uint32_t> answer_seq;
  };
  using Key = std::pair<Address, Address>;
  void Serve();
  void OnPacket(const std::string& bytes);
  void BeatLoop();

  World& world;
  uint32_t ip;
  std::string zone;
  Options options;
  int64_t born;
  std::atomic<bool> stopping = false;
  std::atomic<int64_t> acked_at = -1;
  std::atomic<uint64_t> acked_seq = 0;
  std::atomic<uint64_t> runs = 0;
  std::atomic<uint64_t> syns = 0;
  mutable std::mutex mutex;
  std::string state = "ready";
  uint64_t seq;
  std::map<Key, Flow> flows;
  std::unique_ptr<Udp> socket;
  std::vector<std::thread> threads;
};

// A caller's flow.
struct Flow {
  Address caller;
  Address listener;
  uint32_t first_seq = 0;
  uint32_t next = 0;  // Next own byte.
  uint32_t peer = 0;  // Next expected byte of the upstream.
  bool open = false;
  bool reset = false;
  int requests = 0;
};

class World {
 public:
  // `folder` is the case's folder; record.txt is written there.
  explicit World(const std::string& folder);
  ~World();

  Machine& AddEdge(const std::string& zone);
  Machine& AddSide(const std::string& zone, const std::string& service);
  // Starts the process of a role with the command of the deploy file.
  void Start(Machine& machine, const std::string& role, bool first_start);
  void Signal(Machine& machine, const std::string& role, int signal);
  // SIGTERM, then SIGKILL after the grace period. Returns once it has ended.
  void Stop(Machine& machine, const std::string& role);
  // Returns whether a process ended that was not stopped.
  bool AnyEnded();

  Address At(const Machine& machine, uint16_t port) const {
    return {machine.ip, port};
  }

  // Folder of the machine's settings, logs and data.
  std::string FolderOf(const Machine& machine) const {
    return this->folder + "/" + machine.name;
  }

  // The operator: sends a configuration to the seeds and follows redirects
  // until it is acknowledged. Returns false if that took over `limit_ms`.
  bool PutConfig(uint64_t version, const std::string& document, int limit_ms);
  std::string ConfigDocument(uint64_t version) const;

  // The router: the daemon that a packet of the caller goes to. It is selected
  // by a hash over the daemons in rotation.
  std::optional<Address> Route(const Address& caller, const Address& listener);
  size_t InRotation();
  // Starts the checks of `ready`, twice a second. Call after `AddEdge`.
  void StartRouter();

  // Opens a flow as a caller does: copies after 200 and 600 ms, the end after
  // 1.4 s.
  bool Open(Flow* flow);
  // Ends a flow as its caller.
  void Close(Flow* flow);
  // Sends one request on an open flow and retransmits it until `deadline_ms`.
  Outcome Request(Flow* flow, int deadline_ms);
  Flow NewFlow(const Address& listener);
  Address Listener(const std::string& service) const;

  Ports ports;
  std::vector<std::unique_ptr<Machine>> edges;
  std::vector<std::unique_ptr<Machine>> sides;
  int64_t heartbeat_ms = 1200;

 private:
  std::string Settings(const Machine& machine, const std::string& role,
                       bool first_start) const;
  void CheckReady();
  uint32_t NextIp(uint32_t zone_index, uint32_t* counter) const;

  std::string root;      // Of the repository.
  std::string folder;    // Temporary.
  uint32_t network = 0;  // 127.N.0.0
  int claim = -1;        // Socket that claims the network.
  uint32_t last_host = 10;
  std::unique_ptr<Udp> caller_socket;
  Address caller_address;
  uint16_t next_port = 20000;
  std::mutex mutex;
  std::map<uint32_t, int> misses;  // Of ready checks, by machine.
  std::atomic<bool> stopping = false;
  std::thread ready_checker;
};

}  // namespace review
