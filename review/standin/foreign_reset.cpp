// Open flows of healthy servers while another server crashes and starts again.
// Planned work beside it, with and without the crash: the daemons beside the
// servers are stopped and started in turn some seconds earlier, and two
// balancers are added, so that flows move to other balancers.

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "harness.hpp"
#include "packet.hpp"

using namespace review;

namespace {

constexpr int kServers = 7;
constexpr int kClientAddresses = 6;
constexpr int kFlowsPerAddress = 15;
constexpr long kRequestPeriodMs = 1000;
constexpr long kRetransmitMs = 200;

// When each thing happens, in milliseconds from the start of the traffic.
constexpr long kDaemonsRollAt = 3000;
constexpr long kRollGapMs = 1300;
constexpr long kServerCrashesAt = 18000;
constexpr long kFirstBalancerAt = 18200;
constexpr long kServerBackAt = 21000;
constexpr long kSecondBalancerAt = 27000;
constexpr long kEndAt = 33000;

constexpr int kBalancers = 5;  // Before two are added.

struct Server {
  std::string ip;
  std::string id;
  pid_t pid = 0;
};

struct ClientFlow {
  int address = 0;
  uint16_t port = 0;
  bool open = false;
  bool ended = false;
  long began = 0;
  int copies = 0;
  uint32_t first = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  std::string server;
  long opened_at = 0;
  long heard_at = 0;
  // The request under way.
  bool waiting = false;
  std::string request;
  long sent_at = 0;
  long interval = 0;
  long next_at = 0;
  int number = 0;
  std::string balancer;  // That took the last packet.
};

std::vector<Server> servers;
std::string program_folder;

void StartServer(Server* server, int start) {
  server->id = "i-" + server->ip.substr(server->ip.rfind('.') + 1) + "-" +
               std::to_string(start);
  const Ports& ports = DayPorts();
  const std::string path = program_folder + "/server";
  const std::string app = std::to_string(ports.app);
  const std::string outbound = std::to_string(ports.outbound);
  const std::string control = std::to_string(ports.control);
  const std::string log = TemporaryFolder() + "/" + server->id + ".log";
  server->pid = fork();
  if (server->pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(path.c_str(), path.c_str(), server->ip.c_str(), app.c_str(),
          outbound.c_str(), control.c_str(), "review", server->id.c_str(), "4",
          nullptr);
    _exit(127);
  }
  Adopt(server->pid);
}

uint32_t Number(const std::string& ip) {
  in_addr out{};
  inet_pton(AF_INET, ip.c_str(), &out);
  return ntohl(out.s_addr);
}

// The platform's routers: `mod` over the balancers in rotation.
class Router {
 public:
  void Add(const Machine& entry) {
    const std::lock_guard lock(this->mutex);
    this->entries.push_back({entry.ip, 2, -1});
  }
  void Poll() {
    std::vector<std::string> all;
    {
      const std::lock_guard lock(this->mutex);
      for (const Entry& entry : this->entries) all.push_back(entry.ip);
    }
    for (const std::string& ip : all) {
      const HttpAnswer answer =
          Call(ip + ":" + std::to_string(DayPorts().ready), "GET", "/-/ready",
               "", 400);
      const std::lock_guard lock(this->mutex);
      for (Entry& entry : this->entries) {
        if (entry.ip != ip) continue;
        if (answer.status == 200) {
          if (entry.misses >= 2) Record("in rotation: " + ip);
          entry.misses = 0;
          if (entry.since < 0) entry.since = Now();
        } else {
          ++entry.misses;
        }
      }
    }
  }
  std::string Choose(uint32_t source, uint16_t sport, uint32_t destination,
                     uint16_t dport) {
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> in;
    for (const Entry& entry : this->entries) {
      if (entry.misses < 2) in.push_back(entry.ip);
    }
    if (in.empty()) {
      for (const Entry& entry : this->entries) in.push_back(entry.ip);
    }
    uint64_t hash = 1469598103934665603ULL;
    for (const uint64_t part : {uint64_t{source}, uint64_t{sport},
                                uint64_t{destination}, uint64_t{dport}}) {
      for (int i = 0; i < 4; ++i) {
        hash = (hash ^ (part >> (8 * i) & 0xff)) * 1099511628211ULL;
      }
    }
    return in[(hash >> 20) % in.size()];
  }
  size_t InRotation() {
    const std::lock_guard lock(this->mutex);
    return static_cast<size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const Entry& entry) { return entry.misses < 2; }));
  }

 private:
  struct Entry {
    std::string ip;
    int misses;
    long since;
  };
  std::mutex mutex;
  std::vector<Entry> entries;
};

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  program_folder =
      std::string(argv[0]).substr(0, std::string(argv[0]).rfind('/'));
  const Ports& ports = DayPorts();
  std::vector<Machine> cores = {MakeMachine("core", 1, 11, "zone-a"),
                                MakeMachine("core", 2, 12, "zone-b"),
                                MakeMachine("core", 3, 13, "zone-c")};
  const std::vector<Machine> seeds = cores;
  for (Machine& core : cores) Start(&core, seeds, true);
  std::vector<Machine> entries;
  for (int i = 0; i < kBalancers + 2; ++i) {
    entries.push_back(MakeMachine("entry", i + 1, 21 + i, "zone-a"));
  }
  for (int i = 0; i < kBalancers; ++i) Start(&entries[i], seeds, false);
  std::vector<Machine> sidecars;
  for (int i = 0; i < kServers; ++i) {
    sidecars.push_back(
        MakeMachine("sidecar", i + 1, 31 + i, "zone-a", "review"));
    Start(&sidecars.back(), seeds, false);
    servers.push_back({sidecars.back().ip, "", 0});
    StartServer(&servers.back(), 1);
  }
  if (Order(cores, 3, Config(3, 20), 30000) < 0) {
    Finish(2, "the configuration was not acknowledged");
  }

  Router router;
  for (int i = 0; i < kBalancers; ++i) router.Add(entries[i]);
  std::thread([&router] {
    while (true) {
      router.Poll();
      SleepFor(500);
    }
  }).detach();
  const long limit = Now() + 20000;
  while (router.InRotation() < kBalancers && Now() < limit) SleepFor(100);
  if (router.InRotation() < kBalancers)
    Finish(2, "the balancers are not ready");
  SleepFor(kStabilityWindowMs);

  std::mt19937 generator{std::random_device{}()};
  std::vector<int> sockets;
  std::vector<std::string> addresses;
  for (int i = 0; i < kClientAddresses; ++i) {
    addresses.push_back(Address(101 + i));
    const int fd =
        socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_port = htons(static_cast<uint16_t>(ports.packets));
    inet_pton(AF_INET, addresses.back().c_str(), &own.sin_addr);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
      Finish(2, "a client's address cannot be bound");
    }
    sockets.push_back(fd);
  }
  const uint32_t route = Number(Address(200));
  std::vector<ClientFlow> flows;
  uint16_t next_port = 40000;
  const long traffic = Now();
  for (int i = 0; i < kClientAddresses * kFlowsPerAddress; ++i) {
    ClientFlow flow;
    flow.address = i % kClientAddresses;
    flow.port = next_port++;
    flow.began = traffic + 10 * i;
    flow.first = generator();
    flows.push_back(flow);
  }
  Record("traffic begins: " + std::to_string(flows.size()) + " flows");

  const auto send_packet = [&](ClientFlow* flow, Packet packet) {
    packet.source = Number(addresses[flow->address]);
    packet.source_port = flow->port;
    packet.destination = route;
    packet.destination_port = kFirstRoutePort;
    flow->balancer = router.Choose(packet.source, packet.source_port,
                                   packet.destination, packet.destination_port);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(ports.packets));
    inet_pton(AF_INET, flow->balancer.c_str(), &to.sin_addr);
    const std::string bytes = Write(packet);
    sendto(sockets[flow->address], bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof to);
  };

  std::map<std::string, long> disturbed;  // Machine and time of disturbance.
  const auto add_balancer = [&](int number) {
    Start(&entries[number], seeds, false);
    disturbed[entries[number].ip] = Now();
    router.Add(entries[number]);
  };
  std::set<std::string> crashed;
  int rolled = 0;  // Counts stops and starts.
  int answers = 0;
  int counted_resets = 0;
  int other_resets = 0;
  int step = 0;
  while (Now() < traffic + kEndAt) {
    const long now = Now();
    const long time = now - traffic;
    if (rolled < 2 * kServers &&
        time >= kDaemonsRollAt + rolled / 2 * kRollGapMs) {
      Machine& daemon = sidecars[rolled / 2];
      if (rolled % 2 == 0) {
        Signal(daemon, SIGTERM);
        disturbed[daemon.ip] = now;
        ++rolled;
      } else if (WaitEnd(&daemon, 0)) {
        Record(daemon.name + " was stopped (SIGTERM)");
        Start(&daemon, seeds, false);
        disturbed[daemon.ip] = now;
        ++rolled;
      }
    }
    if (step == 0 && time >= kServerCrashesAt) {
      ++step;
      if (Trouble()) {
        Kill(servers[0].pid);
        Record("server " + servers[0].id + " crashed");
        crashed.insert(servers[0].id);
        disturbed[sidecars[0].ip] = now;
      }
    } else if (step == 1 && time >= kFirstBalancerAt) {
      ++step;
      add_balancer(kBalancers);
    } else if (step == 2 && time >= kServerBackAt) {
      ++step;
      if (Trouble()) {
        StartServer(&servers[0], 2);
        Record("server " + servers[0].id + " has started at its address");
        disturbed[sidecars[0].ip] = now;
      }
    } else if (step == 3 && time >= kSecondBalancerAt) {
      ++step;
      add_balancer(kBalancers + 1);
    }

    for (ClientFlow& flow : flows) {
      if (flow.ended || now < flow.began) continue;
      if (!flow.open) {
        static constexpr long kCopies[] = {0, 200, 600};
        if (now - flow.began > 1400) {
          flow.ended = true;
        } else if (flow.copies < 3 &&
                   now - flow.began >= kCopies[flow.copies]) {
          Packet syn;
          syn.flags = kSyn;
          syn.sequence = flow.first;
          syn.acknowledged = static_cast<uint32_t>(flow.copies++);
          send_packet(&flow, syn);
        }
        continue;
      }
      if (!flow.waiting && now >= flow.next_at) {
        flow.waiting = true;
        flow.request = "request " + std::to_string(flow.port) + "." +
                       std::to_string(++flow.number);
        flow.interval = kRetransmitMs;
        flow.sent_at = 0;
      }
      if (flow.waiting && now - flow.sent_at >= flow.interval) {
        if (flow.sent_at != 0)
          flow.interval = std::min(2 * flow.interval, 1600L);
        flow.sent_at = now;
        Packet packet;
        packet.flags = kAck;
        packet.sequence = flow.sequence;
        packet.acknowledged = flow.acknowledged;
        packet.data = flow.request;
        send_packet(&flow, packet);
      }
    }

    std::vector<pollfd> polled;
    for (const int fd : sockets) polled.push_back({fd, POLLIN, 0});
    poll(polled.data(), polled.size(), 5);
    for (size_t i = 0; i < sockets.size(); ++i) {
      char buffer[2048];
      sockaddr_in from{};
      socklen_t from_size = sizeof from;
      ssize_t size = 0;
      while ((size = recvfrom(sockets[i], buffer, sizeof buffer, 0,
                              reinterpret_cast<sockaddr*>(&from), &from_size)) >
             0) {
        const auto in = Read(std::string(buffer, static_cast<size_t>(size)));
        if (!in) continue;
        const auto found = std::find_if(
            flows.begin(), flows.end(), [&](const ClientFlow& flow) {
              return flow.address == static_cast<int>(i) &&
                     flow.port == in->destination_port;
            });
        if (found == flows.end() || found->ended) continue;
        ClientFlow& flow = *found;
        if (in->sum == 0 && (in->flags & kReset) != 0) {
          char text[INET_ADDRSTRLEN];
          inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
          std::string why = flow.open ? "" : "the flow is not open";
          if (why.empty() &&
              (flow.server.empty() || crashed.contains(flow.server))) {
            why = "its server has crashed";
          }
          if (why.empty() && Now() - flow.opened_at > kFlowMaxMs) why = "old";
          const auto in_touch = [&](const std::string& ip) {
            const auto at = disturbed.find(ip);
            return at == disturbed.end() ||
                   Now() - at->second > kStabilityWindowMs;
          };
          std::string server_ip;
          for (const Server& server : servers) {
            if (server.id == flow.server) server_ip = server.ip;
          }
          if (why.empty() && !in_touch(server_ip)) {
            why = "the server's machine is not in touch";
          }
          if (why.empty() && !in_touch(flow.balancer)) {
            why = "the balancer is not in touch";
          }
          if (why.empty() && !in_touch(text)) {
            why = "the sender is not in touch";
          }
          ++(why.empty() ? counted_resets : other_resets);
          Record("reset of flow " + std::to_string(flow.port) + " of server " +
                 flow.server + ", sent by " + text + ", packets taken by " +
                 flow.balancer + (why.empty() ? ": COUNTS" : ": " + why));
          flow.ended = true;
          continue;
        }
        if (in->sum != SumOf(*in)) {
          Record("a forged packet reached a client");
          continue;
        }
        if ((in->flags & kSyn) != 0 && (in->flags & kAck) != 0) {
          if (flow.open) continue;
          flow.open = true;
          flow.opened_at = Now();
          flow.sequence = flow.first + 1;
          flow.acknowledged = in->sequence + 1;
          flow.next_at = Now();
          Packet ack;
          ack.flags = kAck;
          ack.sequence = flow.sequence;
          ack.acknowledged = flow.acknowledged;
          send_packet(&flow, ack);
          continue;
        }
        const size_t mark = in->data.find(" answers ");
        if (!flow.waiting || mark == std::string::npos ||
            in->data.substr(mark + 9) != flow.request) {
          continue;
        }
        ++answers;
        flow.server = in->data.substr(0, mark);
        flow.waiting = false;
        flow.sequence += static_cast<uint32_t>(flow.request.size());
        flow.acknowledged =
            in->sequence + static_cast<uint32_t>(in->data.size());
        flow.next_at = Now() + kRequestPeriodMs;
      }
    }
  }
  const auto open = std::count_if(
      flows.begin(), flows.end(),
      [](const ClientFlow& flow) { return flow.open && !flow.ended; });
  Record(std::to_string(answers) + " answers; " + std::to_string(open) +
         " flows still open; " + std::to_string(counted_resets) +
         " resets that count, " + std::to_string(other_resets) + " others");
  if (answers < 500) Finish(2, "the traffic was not served");
  if (counted_resets > 0) {
    Finish(1, "FLOW: " + std::to_string(counted_resets) +
                  " flows of living servers were reset by the system");
  }
  Finish(0, "no flow of a living server was reset");
}
