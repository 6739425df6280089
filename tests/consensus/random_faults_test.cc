#include <criterion/criterion.h>

#include <cstdlib>

#include "test_cluster.h"

namespace cornelhill {
namespace {

constexpr FaultRates kNetworkFaults = {.loss = 0.05,
                                       .duplicate = 0.05,
                                       .long_delay = 0.05,
                                       .one_way_partition = 0.01};
constexpr FaultRates kDiskFaults = {.loss = 0.02,
                                    .crash = 0.003,
                                    .crash_in_write = 0.005,
                                    .pause = 0.002,
                                    .slow_disk = 0.05};
constexpr FaultRates kAllFaults = {.loss = 0.05,
                                   .duplicate = 0.03,
                                   .long_delay = 0.03,
                                   .one_way_partition = 0.006,
                                   .crash = 0.002,
                                   .crash_in_write = 0.002,
                                   .pause = 0.002,
                                   .lose_disk = 0.003,
                                   .slow_disk = 0.03,
                                   .churn = 0.01};

// The environment variable CORNELHILL_SEEDS sets the number of seeds of each
// test.
uint64_t SeedCount(uint64_t fallback) {
  const char* text = std::getenv("CORNELHILL_SEEDS");
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

void RunSeeds(uint64_t first_seed, uint64_t count, size_t voters,
              const FaultRates& rates) {
  uint64_t acknowledged = 0;
  uint64_t confirmed = 0;
  uint64_t repairs = 0;
  uint64_t restored = 0;
  for (uint64_t seed = first_seed; seed < first_seed + SeedCount(count);
       ++seed) {
    TestCluster cluster(seed, voters);
    cluster.Run(Millis(4000), rates);
    if (cluster.Violation().empty()) cluster.HealAndConverge();
    cr_assert(cluster.Violation().empty(), "seed %lu: %s",
              static_cast<unsigned long>(seed), cluster.Violation().c_str());
    acknowledged += cluster.acknowledged;
    confirmed += cluster.confirmed.size();
    repairs += cluster.repairs;
    restored += cluster.restored;
  }
  // Ensures that the run exercised writes, reads, snapshots and repairs.
  cr_assert(acknowledged > 10 && confirmed > 10 && restored > 0);
  if (rates.lose_disk > 0) cr_assert(repairs > 0);
  cr_log_info("acknowledged=%lu confirmed=%lu repairs=%lu restored=%lu",
              static_cast<unsigned long>(acknowledged),
              static_cast<unsigned long>(confirmed),
              static_cast<unsigned long>(repairs),
              static_cast<unsigned long>(restored));
}

// Each test below guards against two leaders in one term, changed committed
// entries, lost acknowledged writes, stale confirmed reads, a state that
// differs from the single-copy model, and members that never recover.

Test(random_faults, network_with_3_members) {
  RunSeeds(10000, 250, 3, kNetworkFaults);
}

Test(random_faults, network_with_5_members) {
  RunSeeds(20000, 150, 5, kNetworkFaults);
}

Test(random_faults, disks_with_3_members) {
  RunSeeds(30000, 250, 3, kDiskFaults);
}

Test(random_faults, disks_with_5_members) {
  RunSeeds(40000, 100, 5, kDiskFaults);
}

// Includes membership changes, lost disks and a second lost disk right after a
// repair.
Test(random_faults, all_with_3_members) { RunSeeds(50000, 250, 3, kAllFaults); }

Test(random_faults, all_with_5_members) { RunSeeds(60000, 150, 5, kAllFaults); }

}  // namespace
}  // namespace cornelhill
