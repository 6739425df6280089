#include "tests/support/measure.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <future>
#include <iostream>
#include <sstream>

ABSL_FLAG(uint32_t, seeds, 5, "Seeds to run, from 1.");
ABSL_FLAG(uint32_t, reserve_permille, 0,
          "Share of slots reserved for short work; 0: the default.");
ABSL_FLAG(std::string, size, "", "Runs only the user size of this name.");

namespace cornelhill {

namespace {

constexpr double kUnansweredWaitMs = 10000;
constexpr uint32_t kFirstUploader = 5000;

std::string Number(double value) {
  std::ostringstream out;
  out.precision(6);
  out << value;
  return out.str();
}

void AddStreams(TestPool& pool, const UserSize& size, const Load& load,
                uint64_t seed) {
  Random random(seed * 3 + 1);
  const uint32_t streams =
      size.Upstreams() * size.slots * load.stream_permille / 1000;
  for (uint32_t i = 0; i < streams; ++i) {
    FlowPlan flow;
    flow.caller = i;
    flow.port = 1000;
    flow.is_long = true;
    flow.think = Millis(20);
    // The class starts within 2 s.
    flow.start = Millis(static_cast<int64_t>(random.Below(2000)));
    if (i % 2 == 1) flow.start += kPeakStart;
    double busy = static_cast<double>(flow.start.Count());
    const Millis end = i % 2 == 1 ? kPeakEnd : kLoadEnd;
    while (busy < static_cast<double>(end.Count())) {
      RequestPlan chunk;
      chunk.service =
          Millis(500 + static_cast<int64_t>(random.Exponential(1500)));
      // Stragglers.
      if (random.Chance(0.005)) chunk.service = chunk.service * 5;
      chunk.chunks = 5;
      chunk.chunk_bytes = 1200;
      chunk.repeatable = true;
      flow.requests.push_back(chunk);
      busy += static_cast<double>(chunk.service.Count());
    }
    pool.AddFlow(flow);
  }
}

void AddTinyWork(TestPool& pool, const UserSize& size, const Load& load,
                 uint64_t seed) {
  // A separate generator keeps tiny work independent of the streams.
  Random random(seed * 3 + 2);
  const uint32_t slots = size.Upstreams() * size.slots;
  const uint32_t callers = slots * 2;
  double at = 0;
  uint16_t port = 2000;
  while (at < static_cast<double>(kLoadEnd.Count())) {
    const bool peak = at >= static_cast<double>(kPeakStart.Count()) &&
                      at < static_cast<double>(kPeakEnd.Count());
    const double share = load.tiny_permille / 1000.0 * (peak ? 1 : 0.4);
    at += random.Exponential(20 / share / slots);
    FlowPlan flow;
    flow.start = Millis(static_cast<int64_t>(at));
    flow.caller = static_cast<uint32_t>(random.Below(callers));
    flow.port = port;
    port = port == 65535 ? 2000 : port + 1;
    RequestPlan tiny;
    tiny.service = Millis(1 + static_cast<int64_t>(random.Exponential(19.5)));
    flow.requests.push_back(tiny);
    pool.AddFlow(flow);
  }
}

void AddUploads(TestPool& pool, const UserSize& size, uint64_t seed) {
  Random random(seed * 3 + 3);
  const uint32_t slots = size.UploadUpstreams() * size.slots;
  double at = 0;
  uint16_t port = 1000;
  while (at < static_cast<double>(kLoadEnd.Count())) {
    at += random.Exponential(400 / 0.6 / slots);
    FlowPlan flow;
    flow.start = Millis(static_cast<int64_t>(at));
    flow.caller = kFirstUploader +
                  static_cast<uint32_t>(random.Below(uint64_t{2} * slots));
    flow.port = port++;
    flow.service = 1;
    flow.is_long = true;
    RequestPlan upload;
    upload.service = Millis(50 + static_cast<int64_t>(random.Exponential(350)));
    upload.parts = 10;
    upload.part_bytes = 1200;
    flow.requests.push_back(upload);
    pool.AddFlow(flow);
  }
}

}  // namespace

std::vector<UserSize> UserSizes() {
  return {{"class", 1, 2},
          {"match", 1, 4},
          {"class_x10", 10, 2},
          {"match_x10", 10, 4}};
}

PoolConfig MeasureConfig(const UserSize& size, uint64_t seed, bool naive) {
  PoolConfig config;
  config.seed = seed;
  config.services = {{size.Upstreams(), size.slots},
                     {size.UploadUpstreams(), size.slots}};
  config.faults.jitter = Millis(1);
  config.naive = naive;
  if (const uint32_t reserve = absl::GetFlag(FLAGS_reserve_permille)) {
    config.rules.short_reserve_permille = reserve;
  }
  return config;
}

void AddLoad(TestPool& pool, const UserSize& size, const Load& load,
             uint64_t seed) {
  AddStreams(pool, size, load, seed);
  AddTinyWork(pool, size, load, seed);
  if (load.uploads) AddUploads(pool, size, seed);
}

void RunMeasure(
    const std::string& name,
    const std::function<Figures(const UserSize&, uint64_t seed)>& measure) {
  for (const UserSize& size : UserSizes()) {
    const std::string only = absl::GetFlag(FLAGS_size);
    if (!only.empty() && only != size.name) continue;
    std::vector<std::future<Figures>> runs;
    for (uint64_t seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
      runs.push_back(std::async(std::launch::async, [&measure, &size, seed] {
        return measure(size, seed);
      }));
    }
    Figures order;
    std::map<std::string, std::vector<double>> all;
    for (size_t i = 0; i < runs.size(); ++i) {
      order = runs[i].get();
      std::cout << "measure=" << name << " user=" << size.name
                << " seed=" << i + 1;
      for (const auto& [key, value] : order) {
        std::cout << " " << key << "=" << Number(value);
        all[key].push_back(value);
      }
      std::cout << std::endl;
    }
    std::cout << "measure=" << name << " user=" << size.name
              << " summary=min/median/max seeds=" << runs.size();
    for (const auto& [key, value] : order) {
      std::vector<double>& values = all[key];
      std::sort(values.begin(), values.end());
      std::cout << " " << key << "=" << Number(values.front()) << "/"
                << Number(values[values.size() / 2]) << "/"
                << Number(values.back());
    }
    std::cout << std::endl;
  }
}

std::vector<double> Waits(const TestPool& pool, bool is_long, Millis from,
                          Millis to) {
  std::vector<double> waits;
  for (const WorkRecord& work : pool.Works()) {
    if (work.is_long != is_long || work.sent < from || work.sent >= to)
      continue;
    waits.push_back(
        work.end == RequestEnd::kAnswered
            ? static_cast<double>((work.started - work.sent).Count())
            : kUnansweredWaitMs);
  }
  return waits;
}

double PercentileOf(std::vector<double> values, size_t permille) {
  if (values.empty()) return 0;
  const size_t index =
      std::min(values.size() - 1, values.size() * permille / 1000);
  std::nth_element(values.begin(),
                   values.begin() + static_cast<ptrdiff_t>(index),
                   values.end());
  return values[index];
}

}  // namespace cornelhill
