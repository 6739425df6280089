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
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

namespace review {

namespace {

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  out.sin_addr.s_addr = htonl(address.ip);
  return out;
}

void Put(std::string* out, uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i)
    out->push_back(static_cast<char>(value >> (8 * i)));
}

uint32_t Get(const std::string& in, size_t at, int bytes) {
  uint32_t value = 0;
  for (int i = 0; i < bytes; ++i)
    value = value << 8 | static_cast<uint8_t>(in[at + i]);
  return value;
}

std::string Quote(const std::string& text) { return "\"" + text + "\""; }

bool IsFree(const Address& address, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in own = ToSockaddr(address);
  const bool free =
      bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0;
  close(fd);
  return free;
}

const auto kStart = std::chrono::steady_clock::now();

}  // namespace

std::string Text(uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

std::string Text(const Address& address) {
  return Text(address.ip) + ":" + std::to_string(address.port);
}

int64_t Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  char time[32];
  snprintf(time, sizeof time, "%9.3f ", static_cast<double>(Now()) / 1000);
  this->out << time << text << "\n" << std::flush;
}

std::string Encode(const Packet& packet) {
  std::string out;
  Put(&out, packet.sum, 4);
  Put(&out, packet.to.ip, 4);
  Put(&out, packet.from.port, 2);
  Put(&out, packet.from.ip, 4);
  Put(&out, packet.to.port, 2);
  Put(&out, packet.flags, 1);
  Put(&out, packet.pad, 1);
  Put(&out, packet.echo, 4);
  Put(&out, packet.data.size(), 2);
  Put(&out, packet.seq, 4);
  Put(&out, packet.ack, 4);
  return out + packet.data;
}

std::optional<Packet> Decode(const std::string& bytes) {
  if (bytes.size() < 32 || bytes.size() != 32 + Get(bytes, 22, 2))
    return std::nullopt;
  Packet out;
  out.sum = Get(bytes, 0, 4);
  out.to.ip = Get(bytes, 4, 4);
  out.from.port = static_cast<uint16_t>(Get(bytes, 8, 2));
  out.from.ip = Get(bytes, 10, 4);
  out.to.port = static_cast<uint16_t>(Get(bytes, 14, 2));
  out.flags = static_cast<uint8_t>(Get(bytes, 16, 1));
  out.pad = static_cast<uint8_t>(Get(bytes, 17, 1));
  out.echo = Get(bytes, 18, 4);
  out.seq = Get(bytes, 24, 4);
  out.ack = Get(bytes, 28, 4);
  out.data = bytes.substr(32);
  return out;
}

Udp::Udp(const Address& own)
    : fd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
  const sockaddr_in address = ToSockaddr(own);
  if (bind(this->fd, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0) {
    std::cerr << "cannot bind " << Text(own) << "\n";
    std::exit(2);
  }
}

Udp::~Udp() { close(this->fd); }

void Udp::Send(const Address& to, const std::string& bytes) const {
  const sockaddr_in address = ToSockaddr(to);
  sendto(this->fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

std::optional<std::string> Udp::Receive() const {
  std::string out(2048, '\0');
  const ssize_t count = recv(this->fd, out.data(), out.size(), 0);
  if (count < 0) return std::nullopt;
  out.resize(static_cast<size_t>(count));
  return out;
}

HttpReply HttpCall(const Address& to, const std::string& method,
                   const std::string& target, const std::string& body,
                   int timeout_ms) {
  HttpReply out;
  const int64_t end = Now() + timeout_ms;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = ToSockaddr(to);
  const auto wait = [&](short events) {
    pollfd ready{fd, events, 0};
    const int64_t left = end - Now();
    return left > 0 && poll(&ready, 1, static_cast<int>(left)) == 1;
  };
  connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + Text(to) +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) +
                     "\r\nConnection: close\r\n\r\n" + body;
  size_t sent = 0;
  while (sent < text.size()) {
    if (!wait(POLLOUT)) break;
    const ssize_t count =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) break;
    sent += static_cast<size_t>(count);
  }
  std::string in;
  while (sent == text.size() && wait(POLLIN)) {
    char buffer[65536];
    const ssize_t count = recv(fd, buffer, sizeof buffer, 0);
    if (count <= 0) {
      const size_t head = in.find("\r\n\r\n");
      if (head != in.npos && in.size() > 12) {
        out.status = std::atoi(in.c_str() + 9);
        out.body = in.substr(head + 4);
        const size_t location = in.find("Location: ");
        if (location != in.npos && location < head) {
          out.location = in.substr(location + 10,
                                   in.find("\r\n", location) - location - 10);
        }
      }
      break;
    }
    in.append(buffer, static_cast<size_t>(count));
  }
  close(fd);
  return out;
}

