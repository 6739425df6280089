#include <benchmark/benchmark.h>

#include <cstdint>

#include "cornelhill/route/bucket_table.h"

namespace cornelhill {
namespace {

void AssignBucketsBench(benchmark::State& state) {
  ServiceView view;
  view.id = ServiceId(7);
  view.name = "aula";
  for (int64_t i = 0; i < state.range(0); ++i) {
    UpstreamInfo upstream;
    upstream.instance = InstanceId(static_cast<uint64_t>(i) + 1);
    upstream.slots = 2;
    view.upstreams.push_back(upstream);
  }
  for (auto _ : state) benchmark::DoNotOptimize(AssignBuckets(view));
}
BENCHMARK(AssignBucketsBench)
    ->Arg(3)
    ->Arg(7)
    ->Arg(30)
    ->Arg(300)
    ->Unit(benchmark::kMicrosecond);

void BucketOfBench(benchmark::State& state) {
  FlowKey key{{0x7f000001, 40000}, {0x7f000a01, 7001}, Protocol::kUdp};
  for (auto _ : state) {
    key.caller.port = static_cast<uint16_t>(key.caller.port + 1);
    benchmark::DoNotOptimize(BucketOf(key));
  }
}
BENCHMARK(BucketOfBench);

}  // namespace
}  // namespace cornelhill

BENCHMARK_MAIN();
