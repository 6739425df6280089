#pragma once

// Stand-ins for the platform of one small deployment on loopback addresses:
// processes of the project, servers, clients, routers and an operator.

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <fstream>
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

std::string Text(uint32_t ip);
std::string Text(const Address& address);

// Milliseconds since this process started.
int64_t Now();
void SleepMs(int64_t ms);
int64_t UnixMs();

// Writes record.txt. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : out(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex;
  std::ofstream out;
};

// One packet of the platform: a header of 32 bytes and data.
struct Packet {
  uint32_t sum = 1;
  Address to;
  Address from;
  uint8_t flags = 0;
  uint8_t pad = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  std::string data;
};

constexpr uint8_t kRst = 1;
constexpr uint8_t kAck = 2;
constexpr uint8_t kSyn = 16;
constexpr uint8_t kBounced = 32;
constexpr uint8_t kFin = 128;

std::string Encode(const Packet& packet);
std::optional<Packet> Decode(const std::string& bytes);

// A UDP socket. Not thread-safe.
class Udp {
 public:
  explicit Udp(const Address& own);
  ~Udp();
  Udp(const Udp&) = delete;
  Udp& operator=(const Udp&) = delete;
  void Send(const Address& to, const std::string& bytes) const;
  std::optional<std::string> Receive() const;
  int Descriptor() const { return this->fd; }

 private:
  int fd;
};

struct HttpReply {
  int status = 0;  // 0: no answer.
  std::string location;
  std::string body;
};

HttpReply HttpCall(const Address& to, const std::string& method,
                   const std::string& target, const std::string& body,
                   int timeout_ms);

struct Ports {
  uint16_t control, packets, ready, outbound, app, internal;
};

// A process of the project.
struct Process {
  std::string name, role, zone, service;
  uint32_t ip = 0;
  pid_t pid = 0;
  bool bootstrap = true;
};

class World;

// A server beside a side daemon: keeps flows, runs requests, reports itself. It
// never sends a reset.
class Server {
 public:
  Server(World& world, std::string name, std::string service, uint32_t ip,
         std::string zone, uint32_t slots);
  ~Server();

  // Starts a new incarnation that knows nothing of before.
  void Start();
  // Crashes: discards all flows and falls silent.
  void Crash();

  void OnReadable();
  void Tick();
  int Descriptor() const {
    return this->socket == nullptr ? -1 : this->socket->Descriptor();
  }
  bool Runs() const { return this->socket != nullptr; }

  const std::string name;
  const std::string service;
  const uint32_t ip;
  std::atomic<bool> reporting = false;

 private:
  struct Flow {
    uint32_t own_seq = 0;   // Of the SYN+ACK.
    uint32_t next_in = 0;   // Next byte that is expected from the client.
    uint32_t next_out = 0;  // Next byte to send.
    bool open = false;
    bool client_closed = false;
    std::string input;
    // The unacknowledged answer and its retransmissions.
    std::string unacked;
    uint32_t unacked_seq = 0;
    int64_t retransmit_at = 0;
    int64_t interval = 200;
    int tries = 0;
  };
  struct Job {
    std::pair<Address, Address> flow;
    std::string id;
    int64_t work_ms = 0;
    int64_t ends = 0;
  };

  void OnPacket(const Packet& packet);
  void Return(const Packet& packet);
  void Send(const std::pair<Address, Address>& key, const Flow& flow,
            uint8_t flags, uint32_t seq, const std::string& data);
  void Report();
  void StartJobs();

  World& world;
  const std::string zone;
  const uint32_t slots;
  std::unique_ptr<Udp> socket;
  int64_t born = 0;
  int starts = 0;
  std::string id;
  std::mutex report_mutex;  // Guards `id`, `born` and `sequence`.
  uint64_t sequence = 0;
  std::map<std::pair<Address, Address>, Flow> flows;  // By client, service.
  std::deque<Job> queue;
  std::vector<Job> running;
  std::thread reporter;
  std::atomic<bool> ended = false;
};