// Server.

Server::Server(World& world, std::string name, std::string service, uint32_t ip,
               std::string zone, uint32_t slots)
    : name(std::move(name)),
      service(std::move(service)),
      ip(ip),
      world(world),
      zone(std::move(zone)),
      slots(slots),
      reporter([this] { this->Report(); }) {}

Server::~Server() {
  this->ended = true;
  this->reporter.join();
}

void Server::Start() {
  {
    const std::lock_guard lock(this->report_mutex);
    ++this->starts;
    this->id = "i-" + this->name + "-" + std::to_string(this->starts);
    this->born = UnixMs();
    this->sequence = 0;
  }
  this->socket = std::make_unique<Udp>(Address{this->ip, this->world.P().app});
  this->reporting = true;
  this->world.Out().Line("server " + this->name + " starts as " + this->id);
}

void Server::Crash() {
  this->reporting = false;
  this->socket.reset();
  this->flows.clear();
  this->queue.clear();
  this->running.clear();
  this->world.Out().Line("server " + this->name + " crashes");
}

void Server::Report() {
  while (!this->ended) {
    if (!this->reporting) {
      SleepMs(5);
      continue;
    }
    std::string target;
    std::ostringstream body;
    {
      const std::lock_guard lock(this->report_mutex);
      target = "/-/instances/" + this->id;
      body << "{\"service\":\"" << this->service << "\",\"address\":\""
           << Text(Address{this->ip, this->world.P().app}) << "\",\"zone\":\""
           << this->zone << "\",\"version\":\"v1\",\"slots\":" << this->slots
           << ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":"
           << this->sequence++ << ",\"born\":" << this->born << "}";
    }
    const HttpReply reply = HttpCall({this->ip, this->world.P().control}, "PUT",
                                     target, body.str(), 1000);
    this->world.Out().Line("heartbeat " + target + " -> " +
                           std::to_string(reply.status));
    for (int i = 0; i < 120 && this->reporting && !this->ended; ++i)
      SleepMs(10);
  }
}

void Server::Return(const Packet& packet) {
  Packet out = packet;
  out.flags |= kBounced;
  out.pad = 0;
  this->socket->Send({this->ip, this->world.P().outbound}, Encode(out));
}

void Server::Send(const std::pair<Address, Address>& key, const Flow& flow,
                  uint8_t flags, uint32_t seq, const std::string& data) {
  Packet out;
  out.to = key.first;
  out.from = key.second;
  out.flags = flags;
  out.seq = seq;
  out.ack = flow.next_in;
  out.data = data;
  this->socket->Send({this->ip, this->world.P().outbound}, Encode(out));
}

void Server::OnReadable() {
  while (this->socket != nullptr) {
    const std::optional<std::string> bytes = this->socket->Receive();
    if (!bytes) return;
    const std::optional<Packet> packet = Decode(*bytes);
    if (packet) this->OnPacket(*packet);
  }
}

