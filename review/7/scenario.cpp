// A server that leaves, and a heartbeat of another writer that lacks fields.
#include <cstdlib>

#include "../standin-2/world.hpp"

using namespace review;

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr int64_t kDrainMs = 3000;  // `drain_ms` of the site.

// A heartbeat of another writer: no `zone`, no `cold_remaining_ms`, and a
// `version` of another type. It names no server to use.
std::string OddHeartbeat() {
  return "{\"service\":\"aula\",\"address\":\"127.0.0.1:9\",\"version\":7,"
         "\"slots\":4,\"state\":\"ready\",\"seq\":1,"
         "\"born\":" +
         std::to_string(UnixMs()) + "}";
}

int Run(const std::string& folder, bool trouble) {
  World world(folder);
  for (const char* zone : {"norte-a", "norte-b", "norte-c"})
    world.AddEdge(zone);
  Machine& a = world.AddSide("norte-a", "aula");
  Machine& b = world.AddSide("norte-b", "aula");
  Machine& c = world.AddSide("norte-c", "registro");
  for (const auto& edge : world.edges) {
    world.Start(*edge, "core", true);
    world.Start(*edge, "entry", true);
  }
  for (const auto& side : world.sides) world.Start(*side, "sidecar", true);
  world.StartRouter();
  Upstream stays(world, a, {"i-stays", "aula"});
  Upstream leaves(world, b, {"i-leaves", "aula"});
  Upstream other(world, c, {"i-other", "registro"});
  stays.quiet = 1;
  leaves.quiet = 1;
  if (!world.PutConfig(1, world.ConfigDocument(1), 15000)) return kNotRun;
  // Longer than stability_window_ms (4,000): all machines are in touch.
  SleepMs(6000);
  if (world.InRotation() < 3) return kNotRun;
  const Address listener = world.Listener("aula");
  for (int i = 0; i < 40; ++i) {
    Flow flow = world.NewFlow(listener);
    if (world.Open(&flow) && world.Request(&flow, 1500) == Outcome::kAnswered) {
      world.Close(&flow);
    }
    SleepMs(10);
  }
  Record("before: " + std::to_string(stays.RunCount()) +
         " requests run at i-stays, " + std::to_string(leaves.RunCount()) +
         " at i-leaves");
  if (leaves.RunCount() == 0 || stays.RunCount() == 0) return kNotRun;

  if (trouble) {
    const int status = HttpCall(world.At(b, world.ports.control), "PUT",
                                "/-/instances/i-odd", OddHeartbeat(), 1000)
                           .status;
    Record(
        "heartbeat of another writer, without zone and cold_remaining_ms: "
        "status " +
        std::to_string(status));
    SleepMs(100);
  }
  leaves.SetState("draining");
  const int acked = leaves.Beat("draining");
  const int64_t acked_at = NowMs();
  Record("i-leaves says that it is draining: status " + std::to_string(acked));
  if (acked / 100 != 2) return kNotRun;

  int opened = 0;
  int late_flows = 0;
  int64_t latest = 0;
  while (NowMs() - acked_at < 8000) {
    const int64_t sent_after = NowMs() - acked_at;
    const uint64_t before = leaves.RunCount();
    Flow flow = world.NewFlow(listener);
    if (world.Open(&flow)) {
      ++opened;
      world.Request(&flow, 1500);
      if (leaves.RunCount() > before && sent_after > kDrainMs) {
        ++late_flows;
        latest = sent_after;
      }
      if (flow.open) world.Close(&flow);
    }
    SleepMs(15);
  }
  Record(std::to_string(opened) +
         " flows opened since; of those that callers "
         "began later than 3,000 ms after the acknowledgement, " +
         std::to_string(late_flows) + " ran a request at i-leaves, the last " +
         std::to_string(latest) + " ms after it");
  if (world.AnyEnded() || opened == 0) return kNotRun;
  Record(late_flows == 0 ? "DRAIN held" : "DRAIN broken");
  return late_flows == 0 ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  try {
    return Run(argc > 1 ? argv[1] : ".",
               trouble == nullptr || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    Record(std::string("cannot run: ") + error.what());
    return kNotRun;
  }
}