// One flow of a client: opens, sends its requests at their times, and records
// how each ended.
struct ClientFlow {
  Address own;
  Address service;
  enum State { kOpening, kOpen, kEnded } state = kOpening;
  uint32_t first_seq = 0;
  uint32_t next_out = 0;
  uint32_t next_in = 0;
  int copies = 0;
  int64_t started = 0;
  int64_t opened = 0;
  // Times after the start of the flow at which requests are sent.
  std::vector<int64_t> request_times;
  int64_t work_ms = 10;
  size_t next_request = 0;
  size_t answered = 0;
  std::string waiting_id;
  std::string unacked;
  uint32_t unacked_seq = 0;
  int64_t retransmit_at = 0;
  int64_t interval = 200;
  std::string input;
  Process* fixed_entry = nullptr;
  std::string last_entry;  // The daemon that took the last packet.
  // When each copy of the first packet was sent, and through which daemon.
  int64_t copy_sent[3] = {-1, -1, -1};
  std::string copy_entry[3];
  int64_t reset_at = -1;  // When a reset in the window arrived.
  std::string end;        // Why the flow ended.
};

// A client address with many flows.
class Client {
 public:
  Client(World& world, uint32_t ip);
  // Opens a flow; returns it. The flow lives as long as the client.
  // With `entry`, all its packets go to that daemon.
  ClientFlow* Open(uint16_t port, const Address& service,
                   std::vector<int64_t> request_times, int64_t work_ms,
                   Process* entry = nullptr);
  void OnReadable();
  void Tick();
  int Descriptor() const { return this->socket.Descriptor(); }
  const std::vector<std::unique_ptr<ClientFlow>>& Flows() const {
    return this->flows;
  }

 private:
  void Send(ClientFlow* flow, uint8_t flags, uint32_t seq, uint32_t ack,
            const std::string& data);
  void OnPacket(const Packet& packet);
  void SendFirst(ClientFlow* flow);
  void SendRequest(ClientFlow* flow);

  World& world;
  uint32_t ip;
  Udp socket;
  std::vector<std::unique_ptr<ClientFlow>> flows;
  std::map<uint16_t, ClientFlow*> by_port;
};

// The deployment. All stand-ins but the probes, the heartbeats and the operator
// run in `Run`, on the thread that calls it.
class World {
 public:
  // `root`: of the repository. `folder`: where record.txt is written.
  World(std::string root, const std::string& folder);
  ~World();

  void AddCores(int count);
  void AddEntries(int count);
  Server* AddServer(const std::string& name, const std::string& service,
                    const std::string& zone, uint32_t slots);
  Client* AddClient();
  void StartAll();

  void StartProcess(Process* process);
  void Signal(Process* process, int signal);
  // Reaps the process if it has ended.
  bool HasEnded(Process* process);
  Process* Find(const std::string& name);

  // Sends a configuration until it is acknowledged. Returns the time of the
  // acknowledgement, or -1.
  int64_t Order(const std::string& document, int64_t limit_ms);
  // Starts `Order` on a thread of its own; `*acknowledged_at` is set when done.
  void OrderInBackground(const std::string& document,
                         std::atomic<int64_t>* acknowledged_at);

  // Runs all stand-ins until `end`; calls `step` about every millisecond.
  void Run(int64_t end, const std::function<void()>& step = {});

  // The daemon that the router hands a packet of this flow to, or null.
  Process* Route(const Address& client, const Address& service);
  std::vector<std::string> InRotation();
  // When a daemon in rotation last missed its first check, or -1.
  std::atomic<int64_t> first_miss = -1;

  Record& Out() { return this->record; }
  const Ports& P() const { return this->ports; }
  uint32_t Ip(uint32_t host) const { return this->network + host; }
  uint32_t ServiceIp() const { return this->Ip(200); }
  uint32_t Random();

  // A request that a server began to run.
  struct Ran {
    std::string id, server, service;
    Address client, target;
    int64_t at;
  };
  std::vector<Ran> runs;
  // Opening packets that servers took.
  struct Taken {
    Address client, target;
    std::string server, service;
    uint32_t copy;
    int64_t at;
  };
  std::vector<Taken> taken;
  // The server at which each flow opened, by client and service.
  std::map<std::pair<Address, Address>, std::string> opened_at;

  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::unique_ptr<Process>> processes;

 private:
  void WriteSettings(const Process& process);
  void Probe();

  std::string root;
  std::string temporary;
  Record record;
  Ports ports{};
  uint32_t network;
  uint64_t random_state;
  std::mutex rotation_mutex;
  std::vector<Process*> rotation;
  std::atomic<bool> ended = false;
  std::thread prober;
  std::vector<std::thread> operators;
  uint32_t next_host = 131;
  uint32_t next_client = 201;
};

std::string RouteJson(uint32_t ip, uint16_t port, const std::string& service,
                      int timeout_ms);
std::string ConfigJson(uint64_t version, const std::vector<std::string>& routes,
                       const std::vector<std::string>& services);

}  // namespace review
