#include "world.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr uint64_t kSumKey = 0x9e3779b97f4a7c15ULL;  // Of this run's ends.
constexpr size_t kHeader = 32;
constexpr int kGraceMs = 6000;
constexpr uint16_t kClaimPort = 9460;

std::ofstream& RecordFile() {
  static std::ofstream file;
  return file;
}
std::mutex record_mutex;

void Put(std::string* out, uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    out->push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
}

uint64_t Get(const std::string& in, size_t at, int bytes) {
  uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value = value << 8 | static_cast<uint8_t>(in[at + static_cast<size_t>(i)]);
  }
  return value;
}

// Over all fields but `sum`, `pad`, `echo` and the returned flag.
uint32_t Sum(std::string bytes) {
  for (int i = 0; i < 4; ++i) bytes[static_cast<size_t>(i)] = 0;
  bytes[16] = static_cast<char>(static_cast<uint8_t>(bytes[16]) & ~kBounced);
  for (size_t i = 17; i < 22; ++i) bytes[i] = 0;
  uint64_t hash = 1469598103934665603ULL ^ kSumKey;
  for (const char c : bytes) {
    hash = (hash ^ static_cast<uint8_t>(c)) * 1099511628211ULL;
  }
  return static_cast<uint32_t>(hash >> 32 ^ hash) | 1;  // Never 0.
}

sockaddr_in ToSock(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.ip);
  out.sin_port = htons(address.port);
  return out;
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

std::string IpText(uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}
std::string ToText(const Address& address) {
  return IpText(address.ip) + ":" + std::to_string(address.port);
}
std::string ToText(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kReset:
      return "reset by the system";
    case Outcome::kSilent:
      return "no answer";
  }
  return {};
}

int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}
int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ",
                static_cast<double>(NowMs()) / 1000);
  RecordFile() << time << line << std::endl;
  std::printf("%s%s\n", time, line.c_str());
  std::fflush(stdout);
}

std::string Encode(const Packet& packet) {
  std::string out;
  Put(&out, 0, 4);
  Put(&out, packet.to.ip, 4);
  Put(&out, packet.from.port, 2);
  Put(&out, packet.from.ip, 4);
  Put(&out, packet.to.port, 2);
  Put(&out, packet.flags, 1);
  Put(&out, 0, 1);
  Put(&out, packet.echo, 4);
  Put(&out, packet.data.size(), 2);
  Put(&out, packet.seq, 4);
  Put(&out, packet.ack, 4);
  out += packet.data;
  const uint32_t sum = Sum(out);
  for (int i = 0; i < 4; ++i) {
    out[static_cast<size_t>(i)] = static_cast<char>(sum >> (24 - 8 * i) & 0xff);
  }
  return out;
}

std::optional<Packet> Decode(const std::string& bytes, bool* sum_valid) {
  if (bytes.size() < kHeader) return std::nullopt;
  Packet out;
  out.to.ip = static_cast<uint32_t>(Get(bytes, 4, 4));
  out.from.port = static_cast<uint16_t>(Get(bytes, 8, 2));
  out.from.ip = static_cast<uint32_t>(Get(bytes, 10, 4));
  out.to.port = static_cast<uint16_t>(Get(bytes, 14, 2));
  out.flags = static_cast<uint8_t>(bytes[16]);
  out.echo = static_cast<uint32_t>(Get(bytes, 18, 4));
  if (Get(bytes, 22, 2) != bytes.size() - kHeader) return std::nullopt;
  out.seq = static_cast<uint32_t>(Get(bytes, 24, 4));
  out.ack = static_cast<uint32_t>(Get(bytes, 28, 4));
  out.data = bytes.substr(kHeader);
  *sum_valid = Get(bytes, 0, 4) == Sum(bytes);
  return out;
}

