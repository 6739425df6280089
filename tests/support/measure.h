#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/pool.h"

namespace cornelhill {

// A user of section 1.1 of the design, or one of ten times the size. The first
// service carries streams and tiny work, the second uploads.
struct UserSize {
  std::string name;
  uint32_t scale = 1;
  uint32_t slots = 2;

  uint32_t Upstreams() const { return 7 * this->scale; }
  uint32_t UploadUpstreams() const { return 3 * this->scale; }
};

std::vector<UserSize> UserSizes();

// The demand swing of all measurements: at the peak a class starts or a match
// ends.
constexpr Millis kPeakStart(20000);
constexpr Millis kPeakEnd(45000);
constexpr Millis kLoadEnd(55000);
// Later than the last answer.
constexpr Millis kMeasureEnd(70000);

struct Load {
  // Streams at the peak, in thousandths of the slots; each asks for chunks of
  // 2 s of slot time on average, again and again. Half of them before it.
  uint32_t stream_permille = 1200;
  // Load of tiny work of 20 ms on average at the peak, in thousandths of the
  // slots; 40 % of it before and after.
  uint32_t tiny_permille = 100;
  bool uploads = true;
};

PoolConfig MeasureConfig(const UserSize& size, uint64_t seed, bool naive);

// Adds the flows. Callers of streams also send tiny work: workers answer while
// they watch, and analysts tag while they stream.
void AddLoad(TestPool& pool, const UserSize& size, const Load& load,
             uint64_t seed);

// Figures of one run, in the order they are printed.
using Figures = std::vector<std::pair<std::string, double>>;

// Runs `measure` for each user size and seed, prints one line of key=value
// pairs for each run and, for each size, a summary line with the least, median
// and largest value of each figure. Reads the flags --seeds and --size.
void RunMeasure(
    const std::string& name,
    const std::function<Figures(const UserSize&, uint64_t seed)>& measure);

// Wait until its last start of work that was sent in [from, to); work that was
// not answered counts with 10 s. In milliseconds.
std::vector<double> Waits(const TestPool& pool, bool is_long, Millis from,
                          Millis to);

// Returns the value at or above `permille` of all values, 0 for none.
double PercentileOf(std::vector<double> values, size_t permille);

}  // namespace cornelhill
