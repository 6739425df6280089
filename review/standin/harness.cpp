#include "harness.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
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
#include <map>
#include <random>
#include <thread>

namespace review {

namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

const Clock::time_point kBegin = Clock::now();
std::string daemon_path;
std::string temporary;
std::ofstream record_file;
std::vector<pid_t> started;
Ports ports;
int net_second = 0;
int net_third = 0;
std::mt19937 generator{std::random_device{}()};

sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

bool PortIsFree(int port) {
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in any = SocketAddress("0.0.0.0", port);
    const bool free =
        bind(probe, reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0;
    close(probe);
    if (!free) return false;
  }
  return true;
}

int FreePorts(int count) {
  std::uniform_int_distribution<int> pick(20000, 30000);
  while (true) {
    const int first = pick(generator);
    bool free = true;
    for (int i = 0; i < count && free; ++i) free = PortIsFree(first + i);
    if (free) return first;
  }
}

void EndAll() {
  for (const pid_t pid : started) kill(pid, SIGKILL);
  for (const pid_t pid : started) waitpid(pid, nullptr, 0);
  started.clear();
}

void OnSignal(int) { Finish(2, "stopped from outside"); }

}  // namespace

long Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kBegin)
      .count();
}

void SleepFor(long duration_ms) {
  if (duration_ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

void SleepUntil(long time_ms) { SleepFor(time_ms - Now()); }

void Record(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f  ", Now() / 1000.0);
  record_file << time << line << std::endl;
  std::printf("%s%s\n", time, line.c_str());
  std::fflush(stdout);
}

void Finish(int status, const std::string& verdict) {
  Record((status == 0   ? "HELD: "
          : status == 1 ? "BROKEN: "
                        : "NOT RUN: ") +
         verdict);
  EndAll();
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) fs::remove_all(temporary, ignored);
  std::_Exit(status);
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Begin(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s CORNELHILLD FOLDER\n", argv[0]);
    std::_Exit(2);
  }
  daemon_path = argv[1];
  record_file.open(std::string(argv[2]) + "/record.txt");
  std::string pattern = (fs::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr || !record_file) std::_Exit(2);
  temporary = pattern;
  signal(SIGPIPE, SIG_IGN);
  signal(SIGTERM, OnSignal);
  signal(SIGINT, OnSignal);
  std::uniform_int_distribution<int> octet(10, 240);
  net_second = octet(generator);
  net_third = octet(generator);
  const int first = FreePorts(24);
  ports = {first,     first + 1, first + 2, first + 3,
           first + 4, first + 5, first + 21};
  if (access(daemon_path.c_str(), X_OK) != 0) {
    Finish(2, daemon_path + " is not built");
  }
  Record("trouble: " + std::string(Trouble() ? "1" : "0"));
}

const Ports& DayPorts() { return ports; }
std::string TemporaryFolder() { return temporary; }

std::string Address(int host) {
  return "127." + std::to_string(net_second) + "." + std::to_string(net_third) +
         "." + std::to_string(host);
}

Machine MakeMachine(const std::string& role, int number, int host,
                    const std::string& zone, const std::string& service) {
  Machine out;
  out.name = role + "-" + std::to_string(number);
  out.ip = Address(host);
  out.zone = zone;
  out.role = role;
  out.service = service;
  out.data = temporary + "/" + out.name + "-data";
  out.settings = temporary + "/" + out.name + ".json";
  return out;
}

void Start(Machine* machine, const std::vector<Machine>& seeds,
           bool bootstrap) {
  const auto at = [&](int port) {
    return "\"" + machine->ip + ":" + std::to_string(port) + "\"";
  };
  {
    std::ofstream out(machine->settings);
    out << "{\"platform\":\"platform\",\"role\":\"" << machine->role
        << "\",\"instance\":\"" << machine->name << "\",\"failure_domain\":\""
        << machine->zone << "\",\"address\":\"" << machine->ip
        << "\",\"base_port\":" << ports.base << ",\"seeds\":[";
    for (size_t i = 0; i < seeds.size(); ++i) {
      out << (i ? "," : "") << "\"" << seeds[i].ip << ":" << ports.control
          << "\"";
    }
    out << "],\"metrics\":" << at(ports.metrics) << ",\"grace_ms\":" << kGraceMs
        << ",\"flow_lifetime_ms\":" << kFlowMaxMs
        << ",\"heartbeat_ms\":" << kHeartbeatMs;
    if (machine->role == "core") {
      out << ",\"operators\":" << at(ports.control) << ",\"data_directory\":\""
          << machine->data
          << "\",\"bootstrap\":" << (bootstrap ? "true" : "false");
    } else if (machine->role == "entry") {
      out << ",\"packets\":" << at(ports.packets)
          << ",\"ready\":" << at(ports.ready);
    } else {
      out << ",\"operators\":" << at(ports.control)
          << ",\"packets\":" << at(ports.packets)
          << ",\"outbound\":" << at(ports.outbound)
          << ",\"upstream\":" << at(ports.app) << ",\"service\":\""
          << machine->service << "\"";
    }
    out << "}\n";
  }
  if (machine->role == "core") fs::create_directories(machine->data);
  const std::string config = "--config=" + machine->settings;
  const std::string log = temporary + "/" + machine->name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(daemon_path.c_str(), daemon_path.c_str(), config.c_str(), nullptr);
    _exit(127);
  }
  machine->pid = pid;
  ++machine->starts;
  started.push_back(pid);
  Record("start " + machine->name + " at " + machine->ip +
         " bootstrap=" + (bootstrap ? "true" : "false"));
}