Udp::Udp(const Address& own)
    : fd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in address = ToSock(own);
  if (bind(this->fd, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0) {
    throw std::runtime_error("cannot bind UDP " + ToText(own));
  }
}
Udp::~Udp() { close(this->fd); }
void Udp::Send(const Address& to, const std::string& bytes) const {
  const sockaddr_in address = ToSock(to);
  sendto(this->fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof address);
}
std::optional<std::string> Udp::Receive(int timeout_ms) const {
  pollfd ready{this->fd, POLLIN, 0};
  if (poll(&ready, 1, timeout_ms) != 1) return std::nullopt;
  std::string out(2048, '\0');
  const ssize_t size = recv(this->fd, out.data(), out.size(), 0);
  if (size < 0) return std::nullopt;
  out.resize(static_cast<size_t>(size));
  return out;
}

HttpAnswer HttpCall(const Address& to, const std::string& method,
                    const std::string& target, const std::string& body,
                    int timeout_ms) {
  HttpAnswer out;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = ToSock(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(fd);
    return out;
  }
  std::string request = method + " " + target +
                        " HTTP/1.1\r\nHost: " + ToText(to) +
                        "\r\nConnection: close\r\n";
  if (!body.empty()) {
    request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n";
  }
  request += "\r\n" + body;
  size_t sent = 0;
  while (sent < request.size()) {
    const ssize_t done =
        send(fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
    if (done <= 0) break;
    sent += static_cast<size_t>(done);
  }
  std::string answer;
  char buffer[65536];
  while (true) {
    const ssize_t done = recv(fd, buffer, sizeof buffer, 0);
    if (done <= 0) break;
    answer.append(buffer, static_cast<size_t>(done));
  }
  close(fd);
  if (answer.size() < 12 || answer.rfind("HTTP/1.", 0) != 0) return out;
  const size_t end = answer.find("\r\n\r\n");
  if (end == std::string::npos) return out;
  out.status = std::atoi(answer.c_str() + 9);
  const size_t location = answer.find("Location: ");
  if (location != std::string::npos && location < end) {
    const size_t from = location + std::strlen("Location: ");
    out.location = answer.substr(from, answer.find("\r\n", from) - from);
  }
  out.body = answer.substr(end + 4);
  return out;
}

// HoldingProxy.

HoldingProxy::HoldingProxy(const Address& own, const Address& to)
    : to(to), listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in address = ToSock(own);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(this->listener, 16) != 0) {
    throw std::runtime_error("cannot listen on " + ToText(own));
  }
  this->thread = std::thread([this] { this->Serve(); });
}

HoldingProxy::~HoldingProxy() {
  this->stopping = true;
  this->thread.join();
  close(this->listener);
}

std::optional<std::string> HoldingProxy::Deliver(
    const std::string& request) const {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSock(this->to);
  const timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(fd);
    return std::nullopt;
  }
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  std::string answer;
  char buffer[4096];
  while (true) {
    const ssize_t done = recv(fd, buffer, sizeof buffer, 0);
    if (done <= 0) break;
    answer.append(buffer, static_cast<size_t>(done));
  }
  close(fd);
  return answer;
}

