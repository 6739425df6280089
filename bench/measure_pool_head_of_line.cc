// Measures how long tiny work waits behind streams in a pool at the peak: for
// the product, for the product without streams and for the naive balancer.

#include <absl/flags/parse.h>

#include "tests/support/measure.h"

namespace cornelhill {
namespace {

struct Run {
  double tiny_p50 = 0;
  double tiny_p99 = 0;
  double unanswered = 0;
  double long_time = 0;  // Slot time of answered streams.
  double faults = 0;
};

Run RunOne(const UserSize& size, uint64_t seed, bool naive, bool streams) {
  TestPool pool(MeasureConfig(size, seed, naive));
  Load load;
  load.uploads = false;
  if (!streams) load.stream_permille = 0;
  AddLoad(pool, size, load, seed);
  pool.RunUntil(kMeasureEnd);
  Run run;
  const std::vector<double> waits = Waits(pool, false, kPeakStart, kPeakEnd);
  run.tiny_p50 = PercentileOf(waits, 500);
  run.tiny_p99 = PercentileOf(waits, 990);
  for (const WorkRecord& work : pool.Works()) {
    const bool answered = work.end == RequestEnd::kAnswered;
    if (!work.is_long && !answered) ++run.unanswered;
    if (work.is_long && answered && work.ended >= kPeakStart &&
        work.ended < kPeakEnd) {
      run.long_time += static_cast<double>(work.service.Count());
    }
  }
  run.faults = static_cast<double>(pool.Faults().Total());
  return run;
}

Figures Measure(const UserSize& size, uint64_t seed) {
  const Run product = RunOne(size, seed, false, true);
  const Run alone = RunOne(size, seed, false, false);
  const Run naive = RunOne(size, seed, true, true);
  return {{"product_wait_p99_ms", product.tiny_p99},
          {"no_long_wait_p99_ms", alone.tiny_p99},
          {"naive_wait_p99_ms", naive.tiny_p99},
          {"product_wait_p50_ms", product.tiny_p50},
          {"no_long_wait_p50_ms", alone.tiny_p50},
          {"ratio_to_no_long", product.tiny_p99 / alone.tiny_p99},
          {"naive_to_product", naive.tiny_p99 / product.tiny_p99},
          {"long_throughput_of_naive", product.long_time / naive.long_time},
          {"product_unanswered", product.unanswered},
          {"naive_unanswered", naive.unanswered},
          {"product_faults", product.faults}};
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  cornelhill::RunMeasure("pool_head_of_line", cornelhill::Measure);
}