void Server::OnPacket(const Packet& packet) {
  const std::pair key{packet.from, packet.to};
  const auto found = this->flows.find(key);
  if ((packet.flags & kSyn) != 0 && (packet.flags & kAck) == 0) {
    if (found == this->flows.end()) {
      Flow flow;
      flow.own_seq = this->world.Random();
      flow.next_out = flow.own_seq + 1;
      flow.next_in = packet.seq + 1;
      this->flows[key] = flow;
      this->world.taken.push_back({packet.from, packet.to, this->name,
                                   this->service, packet.ack, Now()});
      this->world.Out().Line("server " + this->name + " takes SYN copy " +
                             std::to_string(packet.ack) + " of " +
                             Text(packet.from) + " to " + Text(packet.to));
      this->Send(key, flow, kSyn | kAck, flow.own_seq, {});
    } else if (!found->second.open) {
      this->Send(key, found->second, kSyn | kAck, found->second.own_seq, {});
    }
    return;
  }
  if (found == this->flows.end()) return this->Return(packet);
  Flow& flow = found->second;
  if ((packet.flags & kRst) != 0) {
    this->flows.erase(found);
    return;
  }
  if (!flow.open) {
    if (packet.ack != flow.own_seq + 1) return this->Return(packet);
    flow.open = true;
    this->world.opened_at[key] = this->name;
    this->world.Out().Line("flow of " + Text(packet.from) + " to " +
                           Text(packet.to) + " opens at server " + this->name);
  }
  if (!flow.unacked.empty() &&
      static_cast<int32_t>(packet.ack - flow.unacked_seq) >=
          static_cast<int32_t>(flow.unacked.size())) {
    flow.unacked.clear();
  }
  if (!packet.data.empty()) {
    if (packet.seq == flow.next_in) {
      flow.next_in += static_cast<uint32_t>(packet.data.size());
      flow.input += packet.data;
    }
    this->Send(key, flow, kAck, flow.next_out, {});
  }
  size_t end = 0;
  while ((end = flow.input.find("\r\n\r\n")) != std::string::npos) {
    const std::string head = flow.input.substr(0, end);
    flow.input.erase(0, end + 4);
    Job job;
    job.flow = key;
    job.work_ms = std::atoi(head.c_str() + head.find("/w/") + 3);
    const std::string field = "X-Cornelhill-Request-Id: ";
    const size_t at = head.find(field);
    job.id = head.substr(at + field.size());
    this->queue.push_back(job);
  }
  if ((packet.flags & kFin) != 0) {
    ++flow.next_in;
    this->Send(key, flow, kAck | kFin, flow.next_out, {});
    this->flows.erase(key);
  }
  this->StartJobs();
}

void Server::StartJobs() {
  while (this->running.size() < this->slots && !this->queue.empty()) {
    Job job = this->queue.front();
    this->queue.pop_front();
    job.ends = Now() + job.work_ms;
    this->world.runs.push_back({job.id, this->name, this->service,
                                job.flow.first, job.flow.second, Now()});
    this->world.Out().Line("server " + this->name + " (" + this->service +
                           ") runs " + job.id + " of " + Text(job.flow.first) +
                           " to " + Text(job.flow.second));
    this->running.push_back(job);
  }
}

void Server::Tick() {
  if (this->socket == nullptr) return;
  const int64_t now = Now();
  for (size_t i = 0; i < this->running.size();) {
    if (this->running[i].ends > now) {
      ++i;
      continue;
    }
    const Job job = this->running[i];
    this->running.erase(this->running.begin() + static_cast<ptrdiff_t>(i));
    const auto found = this->flows.find(job.flow);
    if (found == this->flows.end()) continue;
    Flow& flow = found->second;
    const std::string body = "answer to " + job.id;
    flow.unacked = "HTTP/1.1 200 OK\r\nX-Cornelhill-Response-Signature: s-" +
                   job.id +
                   "\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body;
    flow.unacked_seq = flow.next_out;
    flow.next_out += static_cast<uint32_t>(flow.unacked.size());
    flow.interval = 200;
    flow.tries = 0;
    flow.retransmit_at = now + flow.interval;
    this->Send(job.flow, flow, kAck, flow.unacked_seq, flow.unacked);
  }
  for (auto& [key, flow] : this->flows) {
    if (flow.unacked.empty() || now < flow.retransmit_at || flow.tries >= 8)
      continue;
    ++flow.tries;
    flow.interval = std::min<int64_t>(flow.interval * 2, 1600);
    flow.retransmit_at = now + flow.interval;
    this->Send(key, flow, kAck, flow.unacked_seq, flow.unacked);
  }
  this->StartJobs();
}

// Client.

Client::Client(World& world, uint32_t ip)
    : world(world), ip(ip), socket({ip, world.P().packets}) {}

ClientFlow* Client::Open(uint16_t port, const Address& service,
                         std::vector<int64_t> request_times, int64_t work_ms,
                         Process* entry) {
  auto flow = std::make_unique<ClientFlow>();
  flow->own = {this->ip, port};
  flow->service = service;
  flow->first_seq = this->world.Random();
  flow->next_out = flow->first_seq + 1;
  flow->started = Now();
  flow->request_times = std::move(request_times);
  flow->work_ms = work_ms;
  flow->fixed_entry = entry;
  ClientFlow* const out = flow.get();
  this->by_port[port] = out;
  this->flows.push_back(std::move(flow));
  this->SendFirst(out);
  return out;
}