void HoldingProxy::Serve() {
  while (!this->stopping) {
    pollfd ready{this->listener, POLLIN, 0};
    if (poll(&ready, 1, 20) != 1) continue;
    const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const timeval limit{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string request;
    char buffer[4096];
    // Reads one request with its body.
    while (true) {
      const size_t end = request.find("\r\n\r\n");
      const size_t field = request.find("Content-Length: ");
      if (end != std::string::npos) {
        const size_t body =
            field == std::string::npos
                ? 0
                : static_cast<size_t>(std::atoi(request.c_str() + field + 16));
        if (request.size() >= end + 4 + body) break;
      }
      const ssize_t done = recv(fd, buffer, sizeof buffer, 0);
      if (done <= 0) break;
      request.append(buffer, static_cast<size_t>(done));
    }
    if (this->holding) {
      const std::lock_guard lock(this->mutex);
      this->requests.push_back(request);
      ++this->held;
    } else if (const auto answer = this->Deliver(request)) {
      send(fd, answer->data(), answer->size(), MSG_NOSIGNAL);
    }
    close(fd);
  }
}

int HoldingProxy::Release() {
  std::vector<std::string> waiting;
  {
    const std::lock_guard lock(this->mutex);
    waiting.swap(this->requests);
  }
  int status = 0;
  for (const std::string& request : waiting) {
    for (int tries = 0; tries < 1000; ++tries) {
      if (const auto answer = this->Deliver(request)) {
        status = answer->size() > 12 ? std::atoi(answer->c_str() + 9) : 0;
        break;
      }
      SleepMs(2);
    }
  }
  return status;
}

// Upstream.

Upstream::Upstream(World& world, const Machine& machine, Options options)
    : world(world),
      ip(machine.ip),
      zone(machine.zone),
      options(std::move(options)),
      born(UnixMs()),
      seq(this->options.first_seq) {
  this->socket = std::make_unique<Udp>(Address{this->ip, world.ports.app});
  this->threads.emplace_back([this] { this->Serve(); });
  this->threads.emplace_back([this] { this->BeatLoop(); });
}
Upstream::~Upstream() { this->Crash(); }

void Upstream::Crash() {
  this->stopping = true;
  for (std::thread& thread : this->threads) thread.join();
  this->threads.clear();
  this->socket.reset();
}

bool Upstream::Holds(const Address& caller) const {
  const std::lock_guard lock(this->mutex);
  return std::any_of(this->flows.begin(), this->flows.end(),
                     [&](const auto& item) {
                       return item.first.first == caller && item.second.open;
                     });
}

int Upstream::Beat(const std::string& told) {
  uint64_t number = 0;
  {
    const std::lock_guard lock(this->mutex);
    number = this->seq++;
  }
  const std::string body =
      "{\"service\":" + Quoted(this->options.service) +
      ",\"address\":" + Quoted(ToText({this->ip, this->world.ports.app})) +
      ",\"zone\":" + Quoted(this->zone) +
      ",\"version\":\"v1\",\"slots\":4,\"state\":" + Quoted(told) +
      ",\"cold_remaining_ms\":0,\"seq\":" + std::to_string(number) +
      ",\"born\":" + std::to_string(this->born) + "}";
  const Address to = this->options.control.value_or(
      Address{this->ip, this->world.ports.control});
  const int status =
      HttpCall(to, "PUT", "/-/instances/" + this->options.id, body, 1000)
          .status;
  if (status / 100 == 2) {
    this->acked_at = NowMs();
    this->acked_seq = number;
  }
  return status;
}

void Upstream::SetState(const std::string& next) {
  const std::lock_guard lock(this->mutex);
  this->state = next;
}

void Upstream::BeatLoop() {
  while (!this->stopping) {
    const int64_t begun = NowMs();
    std::string told;
    {
      const std::lock_guard lock(this->mutex);
      told = this->state;
    }
    this->Beat(told);
    while (!this->stopping && NowMs() - begun < this->world.heartbeat_ms) {
      SleepMs(5);
    }
  }
}

void Upstream::Serve() {
  while (!this->stopping) {
    const std::optional<std::string> bytes = this->socket->Receive(20);
    if (bytes.has_value()) this->OnPacket(*bytes);
  }
}

void Upstream::OnPacket(const std::string& bytes) {
  bool sum_valid = false;
  const std::optional<Packet> packet = Decode(bytes, &sum_valid);
  const Address outbound{this->ip, this->world.ports.outbound};
  if (!packet.has_value() || !sum_valid) {
    Record("UNASKED " + this->options.id +
           " received a packet that no caller wrote");
    return;
  }
  const Key key{packet->from, packet->to};
  const std::lock_guard lock(this->mutex);
  const auto reply = [&](uint8_t flags, uint32_t seq, uint32_t ack,
                         std::string data) {
    this->socket->Send(outbound, Encode({packet->to, packet->from, flags, 0,
                                         seq, ack, std::move(data)}));
  };
  if ((packet->flags & kSyn) != 0 && (packet->flags & kAck) == 0) {
    ++this->syns;
    Flow& flow = this->flows[key];
    if (flow.own_seq == 0 || flow.client_seq != packet->seq) {
      flow = {};
      flow.client_seq = packet->seq;
      flow.own_seq = static_cast<uint32_t>(std::rand()) | 1;
      flow.expected = packet->seq + 1;
      flow.next = flow.own_seq + 1;
    }
    reply(kSyn | kAck, flow.own_seq, packet->seq + 1, {});
    return;
  }
  const auto found = this->flows.find(key);
  const bool opens = found != this->flows.end() &&
                     (found->second.open || packet->ack == found->second.next);
  if (!opens) {
    std::string returned = bytes;  // `echo` as it arrived, `pad` 0.
    returned[16] =
        static_cast<char>(static_cast<uint8_t>(returned[16]) | kBounced);
    returned[17] = 0;
    this->socket->Send(outbound, returned);
    return;
  }
  Flow& flow = found->second;
  flow.open = true;
  if ((packet->flags & (kReset | kFin)) != 0) {
    this->flows.erase(found);
    return;
  }
  if (packet->data.empty()) return;
  if (packet->seq == flow.expected) {
    ++this->runs;
    if (this->quiet.load() == 0) {
      Record("run at " + this->options.id + " " + packet->data);
    }
    const std::string body =
        "answer of " + this->options.id + " to " + packet->data;
    flow.answers[packet->seq] = body;
    flow.answer_seq[packet->seq] = flow.next;
    flow.expected += static_cast<uint32_t>(packet->data.size());
    flow.next += static_cast<uint32_t>(body.size());
  }
  const auto answer = flow.answers.find(packet->seq);
  if (answer == flow.answers.end()) return;
  // A server that drains closes each flow after its next response.
  const uint8_t closing = this->state == "draining" ? kFin : 0;
  reply(kAck | closing, flow.answer_seq[packet->seq],
        packet->seq + static_cast<uint32_t>(packet->data.size()),
        answer->second);
}

// World.

World::World(const std::string& case_folder) {
  NowMs();
  RecordFile().open(case_folder + "/record.txt");
  this->root = std::filesystem::current_path().string();
  std::srand(static_cast<unsigned>(UnixMs() ^ getpid()));
  char name[] = "/tmp/cornelhill-review-XXXXXX";
  if (mkdtemp(name) == nullptr) throw std::runtime_error("no temporary folder");
  this->folder = name;
  // A network of its own; the claim keeps parallel runs apart.
  for (int tries = 0; tries < 200 && this->claim < 0; ++tries) {
    this->network =
        (127u << 24) | (static_cast<uint32_t>(20 + std::rand() % 200) << 16);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in own = ToSock({this->network | 1u, kClaimPort});
    if (bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0 &&
        listen(fd, 1) == 0) {
      this->claim = fd;
    } else {
      close(fd);
    }
  }
  if (this->claim < 0) throw std::runtime_error("no free network");
  // Free ports, which are the same on all machines.
  for (int tries = 0; tries < 100; ++tries) {
    const auto base = static_cast<uint16_t>(20000 + std::rand() % 10000);
    bool free = true;
    for (uint16_t i = 0; i < 24 && free; ++i) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in any = ToSock({0, static_cast<uint16_t>(base + i)});
        free = free && bind(probe, reinterpret_cast<const sockaddr*>(&any),
                            sizeof any) == 0;
        close(probe);
      }
    }
    if (!free) continue;
    const auto port = [base](int i) { return static_cast<uint16_t>(base + i); };
    this->ports = {port(0), port(1), port(2), port(3), port(4), port(5)};
    break;
  }
  if (this->ports.control == 0) throw std::runtime_error("no free ports");
  this->caller_address = {this->network | 250u, this->ports.packets};
  this->caller_socket = std::make_unique<Udp>(this->caller_address);
}

