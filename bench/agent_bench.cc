#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdint>

#include "cornelhill/agent/agent.h"

namespace cornelhill {
namespace {

constexpr Endpoint kService{0x7f000a01, 7001};
constexpr Endpoint kBalancer{0x7f000101, 6000};

Forward PacketOf(uint32_t flow, bool first) {
  Forward forward;
  forward.service = {ServiceId(1), Incarnation(), Revision(1)};
  forward.packet.flow = {
      {0x0a000000U + flow / 50000, static_cast<uint16_t>(flow % 50000)},
      kService,
      Protocol::kUdp};
  forward.packet.nonce = FlowNonce(flow + 1);
  forward.packet.request = RequestNumber(1);
  forward.packet.first = first;
  forward.balancer = kBalancer;
  forward.target_incarnation = Incarnation(1);
  forward.payload = "work";
  return forward;
}

// An agent that is home of all buckets and starts each request immediately.
struct Bench {
  Bench() : agent({InstanceId(1), Incarnation(1), {0x7f000201, 6100}}) {
    ServiceView view;
    view.id = ServiceId(1);
    view.revision = Revision(1);
    view.address = kService;
    UpstreamInfo upstream;
    upstream.instance = InstanceId(1);
    upstream.incarnation = Incarnation(1);
    upstream.slots = 2;
    view.upstreams.push_back(upstream);
    AgentOutput out;
    this->agent.SetView(this->now, view, &out);
    this->agent.SetLease(Millis(1000000000));
  }

  void Open(uint32_t flow) {
    AgentOutput out;
    const Forward forward = PacketOf(flow, true);
    AnswerInfo answer;
    answer.flow = forward.packet.flow;
    answer.nonce = forward.packet.nonce;
    answer.request = forward.packet.request;
    answer.last = true;
    this->agent.OnMessage(this->now, kBalancer, forward, &out);
    this->agent.OnAnswer(this->now, answer, "answer", &out);
    benchmark::DoNotOptimize(out);
  }

  Agent agent;
  Millis now = Millis(1);
};

// Opens a flow and answers its first request; the flow stays open.
void NewFlowBench(benchmark::State& state) {
  Bench bench;
  uint32_t flow = 0;
  for (auto _ : state) bench.Open(flow++);
}
BENCHMARK(NewFlowBench)->Iterations(30000);

// Handles a later packet of one of 30,000 open flows.
void PacketBench(benchmark::State& state) {
  constexpr uint32_t kFlows = 30000;
  Bench bench;
  for (uint32_t flow = 0; flow < kFlows; ++flow) bench.Open(flow);
  uint32_t flow = 0;
  for (auto _ : state) {
    AgentOutput out;
    bench.agent.OnMessage(bench.now, kBalancer, PacketOf(flow, false), &out);
    benchmark::DoNotOptimize(out);
    flow = (flow + 1) % kFlows;
  }
}
BENCHMARK(PacketBench);

// Measures the heap per open flow while its answer is stored, and after the
// resend lifetime.
void MemoryBench(benchmark::State& state) {
  const auto flows = static_cast<uint32_t>(state.range(0));
  for (auto _ : state) {
    Bench bench;
    // Includes large tables, which malloc allocates with mmap.
    const auto used = [] {
      const auto info = mallinfo2();
      return static_cast<double>(info.uordblks + info.hblkhd);
    };
    const double before = used();
    for (uint32_t flow = 0; flow < flows; ++flow) bench.Open(flow);
    state.counters["bytes_answered"] = (used() - before) / flows;
    bench.now += kResendLifetime + Millis(1000);
    AgentOutput out;
    bench.agent.Tick(bench.now, &out);
    state.counters["bytes_idle"] = (used() - before) / flows;
    state.counters["open"] = static_cast<double>(bench.agent.OpenFlows());
  }
}
BENCHMARK(MemoryBench)
    ->Arg(10000)
    ->Arg(30000)
    ->Arg(100000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace cornelhill

BENCHMARK_MAIN();
