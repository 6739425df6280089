// Measures the largest over the mean slot time of the work that each upstream
// started: in steady load and within 5 s of an added and of a drained upstream.

#include <absl/flags/parse.h>

#include <algorithm>
#include <map>

#include "tests/support/measure.h"

namespace cornelhill {
namespace {

constexpr Millis kSteadyStart(5000);
constexpr Millis kAdded(20000);
constexpr Millis kDrained(30000);
constexpr Millis kWindow(5000);

// `first` to `last` are the upstreams that may take new flows, without `out`.
double Imbalance(const TestPool& pool, Millis from, Millis to,
                 const std::vector<uint32_t>& upstreams) {
  std::map<uint32_t, double> accepted;
  for (const uint32_t upstream : upstreams) accepted[upstream] = 0;
  for (const WorkRecord& work : pool.Works()) {
    if (work.runs == 0 || work.started < from || work.started >= to) continue;
    const auto found = accepted.find(work.upstream);
    if (found == accepted.end()) continue;
    found->second += static_cast<double>(work.service.Count());
  }
  double sum = 0;
  double largest = 0;
  for (const auto& [upstream, time] : accepted) {
    sum += time;
    largest = std::max(largest, time);
  }
  return largest * static_cast<double>(accepted.size()) / sum;
}

Figures RunOne(const UserSize& size, uint64_t seed, bool naive) {
  TestPool pool(MeasureConfig(size, seed, naive));
  Load load;
  load.stream_permille = 1000;
  load.uploads = false;
  AddLoad(pool, size, load, seed);
  uint32_t added = 0;
  pool.At(kAdded, [&] { added = pool.AddUpstream(0, size.slots); });
  pool.At(kDrained, [&] { pool.DrainUpstream(0); });
  pool.RunUntil(kMeasureEnd);
  std::vector<uint32_t> upstreams;
  for (uint32_t i = 0; i < size.Upstreams(); ++i) upstreams.push_back(i);
  const std::string who = naive ? "naive_" : "product_";
  Figures figures;
  figures.emplace_back(who + "steady",
                       Imbalance(pool, kSteadyStart, kAdded, upstreams));
  upstreams.push_back(added);
  figures.emplace_back(who + "after_add",
                       Imbalance(pool, kAdded, kAdded + kWindow, upstreams));
  upstreams.erase(upstreams.begin());
  figures.emplace_back(
      who + "after_drain",
      Imbalance(pool, kDrained, kDrained + kWindow, upstreams));
  return figures;
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
  cornelhill::RunMeasure("imbalance", cornelhill::Measure);
}
