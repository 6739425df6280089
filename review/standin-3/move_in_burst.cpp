// A configuration moves a route to another service while many users come at
// once. Judges CONFIG: a machine regresses, as first packets that clients send
// through it after a server saw the new version's effect through it are still
// run by the old service.

#include <cstdlib>
#include <string>

#include "world.hpp"

using namespace review;

namespace {

constexpr int64_t kDowngradeSlackMs = 250;
constexpr size_t kEntries = 3;
constexpr uint16_t kPort = 8443;
// Users that come at once, one each millisecond; then one each 5 ms.
constexpr int64_t kCrowdMs = 140;
constexpr int64_t kWorkMs = 100;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  World world(argv[1], argv[2]);
  world.AddCores(3);
  world.AddEntries(kEntries);
  for (int i = 1; i <= 3; ++i) {
    const std::string zone = std::string("zone-") + "abc"[i - 1];
    world.AddServer("old" + std::to_string(i), "alpha", zone, 2);
    world.AddServer("new" + std::to_string(i), "beta", zone, 2);
  }
  Client& client = *world.AddClient();
  world.StartAll();
  for (const auto& server : world.servers) server->Start();
  const std::vector<std::string> services = {"alpha", "beta"};
  const std::string before = ConfigJson(
      7, {RouteJson(world.ServiceIp(), kPort, "alpha", 1500)}, services);
  const std::string after = ConfigJson(
      12, {RouteJson(world.ServiceIp(), kPort, "beta", 1500)}, services);
  if (world.Order(before, 20000) < 0) return 2;
  world.Run(Now() + 8000);
  if (world.InRotation().size() != kEntries) return 2;

  const Address service{world.ServiceIp(), kPort};
  const int64_t begin = Now();
  int64_t next_flow = begin;
  uint16_t port = 2000;
  bool ordered = false;
  std::atomic<int64_t> acknowledged = -1;
  world.Run(begin + 6000, [&] {
    const int64_t now = Now();
    if (now >= next_flow && now < begin + 1500) {
      next_flow += now < begin + kCrowdMs ? 1 : 5;
      client.Open(port++, service, {5}, kWorkMs);
    }
    if (trouble && !ordered && now >= begin + kCrowdMs) {
      ordered = true;
      world.OrderInBackground(after, &acknowledged);
    }
  });
  if (trouble && acknowledged < 0) return 2;

  // When a server first saw the effect of the new version, by daemon.
  std::map<std::string, int64_t> effect;
  std::map<Address, const ClientFlow*> flows;
  for (const auto& flow : client.Flows()) flows[flow->own] = flow.get();
  for (const World::Taken& taken : world.taken) {
    if (taken.service != "beta") continue;
    const std::string& entry = flows.at(taken.client)->copy_entry[taken.copy];
    if (effect.contains(entry)) continue;
    effect[entry] = taken.at;
    world.Out().Line("server " + taken.server +
                     " saw the effect of version 12 through " + entry + " at " +
                     std::to_string(taken.at) + " ms");
  }
  int served = 0;
  int broken = 0;
  for (const World::Taken& taken : world.taken) {
    const ClientFlow& flow = *flows.at(taken.client);
    if (flow.answered == 1) ++served;
    if (taken.service != "alpha") continue;
    const std::string& entry = flow.copy_entry[taken.copy];
    const int64_t sent = flow.copy_sent[taken.copy];
    if (!effect.contains(entry) ||
        sent <= effect.at(entry) + kDowngradeSlackMs) {
      continue;
    }
    for (const World::Ran& run : world.runs) {
      if (run.client != taken.client || run.service != "alpha") continue;
      ++broken;
      world.Out().Line("CONFIG broken: " + run.id + " ran at server " +
                       run.server + " of alpha; its opening packet, copy " +
                       std::to_string(taken.copy) + ", was sent to " + entry +
                       " at " + std::to_string(sent) + " ms, " +
                       std::to_string(sent - effect.at(entry)) +
                       " ms after a server saw the effect of version 12 "
                       "through it");
    }
  }
  world.Out().Line("flows: " + std::to_string(port - 2000) +
                   ", served: " + std::to_string(served) +
                   ", broken: " + std::to_string(broken));
  if (served == 0) return 2;
  return broken > 0 ? 1 : 0;
}
