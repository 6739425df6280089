// Measures, on a simulated clock, the time until a change is in effect at the
// last daemon and the bytes per second that distribution costs a daemon,
// compared with naive polling. Bytes are those of the encoded messages, sent
// and received, without transport framing.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <map>
#include <vector>

#include "tests/control/spread_cluster.h"
#include "tests/naive/polling_config.h"

namespace {

using cornelhill::InstanceId;
using cornelhill::Millis;
using cornelhill::fake::FakeQueue;
using cornelhill::fake::Faults;
using cornelhill::fake::kControlInstances;
using cornelhill::fake::kFirstDaemon;
using cornelhill::fake::SpreadCluster;
using cornelhill::naive::PollingConfig;

constexpr int kChanges = 20;
constexpr Millis kChangeInterval = Millis(3000);
constexpr Millis kConvergenceTimeout = Millis(60000);

// Bytes per second of the busiest and of the mean process.
struct Rate {
  double max = 0;
  double mean = 0;
};

Rate RateOf(const std::map<InstanceId, FakeQueue::Traffic>& traffic,
            bool daemons, Millis span) {
  Rate rate;
  uint64_t processes = 0;
  for (const auto& [id, bytes] : traffic) {
    if ((id.Value() >= kFirstDaemon) != daemons) continue;
    const double value = static_cast<double>(bytes.sent + bytes.received) *
                         1000.0 / static_cast<double>(span.Count());
    rate.max = std::max(rate.max, value);
    rate.mean += value;
    ++processes;
  }
  if (processes > 0) rate.mean /= static_cast<double>(processes);
  return rate;
}

void Measure(uint64_t daemons, uint64_t seed) {
  const Faults faults;
  const auto domains =
      static_cast<uint32_t>(std::max<uint64_t>(3, daemons / 40));
  SpreadCluster cluster(seed, daemons, domains, faults);
  cluster.Run(Millis(60000), [&cluster] { return cluster.Converged(); });
  const int64_t start_ms = cluster.now.Count();
  cluster.Run(Millis(10000));
  PollingConfig polling(seed, daemons, kControlInstances, faults);
  polling.Run(cluster.state, Millis(5000), false);

  cluster.queue.ClearTraffic();
  polling.queue.ClearTraffic();
  const Millis begin = cluster.now;
  const Millis polling_begin = polling.now;
  int64_t last_daemon_ms_max = 0;
  int64_t last_daemon_ms_sum = 0;
  int64_t polling_ms_max = 0;
  std::clock_t cpu = 0;
  for (int i = 0; i < kChanges; ++i) {
    const std::clock_t cpu_begin = std::clock();
    cluster.CommitRandomChange();
    const Millis at = cluster.now;
    cluster.Run(kConvergenceTimeout,
                [&cluster] { return cluster.Converged(); });
    const int64_t took = (cluster.now - at).Count();
    last_daemon_ms_max = std::max(last_daemon_ms_max, took);
    last_daemon_ms_sum += took;
    cluster.Run(kChangeInterval);
    cpu += std::clock() - cpu_begin;

    const Millis polling_at = polling.now;
    polling.Run(cluster.state, kConvergenceTimeout, true);
    polling_ms_max =
        std::max(polling_ms_max, (polling.now - polling_at).Count());
    polling.Run(cluster.state, kChangeInterval, false);
  }
  const auto& traffic = cluster.queue.TrafficByInstance();
  const Millis span = cluster.now - begin;
  const Rate rate = RateOf(traffic, true, span);
  const Rate control = RateOf(traffic, false, span);
  // CPU time of the whole simulation including the fake queue: an upper bound.
  const double cpu_us = static_cast<double>(cpu) * 1e6 / CLOCKS_PER_SEC *
                        1000.0 / static_cast<double>(span.Count()) /
                        static_cast<double>(daemons);
  const Millis polling_span = polling.now - polling_begin;
  const Rate naive =
      RateOf(polling.queue.TrafficByInstance(), true, polling_span);
  const Rate naive_control =
      RateOf(polling.queue.TrafficByInstance(), false, polling_span);
  std::printf(
      "measure=config_spread daemons=%lu seed=%lu changes=%d "
      "first_effect_ms=%ld last_daemon_ms_max=%ld last_daemon_ms_mean=%ld "
      "daemon_bytes_s_mean=%.0f daemon_bytes_s_max=%.0f "
      "control_bytes_s_max=%.0f cpu_us_per_daemon_s=%.0f reverts=%d "
      "naive_last_daemon_ms_max=%ld "
      "naive_daemon_bytes_s_mean=%.0f naive_daemon_bytes_s_max=%.0f "
      "naive_control_bytes_s_max=%.0f\n",
      daemons, seed, kChanges, start_ms, last_daemon_ms_max,
      last_daemon_ms_sum / kChanges, rate.mean, rate.max, control.max, cpu_us,
      cluster.reverts, polling_ms_max, naive.mean, naive.max,
      naive_control.max);
  std::fflush(stdout);
}

}  // namespace

int main() {
  for (const uint64_t daemons : {50, 200, 1000}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) Measure(daemons, seed);
  }
  return 0;
}
