// A server of the platform on a side machine. Takes packets at its app address,
// sends its own to `outbound`, and reports to `control` on its machine.
//
//   server IP APP OUTBOUND CONTROL SERVICE ID SLOTS
//
// A request is one packet of data; its answer is one packet that names the
// server. A repeated request gets the answer again.

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <tuple>

#include "packet.hpp"

using namespace review;

namespace {

constexpr int kHeartbeatMs = 1200;
constexpr size_t kMaxFlows = 2000;

struct Flow {
  uint32_t first = 0;  // The client's first sequence number.
  uint32_t own = 0;
  bool open = false;
  uint32_t answered = 0;  // Sequence number after the last answered request.
  std::string answer;
};

using Key = std::tuple<uint32_t, uint16_t, uint32_t, uint16_t>;

sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

void Report(const std::string& ip, int control, const std::string& id,
            const std::string& body) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in to = SocketAddress(ip, control);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
    const std::string call =
        "PUT /-/instances/" + id + " HTTP/1.1\r\nHost: " + ip +
        "\r\nConnection: close\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    if (send(fd, call.data(), call.size(), 0) > 0) {
      char answer[1024];
      if (recv(fd, answer, sizeof answer, 0) <= 0) std::perror("report");
    }
  }
  close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 8) return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string ip = argv[1];
  const int app = std::atoi(argv[2]);
  const int outbound = std::atoi(argv[3]);
  const int control = std::atoi(argv[4]);
  const std::string service = argv[5];
  const std::string id = argv[6];
  const std::string slots = argv[7];
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();

  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in own = SocketAddress(ip, app);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
    std::perror("bind");
    return 2;
  }
  const sockaddr_in to = SocketAddress(ip, outbound);
  const auto send_out = [&](const std::string& bytes) {
    sendto(fd, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof to);
  };

  std::thread([=] {
    for (unsigned long sequence = 0;; ++sequence) {
      Report(
          ip, control, id,
          "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" +
              std::to_string(app) +
              "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slots +
              ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":" +
              std::to_string(sequence) + ",\"born\":" + std::to_string(born) +
              "}");
      std::this_thread::sleep_for(std::chrono::milliseconds(kHeartbeatMs));
    }
  }).detach();

  std::mt19937 generator{std::random_device{}()};
  std::map<Key, Flow> flows;
  while (true) {
    char buffer[2048];
    const ssize_t size = recv(fd, buffer, sizeof buffer, 0);
    if (size <= 0) continue;
    const std::string bytes(buffer, static_cast<size_t>(size));
    const std::optional<Packet> read = Read(bytes);
    if (!read || read->sum != SumOf(*read)) {
      std::printf("forged packet\n");
      std::fflush(stdout);
      continue;
    }
    const Packet& in = *read;
    const Key key{in.source, in.source_port, in.destination,
                  in.destination_port};
    const auto found = flows.find(key);
    Packet out;
    out.source = in.destination;
    out.source_port = in.destination_port;
    out.destination = in.source;
    out.destination_port = in.source_port;
    const auto bounce = [&] {
      std::string back = bytes;
      back[16] = static_cast<char>(in.flags | kBounced);
      back[17] = 0;
      send_out(back);
    };
    if ((in.flags & kSyn) != 0 && (in.flags & kAck) == 0) {
      if (found == flows.end() && flows.size() >= kMaxFlows) {
        bounce();
        continue;
      }
      Flow& flow = flows[key];
      if (found == flows.end() || flow.first != in.sequence) {
        flow = Flow();
        flow.first = in.sequence;
        flow.own = generator();
      }
      out.flags = kSyn | kAck;
      out.sequence = flow.own;
      out.acknowledged = in.sequence + 1;
      send_out(Write(out));
      continue;
    }
    const bool opens = found != flows.end() && !found->second.open &&
                       in.acknowledged == found->second.own + 1;
    if (opens) found->second.open = true;
    if (found == flows.end() || !found->second.open) {
      bounce();
      continue;
    }
    Flow& flow = found->second;
    if ((in.flags & kReset) != 0) {
      flows.erase(found);
      continue;
    }
    if (in.data.empty()) continue;
    const uint32_t end = in.sequence + static_cast<uint32_t>(in.data.size());
    if (flow.answered != end) {
      out.flags = kAck;
      out.sequence = in.acknowledged;
      out.acknowledged = end;
      out.data = id + " answers " + in.data;
      flow.answered = end;
      flow.answer = Write(out);
    }
    send_out(flow.answer);
  }
}
