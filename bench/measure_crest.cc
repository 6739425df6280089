// Measures service at the peak of a demand swing, when the streams of a class
// start within 2 s and tiny work grows to 2.5 times: waits and refused work for
// the product and the naive balancer.

#include <absl/flags/parse.h>

#include "tests/support/measure.h"

namespace cornelhill {
namespace {

constexpr Millis kSwing(5000);

Figures RunOne(const UserSize& size, uint64_t seed, bool naive) {
  TestPool pool(MeasureConfig(size, seed, naive));
  AddLoad(pool, size, Load(), seed);
  pool.RunUntil(kMeasureEnd);
  const std::string who = naive ? "naive_" : "product_";
  double failed_tiny = 0;
  double failed_long = 0;
  double long_time = 0;
  for (const WorkRecord& work : pool.Works()) {
    if (work.sent < kPeakStart || work.sent >= kPeakEnd) continue;
    if (work.end == RequestEnd::kAnswered) {
      if (work.is_long) long_time += static_cast<double>(work.service.Count());
    } else {
      ++(work.is_long ? failed_long : failed_tiny);
    }
  }
  const auto swing = Waits(pool, false, kPeakStart, kPeakStart + kSwing);
  const auto peak = Waits(pool, false, kPeakStart, kPeakEnd);
  return {{who + "tiny_wait_p99_swing_ms", PercentileOf(swing, 990)},
          {who + "tiny_wait_p99_peak_ms", PercentileOf(peak, 990)},
          {who + "tiny_not_answered", failed_tiny},
          {who + "long_not_answered", failed_long},
          {who + "long_slot_seconds", long_time / 1000},
          {who + "faults", static_cast<double>(pool.Faults().Total())}};
}

Figures Measure(const UserSize& size, uint64_t seed) {
  Figures figures = RunOne(size, seed, false);
  const Figures naive = RunOne(size, seed, true);
  figures.insert(figures.end(), naive.begin(), naive.end());
  return figures;
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  cornelhill::RunMeasure("crest", cornelhill::Measure);
}