void Client::SendFirst(ClientFlow* flow) {
  const int copy = flow->copies++;
  this->Send(flow, kSyn, flow->first_seq, static_cast<uint32_t>(copy), {});
  flow->copy_sent[copy] = Now();
  flow->copy_entry[copy] = flow->last_entry;
}

void Client::Send(ClientFlow* flow, uint8_t flags, uint32_t seq, uint32_t ack,
                  const std::string& data) {
  Packet out;
  out.from = flow->own;
  out.to = flow->service;
  out.flags = flags;
  out.seq = seq;
  out.ack = ack;
  out.data = data;
  Process* const entry = flow->fixed_entry != nullptr
                             ? flow->fixed_entry
                             : this->world.Route(flow->own, flow->service);
  if (entry == nullptr) return;
  if (entry->name != flow->last_entry) {
    this->world.Out().Line("router hands " + Text(flow->own) + " to " +
                           entry->name);
  }
  flow->last_entry = entry->name;
  this->socket.Send({entry->ip, this->world.P().packets}, Encode(out));
}

void Client::OnReadable() {
  while (const std::optional<std::string> bytes = this->socket.Receive()) {
    const std::optional<Packet> packet = Decode(*bytes);
    if (packet) this->OnPacket(*packet);
  }
}

void Client::OnPacket(const Packet& packet) {
  const auto found = this->by_port.find(packet.to.port);
  if (found == this->by_port.end()) return;
  ClientFlow* const flow = found->second;
  if (flow->service != packet.from || flow->state == ClientFlow::kEnded) return;
  if ((packet.flags & kRst) != 0) {
    if (flow->state == ClientFlow::kOpen) {
      const auto distance = static_cast<int32_t>(packet.seq - flow->next_in);
      if (std::abs(static_cast<int64_t>(distance)) > 76800) {
        this->world.Out().Line("client " + Text(flow->own) +
                               " ignores a reset outside its window");
        return;
      }
      flow->reset_at = Now();
    }
    flow->end = flow->state == ClientFlow::kOpen ? "reset while open"
                                                 : "reset while opening";
    flow->state = ClientFlow::kEnded;
    this->world.Out().Line(
        "client " + Text(flow->own) + ": " + flow->end + ", sum " +
        std::to_string(packet.sum) +
        (flow->waiting_id.empty() ? "" : ", waits for " + flow->waiting_id));
    return;
  }
  if (flow->state == ClientFlow::kOpening) {
    if ((packet.flags & kSyn) == 0 || packet.ack != flow->first_seq + 1) return;
    flow->state = ClientFlow::kOpen;
    flow->next_in = packet.seq + 1;
    flow->opened = Now();
    this->world.Out().Line("client " + Text(flow->own) + ": open after " +
                           std::to_string(flow->opened - flow->started) +
                           " ms");
    this->Send(flow, kAck, flow->next_out, flow->next_in, {});
    return;
  }
  if ((packet.flags & kSyn) != 0) {
    // Another copy of the reply to the first packet: the client has chosen.
    return;
  }
  if (!flow->unacked.empty() &&
      static_cast<int32_t>(packet.ack - flow->unacked_seq) >=
          static_cast<int32_t>(flow->unacked.size())) {
    flow->unacked.clear();
  }
  if (packet.data.empty()) return;
  if (packet.seq == flow->next_in) {
    flow->next_in += static_cast<uint32_t>(packet.data.size());
    flow->input += packet.data;
    if (!flow->waiting_id.empty() &&
        flow->input.find("answer to " + flow->waiting_id) !=
            std::string::npos) {
      this->world.Out().Line("client " + Text(flow->own) + ": answer to " +
                             flow->waiting_id);
      flow->waiting_id.clear();
      flow->input.clear();
      ++flow->answered;
    }
  }
  this->Send(flow, kAck, flow->next_out, flow->next_in, {});
}

void Client::SendRequest(ClientFlow* flow) {
  flow->waiting_id =
      std::to_string(flow->own.port) + "-" + std::to_string(flow->next_request);
  ++flow->next_request;
  flow->unacked = "GET /w/" + std::to_string(flow->work_ms) +
                  " HTTP/1.1\r\nX-Cornelhill-Request-Id: " + flow->waiting_id +
                  "\r\n\r\n";
  flow->unacked_seq = flow->next_out;
  flow->next_out += static_cast<uint32_t>(flow->unacked.size());
  flow->interval = 200;
  flow->retransmit_at = Now() + flow->interval;
  this->world.Out().Line("client " + Text(flow->own) + ": sends " +
                         flow->waiting_id);
  this->Send(flow, kAck, flow->unacked_seq, flow->next_in, flow->unacked);
}

