// A server crashes and starts again while one of the daemons that carry the
// traffic is restarted. Judges FLOW (a): a client gets a reset that its flow's
// server, which lives undisturbed, did not send.

#include <signal.h>

#include <cstdlib>
#include <string>

#include "world.hpp"

using namespace review;

namespace {

constexpr int kRounds = 4;
constexpr size_t kEntries = 7;
constexpr int64_t kStabilityWindowMs = 4000;

struct Totals {
  int undisturbed = 0;
  int served_twice = 0;
  int broken = 0;
};

// One restart of a daemon, with new flows all the time. Returns when all
// machines are in touch again, or -1 if the deployment was not ready.
int64_t RunRound(World& world, Client& client, Server& crashing, bool trouble,
                 uint16_t first_port) {
  Process* const rolled = world.Find("entry-6");
  const Address service{world.ServiceIp(), 8443};
  const int64_t begin = Now();
  world.first_miss = -1;
  world.Signal(rolled, SIGTERM);
  int64_t next_flow = begin + 100;
  uint16_t port = first_port;
  bool crashed = false;
  bool ended = false;
  int64_t server_start = -1;
  int64_t daemon_start = -1;
  int64_t last_disruption = begin;
  world.Run(begin + 13000, [&] {
    const int64_t now = Now();
    // Each flow has a request at once and, after a pause, another one.
    if (now >= next_flow && now < begin + 2100) {
      next_flow += 1;
      client.Open(port++, service, {20, 8000}, 5);
    }
    // The daemon leaves the rotation half a second after its first miss.
    if (trouble && !crashed && world.first_miss >= 0 &&
        now >= world.first_miss + 320) {
      crashed = true;
      crashing.Crash();
      server_start = now + 1000;
    }
    if (server_start >= 0 && now >= server_start) {
      server_start = -1;
      last_disruption = now;
      crashing.Start();
    }
    if (!ended && world.HasEnded(rolled)) {
      ended = true;
      daemon_start = now + 500;
    }
    if (daemon_start >= 0 && now >= daemon_start) {
      daemon_start = -1;
      last_disruption = now;
      world.StartProcess(rolled);
    }
  });
  if (world.InRotation().size() != kEntries) return -1;
  return last_disruption + kStabilityWindowMs;
}

Totals Judge(World& world, const Client& client, const Server& crashing,
             int64_t in_touch_from) {
  Totals out;
  for (const auto& flow : client.Flows()) {
    const auto found = world.opened_at.find({flow->own, flow->service});
    if (found == world.opened_at.end() || found->second == crashing.name) {
      continue;
    }
    ++out.undisturbed;
    if (flow->answered == 2) ++out.served_twice;
    if (flow->reset_at < in_touch_from) continue;
    ++out.broken;
    world.Out().Line("FLOW broken: " + Text(flow->own) + " is open at server " +
                     found->second +
                     ", which lives and has sent no reset, and was reset; its "
                     "last packet went through " +
                     flow->last_entry);
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  World world(argv[1], argv[2]);
  world.AddCores(3);
  world.AddEntries(kEntries);
  // One of seven servers is 0.143 of the service.
  for (int i = 1; i <= 7; ++i) {
    world.AddServer("s" + std::to_string(i), "alpha",
                    std::string("zone-") + "aabbccc"[i - 1], 5);
  }
  Server& crashing = *world.servers.front();
  Client& client = *world.AddClient();
  world.StartAll();
  for (const auto& server : world.servers) server->Start();
  const std::string config = ConfigJson(
      7, {RouteJson(world.ServiceIp(), 8443, "alpha", 1500)}, {"alpha"});
  if (world.Order(config, 20000) < 0) return 2;
  world.Run(Now() + 8000);
  if (world.InRotation().size() != kEntries) return 2;

  Totals totals;
  for (int round = 0; round < kRounds && totals.broken == 0; ++round) {
    world.Out().Line("round " + std::to_string(round + 1));
    const auto first_port = static_cast<uint16_t>(2000 + round * 3000);
    const int64_t in_touch_from =
        RunRound(world, client, crashing, trouble, first_port);
    if (in_touch_from < 0) return 2;
    totals = Judge(world, client, crashing, in_touch_from);
  }
  world.Out().Line(
      "flows at the other servers: " + std::to_string(totals.undisturbed) +
      ", both requests answered: " + std::to_string(totals.served_twice) +
      ", reset: " + std::to_string(totals.broken));
  if (totals.undisturbed == 0) return 2;
  return totals.broken > 0 ? 1 : 0;
}