void Adopt(pid_t pid) { started.push_back(pid); }

void Kill(pid_t pid) {
  if (std::find(started.begin(), started.end(), pid) == started.end()) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  started.erase(std::remove(started.begin(), started.end(), pid),
                started.end());
}

// A process that has ended has the ID 0, which would name this process's group.
void Signal(const Machine& machine, int signal) {
  if (machine.pid > 0) kill(machine.pid, signal);
}

bool WaitEnd(Machine* machine, long timeout_ms) {
  if (machine->pid <= 0) return true;
  const long until = Now() + timeout_ms;
  do {
    const pid_t ended = waitpid(machine->pid, nullptr, WNOHANG);
    if (ended != 0) {
      started.erase(std::remove(started.begin(), started.end(), machine->pid),
                    started.end());
      machine->pid = 0;
      return true;
    }
    SleepFor(1);
  } while (Now() < until);
  return false;
}

void LoseDisk(Machine* machine) {
  Signal(*machine, SIGKILL);
  WaitEnd(machine, 1000);
  std::error_code ignored;
  fs::remove_all(machine->data, ignored);
}

HttpAnswer Call(const std::string& address, const std::string& method,
                const std::string& path, const std::string& body,
                long timeout_ms) {
  HttpAnswer answer;
  const long until = Now() + timeout_ms;
  const size_t colon = address.rfind(':');
  const sockaddr_in to = SocketAddress(address.substr(0, colon),
                                       std::atoi(address.c_str() + colon + 1));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto wait = [&](short events) {
    pollfd ready{fd, events, 0};
    const long left = until - Now();
    return left > 0 && poll(&ready, 1, static_cast<int>(left)) == 1;
  };
  const auto exchange = [&] {
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
      int error = errno;
      socklen_t size = sizeof error;
      if (error != EINPROGRESS || !wait(POLLOUT)) return;
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return;
    }
    std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + address +
                      "\r\nConnection: close\r\n";
    if (!body.empty()) {
      out += "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n";
    }
    out += "\r\n" + body;
    for (size_t sent = 0; sent < out.size();) {
      if (!wait(POLLOUT)) return;
      const ssize_t done = send(fd, out.data() + sent, out.size() - sent, 0);
      if (done <= 0) return;
      sent += static_cast<size_t>(done);
    }
    std::string in;
    size_t head_end = std::string::npos;
    size_t length = 0;
    while (true) {
      if (!wait(POLLIN)) return;
      char part[65536];
      const ssize_t done = recv(fd, part, sizeof part, 0);
      if (done <= 0) return;
      in.append(part, static_cast<size_t>(done));
      if (head_end == std::string::npos) {
        head_end = in.find("\r\n\r\n");
        if (head_end == std::string::npos) continue;
        for (size_t line = 0; line < head_end;) {
          const size_t end = in.find("\r\n", line);
          std::string text = in.substr(line, end - line);
          const size_t mark = text.find(": ");
          std::string name = text.substr(0, mark);
          std::transform(name.begin(), name.end(), name.begin(), ::tolower);
          if (mark != std::string::npos && name == "content-length") {
            length = std::stoul(text.substr(mark + 2));
          }
          if (mark != std::string::npos && name == "location") {
            answer.location = text.substr(mark + 2);
          }
          line = end + 2;
        }
      }
      if (in.size() >= head_end + 4 + length) break;
    }
    answer.body = in.substr(head_end + 4, length);
    answer.status = std::atoi(in.c_str() + in.find(' ') + 1);
  };
  exchange();
  close(fd);
  return answer;
}