void Client::Tick() {
  const int64_t now = Now();
  for (const auto& item : this->flows) {
    ClientFlow* const flow = item.get();
    const int64_t age = now - flow->started;
    if (flow->state == ClientFlow::kOpening) {
      if ((flow->copies == 1 && age >= 200) ||
          (flow->copies == 2 && age >= 600)) {
        this->SendFirst(flow);
      }
      if (age > 1400) {
        flow->state = ClientFlow::kEnded;
        flow->end = "not opened";
        this->world.Out().Line("client " + Text(flow->own) + ": not opened");
      }
      continue;
    }
    if (flow->state != ClientFlow::kOpen) continue;
    if (!flow->unacked.empty()) {
      if (now < flow->retransmit_at) continue;
      flow->interval = std::min<int64_t>(flow->interval * 2, 1600);
      flow->retransmit_at = now + flow->interval;
      this->Send(flow, kAck, flow->unacked_seq, flow->next_in, flow->unacked);
      continue;
    }
    if (flow->waiting_id.empty() &&
        flow->next_request < flow->request_times.size() &&
        age >= flow->request_times[flow->next_request]) {
      this->SendRequest(flow);
    }
  }
}

// World.

World::World(std::string root, const std::string& folder)
    : root(std::move(root)), record(folder + "/record.txt") {
  std::random_device device;
  this->random_state = uint64_t{device()} << 32 | device();
  std::string pattern =
      std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  this->temporary = mkdtemp(pattern.data());
  while (true) {
    this->network = 127U << 24 | (10 + this->Random() % 230) << 16 |
                    (1 + this->Random() % 250) << 8;
    const auto first = static_cast<uint16_t>(20000 + this->Random() % 10000);
    bool free = true;
    for (uint16_t i = 0; i < 24; ++i) {
      const Address address{this->Ip(1), static_cast<uint16_t>(first + i)};
      free =
          free && IsFree(address, SOCK_STREAM) && IsFree(address, SOCK_DGRAM);
    }
    if (!free) continue;
    const auto port = [first](int i) {
      return static_cast<uint16_t>(first + i);
    };
    this->ports = {port(0), port(1), port(2), port(3), port(4), port(5)};
    break;
  }
}

