// Counts broken flows and work that ran twice, was refused falsely or reached
// the wrong service: during planned changes, with a killed balancer, and with a
// crashed upstream, where only the flows it held may be lost.

#include <absl/flags/parse.h>

#include "tests/support/measure.h"

namespace cornelhill {
namespace {

struct Run {
  double broken = 0;
  double run_twice = 0;
  double other = 0;
  double lost_with_upstream = 0;
  double flows = 0;
};

enum class Scenario { kPlanned, kBalancerKilled, kUpstreamCrashed };

Run RunOne(const UserSize& size, uint64_t seed, bool naive, Scenario scenario) {
  PoolConfig config = MeasureConfig(size, seed, naive);
  config.faults.loss = 0.01;
  TestPool pool(config);
  AddLoad(pool, size, Load(), seed);
  switch (scenario) {
    case Scenario::kPlanned:
      pool.At(Millis(12000), [&] { pool.AddUpstream(0, size.slots); });
      pool.At(Millis(22000), [&] { pool.DrainUpstream(1); });
      pool.At(Millis(22300), [&] { pool.AddUpstream(0, size.slots); });
      pool.At(Millis(27000), [&] { pool.Reweight(2, 50); });
      pool.At(Millis(27100), [&] { pool.AddBalancer(); });
      pool.At(Millis(31000), [&] { pool.DrainBalancer(0); });
      break;
    case Scenario::kBalancerKilled:
      pool.At(Millis(25000), [&] { pool.KillBalancer(1); });
      break;
    case Scenario::kUpstreamCrashed:
      pool.At(Millis(25000), [&] { pool.CrashInstance(3); });
      break;
  }
  pool.RunUntil(kMeasureEnd);
  const PoolFaults& faults = pool.Faults();
  Run run;
  run.broken = static_cast<double>(faults.broken_flow + pool.FlowsGivenUp());
  run.run_twice = static_cast<double>(faults.run_twice);
  run.other = static_cast<double>(faults.Total() - faults.broken_flow -
                                  faults.run_twice);
  run.lost_with_upstream = static_cast<double>(pool.FlowsLostWithUpstream());
  run.flows = static_cast<double>(pool.Flows());
  return run;
}

Figures Measure(const UserSize& size, uint64_t seed) {
  Figures figures;
  const std::pair<const char*, Scenario> scenarios[] = {
      {"planned", Scenario::kPlanned},
      {"balancer_killed", Scenario::kBalancerKilled},
      {"upstream_crashed", Scenario::kUpstreamCrashed}};
  for (const auto& [name, scenario] : scenarios) {
    for (const bool naive : {false, true}) {
      const Run run = RunOne(size, seed, naive, scenario);
      const std::string who =
          std::string(name) + (naive ? "_naive_" : "_product_");
      figures.emplace_back(who + "broken", run.broken);
      figures.emplace_back(who + "run_twice", run.run_twice);
      figures.emplace_back(who + "other", run.other);
      if (scenario == Scenario::kUpstreamCrashed) {
        figures.emplace_back(who + "lost", run.lost_with_upstream);
      }
      if (!naive && scenario == Scenario::kPlanned) {
        figures.emplace_back("flows", run.flows);
      }
    }
  }
  return figures;
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  cornelhill::RunMeasure("broken_flows", cornelhill::Measure);
}