std::string Config(unsigned long version, int routes) {
  std::string out = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (int i = 0; i < routes; ++i) {
    out += std::string(i ? "," : "") + "{\"name\":\"r-" + std::to_string(i) +
           "\",\"host\":\"" + Address(200) + "\",\"path_prefix\":\"/" +
           std::to_string(kFirstRoutePort + i) +
           "/\",\"type\":\"idempotent\",\"timeout_ms\":" +
           std::to_string(1000 + version % 1000) +
           ",\"target_latency_ms\":200,\"priority\":2,\"service\":\"review\"," +
           "\"max_attempts\":2}";
  }
  return out +
         "],\"services\":[{\"name\":\"review\",\"health_path\":\"/health\","
         "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

namespace {

// Calls a machine and follows redirects twice; `answered_by` gets the address
// of the machine that gave the last answer.
HttpAnswer CallFollowing(const Machine& core, const std::string& method,
                         const std::string& body, std::string* answered_by) {
  std::string address = core.ip + ":" + std::to_string(ports.control);
  HttpAnswer answer;
  for (int hop = 0; hop < 3; ++hop) {
    answer = Call(address, method, "/-/config", body);
    *answered_by = address;
    if (answer.status != 307) break;
    const std::string text = answer.location.substr(strlen("http://"));
    address = text.substr(0, text.find('/'));
  }
  return answer;
}

}  // namespace

int Order(const std::vector<Machine>& cores, unsigned long version,
          const std::string& body, long timeout_ms, long* sent_ms) {
  const long until = Now() + timeout_ms;
  const long first_sent = Now();
  if (sent_ms != nullptr) *sent_ms = first_sent;
  Record("order version " + std::to_string(version) + " sent, " +
         std::to_string(body.size()) + " bytes");
  std::string last = "no response";
  long backoff = 50;
  for (size_t turn = 0; Now() < until; ++turn) {
    const Machine& core = cores[turn % cores.size()];
    std::string by;
    const HttpAnswer answer = CallFollowing(core, "PUT", body, &by);
    if (answer.status >= 200 && answer.status < 300) {
      Record("order version " + std::to_string(version) + " acknowledged by " +
             by + " after " + std::to_string(Now() - first_sent) + " ms");
      for (size_t i = 0; i < cores.size(); ++i) {
        if (by.starts_with(cores[i].ip + ":")) return static_cast<int>(i);
      }
      return -1;
    }
    last = "status " + std::to_string(answer.status) + " " + answer.body;
    if (answer.status == 400 || answer.status == 409 || answer.status == 412 ||
        answer.status == 413 || answer.status == 422) {
      break;
    }
    SleepFor(backoff);
    backoff = std::min(backoff * 2, 400L);
  }
  Record("order version " + std::to_string(version) +
         " not acknowledged within " + std::to_string(timeout_ms) +
         " ms; the last answer: " + last);
  return -1;
}

HttpAnswer ReadConfig(const std::vector<Machine>& cores, long timeout_ms) {
  const long until = Now() + timeout_ms;
  HttpAnswer answer;
  std::map<int, int> statuses;
  for (size_t turn = 0; Now() < until; ++turn) {
    std::string by;
    answer = CallFollowing(cores[turn % cores.size()], "GET", "", &by);
    if (answer.status == 200) {
      Record("read: version " + std::to_string(VersionOf(answer.body)) +
             " from " + by);
      return answer;
    }
    ++statuses[answer.status];
    SleepFor(100);
  }
  std::string text;
  for (const auto& [status, count] : statuses) {
    text += " " + std::to_string(count) + " x status " + std::to_string(status);
  }
  Record("read: no configuration within " + std::to_string(timeout_ms) +
         " ms:" + text + "; the last answer: " + answer.body);
  answer.status = 0;
  return answer;
}

unsigned long VersionOf(const std::string& document) {
  const std::string key = "\"version\":";
  const size_t at = document.find(key);
  return at == std::string::npos
             ? 0
             : std::strtoul(document.c_str() + at + key.size(), nullptr, 10);
}

}  // namespace review
