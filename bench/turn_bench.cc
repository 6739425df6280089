#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

#include "tests/turn/scheduler_simulation.h"

namespace {

size_t allocated_bytes = 0;

}  // namespace

// Counts allocated bytes for the memory measurements. Not inlined: GCC 12
// otherwise warns of a mismatched allocation function.
[[gnu::noinline]] void* operator new(size_t size) {
  allocated_bytes += size;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, size_t) noexcept {
  std::free(memory);
}

namespace cornelhill {
namespace {

SchedulerRequest RequestOf(uint32_t caller, uint32_t number) {
  SchedulerRequest request;
  request.key = KeyOf(caller, caller, number);
  request.caller = CallerId(caller);
  request.hint = WorkClass::kShort;
  return request;
}

SchedulerConfig BigConfig() {
  SchedulerConfig config;
  config.slots = 4;
  config.rules.max_queued = 1'000'000;
  config.rules.max_queued_per_caller = 1'000'000;
  return config;
}

// Measures one decision (start, finish, enqueue) with the given number of
// queued requests of 100 callers.
void Decide(benchmark::State& state) {
  RequestScheduler scheduler(BigConfig());
  uint32_t number = 0;
  for (; number < state.range(0); ++number) {
    scheduler.Enqueue(Millis(0), RequestOf(number % 100, number));
  }
  Millis now;
  for (auto _ : state) {
    now += Millis(1);
    const auto key = scheduler.StartNext(now);
    scheduler.Finish(now, *key);
    scheduler.Enqueue(now, RequestOf(number % 100, number));
    ++number;
  }
}
BENCHMARK(Decide)->Arg(10)->Arg(100)->Arg(1000)->Arg(10'000)->Arg(100'000);

// As `Decide`, with one queued request per caller.
void DecideAmongManyCallers(benchmark::State& state) {
  RequestScheduler scheduler(BigConfig());
  const auto callers = static_cast<uint32_t>(state.range(0));
  for (uint32_t caller = 0; caller < callers; ++caller) {
    scheduler.Enqueue(Millis(0), RequestOf(caller, 0));
  }
  Millis now;
  uint32_t number = 0;
  for (auto _ : state) {
    now += Millis(1);
    const auto key = scheduler.StartNext(now);
    scheduler.Finish(now, *key);
    scheduler.Enqueue(now, RequestOf(number % callers, 1 + number));
    ++number;
  }
}
BENCHMARK(DecideAmongManyCallers)->Arg(10)->Arg(1000)->Arg(100'000);

// Bytes allocated per queued request with a deadline, excluding the caller.
void MeasureQueuedBytes(benchmark::State& state) {
  for (auto _ : state) {
    RequestScheduler scheduler(BigConfig());
    scheduler.Enqueue(Millis(0), RequestOf(0, 0));
    const size_t before = allocated_bytes;
    for (uint32_t number = 1; number <= 10'000; ++number) {
      SchedulerRequest request = RequestOf(0, number);
      request.deadline = Millis(1'000'000);
      scheduler.Enqueue(Millis(0), request);
    }
    state.counters["bytes_per_request"] =
        static_cast<double>(allocated_bytes - before) / 10'000;
  }
}
BENCHMARK(MeasureQueuedBytes)->Iterations(1);

// Bytes allocated per idle caller and per flow in the history.
void MeasureRememberedBytes(benchmark::State& state) {
  for (auto _ : state) {
    ClassHistory history;
    const size_t before = allocated_bytes;
    for (uint32_t caller = 1; caller <= kMaxIdleCallers; ++caller) {
      history.Acquire(CallerId(caller));
      history.Release(CallerId(caller));
    }
    const size_t callers = allocated_bytes;
    for (uint32_t flow = 1; flow <= kMaxFlows; ++flow) {
      history.RecordClass(KeyOf(1, flow, 1), CallerId(1), WorkClass::kShort);
    }
    state.counters["bytes_per_caller"] =
        static_cast<double>(callers - before) / kMaxIdleCallers;
    state.counters["bytes_per_flow"] =
        static_cast<double>(allocated_bytes - callers) / kMaxFlows;
  }
}
BENCHMARK(MeasureRememberedBytes)->Iterations(1);

}  // namespace
}  // namespace cornelhill

BENCHMARK_MAIN();
