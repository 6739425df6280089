#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/pool.h"

namespace cornelhill {

// The size of a user from section 1.1 of the design, or ten times that size.
// The first service carries streams and tiny work, the second uploads.
struct UserSize {
  std::string name;
  uint32_t scale = 1;
  uint32_t slots = 2;

  uint32_t Upstreams() const { return 7 * this->scale; }
  uint32_t UploadUpstreams() const { return 3 * this->scale; }
};

std::vector<UserSize> UserSizes();

// Load peak of all measurements, modelled on the start of a class or the end of
// a match.
constexpr Millis kPeakStart(20000);
constexpr Millis kPeakEnd(45000);
constexpr Millis kLoadEnd(55000);
// Later than the last answer.
constexpr Millis kMeasureEnd(70000);

struct Load {
  // Streams at the peak, in thousandths of the slots; half of them also run
  // before and after it. Each repeatedly requests chunks that take 2 s of slot
  // time on average.
  uint32_t stream_permille = 1200;
  // Load of tiny work (20 ms on average) at the peak, in thousandths of the
  // slots; 40 % of that before and after.
  uint32_t tiny_permille = 100;
  bool uploads = true;
};

PoolConfig MeasureConfig(const UserSize& size, uint64_t seed, bool naive);

// Adds the flows of a load. Callers of streams also send tiny work, as workers
// answer questions while watching and analysts tag while streaming.
void AddLoad(TestPool& pool, const UserSize& size, const Load& load,
             uint64_t seed);

// Results of one run, in the order of printing.
using Figures = std::vector<std::pair<std::string, double>>;

// Runs `measure` for each user size and seed, prints one line of key=value
// pairs for each run and, for each size, a summary line with the minimum,
// median and maximum of each figure. Reads the flags --seeds and --size.
void RunMeasure(
    const std::string& name,
    const std::function<Figures(const UserSize&, uint64_t seed)>& measure);

// Returns the wait until the last start, in milliseconds, of work sent in
// [from, to). Unanswered work counts as 10 s.
std::vector<double> Waits(const TestPool& pool, bool is_long, Millis from,
                          Millis to);

// Returns the quantile of `values` at `permille` thousandths, or 0 if empty.
double PercentileOf(std::vector<double> values, size_t permille);

}  // namespace cornelhill