World::~World() {
  this->ended = true;
  if (this->prober.joinable()) this->prober.join();
  for (std::thread& item : this->operators) item.join();
  this->servers.clear();
  for (const auto& process : this->processes) {
    if (process->pid > 0) {
      kill(process->pid, SIGKILL);
      waitpid(process->pid, nullptr, 0);
    }
  }
  if (std::getenv("REVIEW_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->temporary, ignored);
  } else {
    std::cerr << "kept " << this->temporary << "\n";
  }
}

uint32_t World::Random() {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  this->random_state =
      this->random_state * 6364136223846793005ULL + 1442695040888963407ULL;
  return static_cast<uint32_t>(this->random_state >> 32);
}

void World::AddCores(int count) {
  for (int i = 0; i < count; ++i) {
    auto process = std::make_unique<Process>();
    process->name = "core-" + std::to_string(i + 1);
    process->role = "core";
    process->zone = std::string("zone-") + static_cast<char>('a' + i % 3);
    process->ip = this->Ip(11 + static_cast<uint32_t>(i));
    this->processes.push_back(std::move(process));
  }
}

void World::AddEntries(int count) {
  for (int i = 0; i < count; ++i) {
    auto process = std::make_unique<Process>();
    process->name = "entry-" + std::to_string(i + 1);
    process->role = "entry";
    process->zone = std::string("zone-") + static_cast<char>('a' + i % 3);
    process->ip = this->Ip(101 + static_cast<uint32_t>(i));
    this->processes.push_back(std::move(process));
  }
}

Server* World::AddServer(const std::string& name, const std::string& service,
                         const std::string& zone, uint32_t slots) {
  auto process = std::make_unique<Process>();
  process->name = "side-" + name;
  process->role = "sidecar";
  process->zone = zone;
  process->service = service;
  process->ip = this->Ip(this->next_host++);
  this->servers.push_back(
      std::make_unique<Server>(*this, name, service, process->ip, zone, slots));
  this->processes.push_back(std::move(process));
  return this->servers.back().get();
}

Client* World::AddClient() {
  this->clients.push_back(
      std::make_unique<Client>(*this, this->Ip(this->next_client++)));
  return this->clients.back().get();
}

void World::StartAll() {
  for (const auto& process : this->processes) this->StartProcess(process.get());
  this->prober = std::thread([this] { this->Probe(); });
}

void World::WriteSettings(const Process& process) {
  std::ifstream in(this->root + "/deploy/" + process.role + ".json.tmpl");
  std::string text{std::istreambuf_iterator<char>(in), {}};
  std::string seeds = "[";
  for (const auto& other : this->processes) {
    if (other->role != "core") continue;
    if (seeds.size() > 1) seeds += ",";
    seeds += Quote(Text(Address{other->ip, this->ports.control}));
  }
  seeds += "]";
  const auto at = [&](uint16_t port) {
    return Text(Address{process.ip, port});
  };
  const std::string folder = this->temporary + "/" + process.name;
  const std::map<std::string, std::string> values = {
      {"node_name|json", Quote(process.name)},
      {"zone|json", Quote(process.zone)},
      {"ip|json", Quote(Text(process.ip))},
      {"ip", Text(process.ip)},
      {"internal_port_range.0", std::to_string(this->ports.internal)},
      {"seeds|json", seeds},
      {"service|json", Quote(process.service)},
      {"app|json", Quote(at(this->ports.app))},
      {"listen.control|json", Quote(at(this->ports.control))},
      {"listen.packet_addr|json", Quote(at(this->ports.packets))},
      {"listen.ready|json", Quote(at(this->ports.ready))},
      {"listen.outbound|json", Quote(at(this->ports.outbound))},
      {"data_dir", folder + "/data"},
      {"bootstrap|json", process.bootstrap ? "true" : "false"},
      {"limits.memory_mb", "260"},
      {"fault_tolerance.machines", "1"},
      {"bounds.grace_s", "6"},
      {"bounds.flow_max_s", "60"},
      {"heartbeat_ms", "1200"}};
  std::string out;
  size_t position = 0;
  while (true) {
    const size_t begin = text.find("{{", position);
    if (begin == text.npos) break;
    const size_t end = text.find("}}", begin);
    const std::string name = text.substr(begin + 2, end - begin - 2);
    if (!values.contains(name)) {
      std::cerr << "placeholder " << name << " has no value\n";
      std::exit(2);
    }
    out += text.substr(position, begin - position) + values.at(name);
    position = end + 2;
  }
  out += text.substr(position);
  std::filesystem::create_directories(folder + "/data");
  std::ofstream(folder + "/boot.toml") << out;
}

void World::StartProcess(Process* process) {
  this->WriteSettings(*process);
  const std::string folder = this->temporary + "/" + process->name;
  const std::string program = this->root + "/target/bin/cornelhilld";
  const std::string config = "--config=" + folder + "/boot.toml";
  const std::string log = folder + "/log";
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), config.c_str(), nullptr);
    _exit(127);
  }
  process->pid = child;
  process->bootstrap = false;
  this->record.Line("start " + process->name);
}

void World::Signal(Process* process, int signal) {
  if (process->pid > 0) kill(process->pid, signal);
  this->record.Line("signal " + std::to_string(signal) + " to " +
                    process->name);
}

bool World::HasEnded(Process* process) {
  if (process->pid <= 0) return true;
  if (waitpid(process->pid, nullptr, WNOHANG) != process->pid) return false;
  process->pid = 0;
  this->record.Line(process->name + " has ended");
  return true;
}

Process* World::Find(const std::string& name) {
  for (const auto& process : this->processes) {
    if (process->name == name) return process.get();
  }
  return nullptr;
}

// The platform's routers: a daemon is out of rotation after two misses.
void World::Probe() {
  std::map<Process*, int> misses;
  std::map<Process*, bool> in;
  while (!this->ended) {
    const int64_t next = Now() + 500;
    for (const auto& process : this->processes) {
      if (process->role != "entry") continue;
      const HttpReply reply = HttpCall({process->ip, this->ports.ready}, "GET",
                                       "/-/ready", "", 400);
      int& missed = misses[process.get()];
      missed = reply.status == 200 ? 0 : missed + 1;
      bool& is_in = in[process.get()];
      const bool before = is_in;
      if (missed == 1 && is_in) this->first_miss = Now();
      if (missed == 0) is_in = true;
      if (missed >= 2) is_in = false;
      if (before != is_in) {
        this->record.Line(process->name + (is_in ? " joins the rotation"
                                                 : " leaves the rotation"));
      }
      const std::lock_guard lock(this->rotation_mutex);
      this->rotation.clear();
      for (const auto& other : this->processes) {
        if (in[other.get()]) this->rotation.push_back(other.get());
      }
    }
    if (next > Now()) SleepMs(next - Now());
  }
}