void World::StartRouter() {
  this->ready_checker = std::thread([this] { this->CheckReady(); });
}

World::~World() {
  this->stopping = true;
  if (this->ready_checker.joinable()) this->ready_checker.join();
  for (auto* list : {&this->edges, &this->sides}) {
    for (const auto& machine : *list) {
      for (auto& [role, pid] : machine->processes) {
        if (pid <= 0) continue;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
      }
    }
  }
  close(this->claim);
  if (std::getenv("KEEP") != nullptr) {
    std::printf("kept %s\n", this->folder.c_str());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

Machine& World::AddEdge(const std::string& zone) {
  this->edges.push_back(std::make_unique<Machine>(
      "edge-" + zone + "-" + std::to_string(this->edges.size() + 1), zone,
      this->network | ++this->last_host));
  return *this->edges.back();
}
Machine& World::AddSide(const std::string& zone, const std::string& service) {
  this->sides.push_back(std::make_unique<Machine>(
      "side-" + zone + "-" + std::to_string(this->sides.size() + 1), zone,
      this->network | ++this->last_host));
  this->sides.back()->service = service;
  return *this->sides.back();
}

// Fills in the template of the role, as the platform does.
std::string World::Settings(const Machine& machine, const std::string& role,
                            bool first_start) const {
  std::string seeds = "[";
  for (size_t i = 0; i < std::min<size_t>(3, this->edges.size()); ++i) {
    if (i > 0) seeds += ",";
    seeds += Quoted(ToText({this->edges[i]->ip, this->ports.control}));
  }
  seeds += "]";
  const auto at = [&](uint16_t port) { return ToText({machine.ip, port}); };
  const std::map<std::string, std::string> values = {
      {"node_name|json", Quoted(machine.name)},
      {"zone|json", Quoted(machine.zone)},
      {"ip|json", Quoted(IpText(machine.ip))},
      {"ip", IpText(machine.ip)},
      {"internal_port_range.0", std::to_string(this->ports.internal)},
      {"seeds|json", seeds},
      {"listen.control|json", Quoted(at(this->ports.control))},
      {"listen.packet_addr|json", Quoted(at(this->ports.packets))},
      {"listen.ready|json", Quoted(at(this->ports.ready))},
      {"listen.outbound|json", Quoted(at(this->ports.outbound))},
      {"app|json", Quoted(at(this->ports.app))},
      {"service|json", Quoted(machine.service)},
      {"data_dir", this->folder + "/" + machine.name + "/data"},
      {"bootstrap|json", first_start ? "true" : "false"},
      {"limits.memory_mb", "260"},
      {"fault_tolerance.machines", "1"},
      {"bounds.grace_s", "6"},
      {"bounds.flow_max_s", "60"},
      {"heartbeat_ms", std::to_string(this->heartbeat_ms)},
  };
  std::ifstream in(this->root + "/deploy/" + role + ".json.tmpl");
  std::stringstream text;
  text << in.rdbuf();
  std::string out = text.str();
  if (out.empty()) throw std::runtime_error("no template for " + role);
  while (true) {
    const size_t begin = out.find("{{");
    if (begin == std::string::npos) return out;
    const size_t end = out.find("}}", begin);
    const std::string key = out.substr(begin + 2, end - begin - 2);
    const auto found = values.find(key);
    if (found == values.end()) throw std::runtime_error("no value for " + key);
    out = out.substr(0, begin) + found->second + out.substr(end + 2);
  }
}

void World::Start(Machine& machine, const std::string& role, bool first_start) {
  const std::string own = this->folder + "/" + machine.name;
  std::filesystem::create_directories(own + "/data");
  const std::string settings = own + "/" + role + ".json";
  std::ofstream(settings) << this->Settings(machine, role, first_start);
  const std::string program = this->root + "/target/bin/cornelhilld";
  const std::string config = "--config=" + settings;
  const std::string log = own + "/" + role + ".log";
  const bool on_main_thread = gettid() == getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    // Ends with this program, also if that is killed. The signal is sent when
    // the thread that started the process ends.
    if (on_main_thread) prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), config.c_str(), nullptr);
    _exit(127);
  }
  machine.processes[role] = pid;
}

