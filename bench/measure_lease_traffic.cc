// Measures the lease traffic of an agent, the busiest collector and the leader
// in bytes per second of encoded messages, compared with the leader's traffic
// if each agent renewed directly at the leader (naive).

#include <algorithm>
#include <cstdint>
#include <cstdio>

#include "tests/control/lease_cluster.h"

namespace {

using cornelhill::Announcement;
using cornelhill::ControlMessage;
using cornelhill::Encode;
using cornelhill::Incarnation;
using cornelhill::InstanceId;
using cornelhill::Millis;
using cornelhill::Renewal;
using cornelhill::RenewalAck;
using cornelhill::fake::Faults;
using cornelhill::fake::kLeader;
using cornelhill::fake::LeaseCluster;

void Measure(uint64_t agents, uint64_t seed) {
  LeaseCluster cluster(seed, agents, Faults());
  cluster.Run(Millis(10000));
  cluster.queue.ClearTraffic();
  const int joins = cluster.joins;
  constexpr int64_t kSeconds = 30;
  cluster.Run(Millis(kSeconds * 1000));
  double sum = 0;
  double max = 0;
  double leader = 0;
  for (const auto& [id, bytes] : cluster.queue.TrafficByInstance()) {
    const double rate =
        static_cast<double>(bytes.sent + bytes.received) / kSeconds;
    if (id == kLeader) {
      leader = rate;
    } else {
      sum += rate;
      max = std::max(max, rate);
    }
  }
  const Renewal renewal{InstanceId(100), Incarnation(1000), 40};
  const RenewalAck ack{InstanceId(100), Incarnation(1000), 40, {}, {}};
  const size_t naive = agents * (Encode(ControlMessage(renewal)).size() +
                                 Encode(ControlMessage(ack)).size());
  std::printf(
      "measure=lease_traffic agents=%lu domains=3 seed=%lu "
      "agent_bytes_s_mean=%.0f collector_bytes_s_max=%.0f "
      "leader_bytes_s=%.0f collectors_ever=%zu false_rejoins=%d "
      "naive_leader_bytes_s=%zu\n",
      agents, seed, sum / static_cast<double>(agents), max, leader,
      cluster.collectors.size(), cluster.joins - joins, naive);
}

}  // namespace

int main() {
  for (const uint64_t agents : {30, 192, 1095}) {
    for (uint64_t seed = 1; seed <= 3; ++seed) Measure(agents, seed);
  }
  return 0;
}