std::vector<std::string> World::InRotation() {
  const std::lock_guard lock(this->rotation_mutex);
  std::vector<std::string> out;
  for (const Process* process : this->rotation) out.push_back(process->name);
  return out;
}

Process* World::Route(const Address& client, const Address& service) {
  const std::lock_guard lock(this->rotation_mutex);
  if (this->rotation.empty()) return nullptr;
  uint64_t hash =
      uint64_t{client.ip} << 32 | uint64_t{client.port} << 16 | service.port;
  hash = (hash ^ service.ip) * 0x9E3779B97F4A7C15ULL;
  hash ^= hash >> 29;
  return this->rotation[hash % this->rotation.size()];
}

int64_t World::Order(const std::string& document, int64_t limit_ms) {
  const int64_t end = Now() + limit_ms;
  std::vector<Process*> cores;
  for (const auto& process : this->processes) {
    if (process->role == "core") cores.push_back(process.get());
  }
  size_t pick = 0;
  while (Now() < end && !this->ended) {
    Address to{cores[pick++ % cores.size()]->ip, this->ports.control};
    HttpReply reply;
    for (int hop = 0; hop < 3; ++hop) {
      reply = HttpCall(to, "PUT", "/-/config", document, 1000);
      if (reply.status != 307) break;
      const size_t host = reply.location.find("//") + 2;
      const size_t colon = reply.location.find(':', host);
      to.ip =
          ntohl(inet_addr(reply.location.substr(host, colon - host).c_str()));
      to.port =
          static_cast<uint16_t>(std::atoi(reply.location.c_str() + colon + 1));
    }
    this->record.Line("PUT /-/config -> " + std::to_string(reply.status) +
                      " by " + Text(to));
    if (reply.status == 200) return Now();
    SleepMs(100);
  }
  return -1;
}

void World::OrderInBackground(const std::string& document,
                              std::atomic<int64_t>* acknowledged_at) {
  this->operators.emplace_back([this, document, acknowledged_at] {
    *acknowledged_at = this->Order(document, 5000);
  });
}

void World::Run(int64_t end, const std::function<void()>& step) {
  while (Now() < end) {
    std::vector<pollfd> ready;
    for (const auto& server : this->servers) {
      if (server->Descriptor() >= 0)
        ready.push_back({server->Descriptor(), POLLIN, 0});
    }
    for (const auto& client : this->clients)
      ready.push_back({client->Descriptor(), POLLIN, 0});
    poll(ready.data(), ready.size(), 1);
    for (const auto& server : this->servers) server->OnReadable();
    for (const auto& client : this->clients) client->OnReadable();
    for (const auto& server : this->servers) server->Tick();
    for (const auto& client : this->clients) client->Tick();
    if (step) step();
  }
}

std::string RouteJson(uint32_t ip, uint16_t port, const std::string& service,
                      int timeout_ms) {
  std::ostringstream out;
  out << "{\"name\":\"r-" << port << "\",\"host\":\"" << Text(ip)
      << "\",\"path_prefix\":\"/" << port
      << "/\",\"type\":\"idempotent\",\"timeout_ms\":" << timeout_ms
      << ",\"target_latency_ms\":200,\"priority\":2,\"service\":\"" << service
      << "\",\"max_attempts\":2}";
  return out.str();
}

std::string ConfigJson(uint64_t version, const std::vector<std::string>& routes,
                       const std::vector<std::string>& services) {
  std::ostringstream out;
  out << "{\"version\":" << version << ",\"routes\":[";
  for (size_t i = 0; i < routes.size(); ++i)
    out << (i == 0 ? "" : ",") << routes[i];
  out << "],\"services\":[";
  for (size_t i = 0; i < services.size(); ++i) {
    out << (i == 0 ? "" : ",") << "{\"name\":\"" << services[i]
        << "\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":"
           "\"h1\",\"tls\":false}";
  }
  out << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  return out.str();
}

}  // namespace review