void World::Signal(Machine& machine, const std::string& role, int signal) {
  const pid_t pid = machine.processes[role];
  if (pid > 0) kill(pid, signal);
}

void World::Stop(Machine& machine, const std::string& role) {
  pid_t& pid = machine.processes[role];
  if (pid <= 0) return;
  kill(pid, SIGTERM);
  const int64_t until = NowMs() + kGraceMs;
  while (NowMs() < until) {
    if (waitpid(pid, nullptr, WNOHANG) == pid) {
      pid = 0;
      return;
    }
    SleepMs(2);
  }
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = 0;
}

bool World::AnyEnded() {
  bool ended = false;
  for (auto* list : {&this->edges, &this->sides}) {
    for (const auto& machine : *list) {
      for (auto& [role, pid] : machine->processes) {
        int status = 0;
        if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) continue;
        Record("process " + role + " on " + machine->name + " ended, status " +
               std::to_string(status));
        pid = 0;
        ended = true;
      }
    }
  }
  return ended;
}

Address World::Listener(const std::string& service) const {
  return {this->network | (200u << 8) | 1u,
          static_cast<uint16_t>(service == "aula" ? 443 : 8443)};
}

std::string World::ConfigDocument(uint64_t version) const {
  const std::string host = IpText(this->Listener("aula").ip);
  const auto route = [&host](const std::string& name, const std::string& port,
                             const std::string& service) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + host +
           "\",\"path_prefix\":\"/" + port +
           "/\",\"type\":\"idempotent\",\"timeout_ms\":1500,"
           "\"target_latency_ms\":200,\"priority\":2,\"service\":\"" +
           service + "\",\"max_attempts\":2}";
  };
  const auto service = [](const std::string& name) {
    return "{\"name\":\"" + name +
           "\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":"
           "\"h1\",\"tls\":false}";
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         route("r-aula", "443", "aula") + "," +
         route("r-registro", "8443", "registro") + "],\"services\":[" +
         service("aula") + "," + service("registro") +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

bool World::PutConfig(uint64_t version, const std::string& document,
                      int limit_ms) {
  const int64_t until = NowMs() + limit_ms;
  for (size_t attempt = 0; NowMs() < until; ++attempt) {
    Address to{this->edges[attempt % this->edges.size()]->ip,
               this->ports.control};
    HttpAnswer answer;
    for (int hop = 0; hop < 3; ++hop) {
      answer = HttpCall(to, "PUT", "/-/config", document, 1000);
      if (answer.status != 307) break;
      const size_t from = std::strlen("http://");
      const size_t colon = answer.location.find(':', from);
      in_addr ip{};
      inet_pton(AF_INET, answer.location.substr(from, colon - from).c_str(),
                &ip);
      to = {ntohl(ip.s_addr), static_cast<uint16_t>(std::atoi(
                                  answer.location.c_str() + colon + 1))};
    }
    if (answer.status == 200) {
      Record("configuration " + std::to_string(version) + " acknowledged");
      return true;
    }
    SleepMs(100);
  }
  Record("configuration " + std::to_string(version) + " not acknowledged in " +
         std::to_string(limit_ms) + " ms");
  return false;
}

void World::CheckReady() {
  while (!this->stopping) {
    std::vector<uint32_t> ips;
    {
      const std::lock_guard lock(this->mutex);
      for (const auto& machine : this->edges) ips.push_back(machine->ip);
    }
    for (const uint32_t ip : ips) {
      const bool ready =
          HttpCall({ip, this->ports.ready}, "GET", "/-/ready", {}, 200)
              .status == 200;
      const std::lock_guard lock(this->mutex);
      const auto [found, added] = this->misses.try_emplace(ip, 2);
      found->second = ready ? 0 : std::min(found->second + 1, 2);
    }
    for (int i = 0; i < 50 && !this->stopping; ++i) SleepMs(10);
  }
}

size_t World::InRotation() {
  const std::lock_guard lock(this->mutex);
  return static_cast<size_t>(
      std::count_if(this->misses.begin(), this->misses.end(),
                    [](const auto& item) { return item.second < 2; }));
}

std::optional<Address> World::Route(const Address& caller,
                                    const Address& listener) {
  const std::lock_guard lock(this->mutex);
  std::vector<uint32_t> rotation;
  for (const auto& [ip, missed] : this->misses) {
    if (missed < 2) rotation.push_back(ip);
  }
  if (rotation.size() * 2 < this->misses.size()) {
    rotation.clear();
    for (const auto& [ip, missed] : this->misses) rotation.push_back(ip);
  }
  if (rotation.empty()) return std::nullopt;
  const uint64_t hash =
      (caller.port * 2654435761u ^ caller.ip ^ listener.port * 40503u) >> 4;
  return Address{rotation[hash % rotation.size()], this->ports.packets};
}

Flow World::NewFlow(const Address& listener) {
  Flow flow;
  flow.caller = {this->caller_address.ip, this->next_port++};
  flow.listener = listener;
  flow.first_seq = static_cast<uint32_t>(std::rand());
  return flow;
}

bool World::Open(Flow* flow) {
  static constexpr int kTimes[] = {0, 200, 600};
  const int64_t begun = NowMs();
  int copies = 0;
  while (NowMs() - begun < 1400) {
    if (copies < 3 && NowMs() - begun >= kTimes[copies]) {
      const std::optional<Address> to =
          this->Route(flow->caller, flow->listener);
      if (to.has_value()) {
        this->caller_socket->Send(*to, Encode({flow->caller,
                                               flow->listener,
                                               kSyn,
                                               0,
                                               flow->first_seq,
                                               static_cast<uint32_t>(copies),
                                               {}}));
      }
      ++copies;
    }
    const std::optional<std::string> bytes = this->caller_socket->Receive(5);
    if (!bytes.has_value()) continue;
    bool sum_valid = false;
    const std::optional<Packet> packet = Decode(*bytes, &sum_valid);
    if (!packet.has_value() || packet->to != flow->caller) continue;
    if ((packet->flags & kReset) != 0) return false;
    if (!sum_valid || (packet->flags & (kSyn | kAck)) != (kSyn | kAck))
      continue;
    flow->open = true;
    flow->next = flow->first_seq + 1;
    flow->peer = packet->seq + 1;
    const std::optional<Address> to = this->Route(flow->caller, flow->listener);
    this->caller_socket->Send(*to, Encode({flow->caller,
                                           flow->listener,
                                           kAck,
                                           0,
                                           flow->next,
                                           flow->peer,
                                           {}}));
    return true;
  }
  return false;
}

void World::Close(Flow* flow) {
  flow->open = false;
  const std::optional<Address> to = this->Route(flow->caller, flow->listener);
  if (!to.has_value()) return;
  this->caller_socket->Send(*to, Encode({flow->caller,
                                         flow->listener,
                                         kFin | kAck,
                                         0,
                                         flow->next,
                                         flow->peer,
                                         {}}));
}

Outcome World::Request(Flow* flow, int deadline_ms) {
  const std::string data = "GET /" + std::to_string(++flow->requests) +
                           " HTTP/1.1 X-Cornelhill-Request-Id: " +
                           std::to_string(flow->caller.port) + "-" +
                           std::to_string(flow->requests);
  const int64_t begun = NowMs();
  int64_t next_send = begun;
  int64_t interval = 200;
  while (NowMs() - begun < deadline_ms) {
    if (NowMs() >= next_send) {
      const std::optional<Address> to =
          this->Route(flow->caller, flow->listener);
      if (to.has_value()) {
        this->caller_socket->Send(
            *to, Encode({flow->caller, flow->listener, kAck, 0, flow->next,
                         flow->peer, data}));
      }
      next_send = NowMs() + interval;
      interval = std::min<int64_t>(interval * 2, 1600);
    }
    const std::optional<std::string> bytes = this->caller_socket->Receive(5);
    if (!bytes.has_value()) continue;
    bool sum_valid = false;
    const std::optional<Packet> packet = Decode(*bytes, &sum_valid);
    if (!packet.has_value() || packet->to != flow->caller) continue;
    if ((packet->flags & kReset) != 0) {
      // A reset of the system has the sum 0 and a sequence within the window.
      const uint32_t distance = packet->seq - flow->peer;
      const bool valid = distance <= 76800 || 0 - distance <= 76800;
      if (!valid) continue;
      flow->open = false;
      flow->reset = true;
      return Outcome::kReset;
    }
    if (!sum_valid) {
      Record("MIXED the caller received a packet that no upstream wrote");
      continue;
    }
    if (packet->data.empty() || packet->seq != flow->peer) continue;
    flow->peer += static_cast<uint32_t>(packet->data.size());
    flow->next += static_cast<uint32_t>(data.size());
    if ((packet->flags & kFin) != 0) this->Close(flow);
    return Outcome::kAnswered;
  }
  return Outcome::kSilent;
}

}  // namespace review
