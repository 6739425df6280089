#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

#include "cornelhill/route/balancer.h"

namespace {
std::atomic<uint64_t> allocations{0};
}  // namespace

// Counts allocations; routing a packet of a known flow must make none. Not
// inlined, since g++ 12 otherwise reports a false mismatch of new and free.
[[gnu::noinline]] void* operator new(size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, size_t) noexcept {
  std::free(memory);
}

namespace cornelhill {
namespace {

constexpr Endpoint kService{0x7f000a01, 7001};
constexpr uint16_t kFlows = 10000;

FlowKey KeyOf(uint16_t flow) {
  return {{0x0a000001, flow}, kService, Protocol::kUdp};
}

ServiceView ViewOf(int64_t upstreams) {
  ServiceView view;
  view.id = ServiceId(1);
  view.revision = Revision(1);
  view.address = kService;
  for (int64_t i = 0; i < upstreams; ++i) {
    UpstreamInfo upstream;
    upstream.instance = InstanceId(100 + static_cast<uint64_t>(i));
    upstream.agent = {0x7f020000U + static_cast<uint32_t>(i), 6100};
    view.upstreams.push_back(upstream);
  }
  return view;
}

void RouteBench(benchmark::State& state, bool known) {
  Balancer balancer(size_t{1} << 16);
  const ServiceView view = ViewOf(state.range(0));
  balancer.SetView(view);
  for (uint16_t i = 0; known && i < kFlows; ++i) {
    const UpstreamInfo& owner = view.upstreams[i % view.upstreams.size()];
    balancer.OnOwnerHint(
        {KeyOf(i), FlowNonce(1), view.id, owner.instance, owner.agent});
  }
  uint16_t flow = 0;
  const uint64_t before = allocations;
  for (auto _ : state) {
    RouteDrop reason = RouteDrop::kUnknownService;
    benchmark::DoNotOptimize(balancer.Route(KeyOf(flow), &reason));
    flow = static_cast<uint16_t>((flow + 1) % kFlows);
  }
  state.counters["allocations"] = static_cast<double>(allocations - before);
  state.counters["bytes_per_flow"] = FlowCache::kBytesPerFlow;
}
BENCHMARK_CAPTURE(RouteBench, known_flow, true)->Arg(7)->Arg(70)->Arg(700);
BENCHMARK_CAPTURE(RouteBench, new_flow, false)->Arg(7)->Arg(70)->Arg(700);

}  // namespace
}  // namespace cornelhill

BENCHMARK_MAIN();
