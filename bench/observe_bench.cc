#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhill/observe/event_ring.h"
#include "cornelhill/observe/hybrid_clock.h"
#include "cornelhill/observe/metrics.h"
#include "cornelhill/observe/timeline.h"
#include "cornelhill/observe/timeline_codec.h"

namespace cornelhill {
namespace {

constexpr Millis kNow(1'796'367'720'000);

Event MakeEvent(int64_t index) {
  Event event;
  event.time = {kNow + Millis(index / 4), static_cast<uint16_t>(index % 4)};
  event.kind = EventKind::kRequestDispatched;
  event.flow = {{0x0a000005, static_cast<uint16_t>(index)},
                {0x0a00ff01, 443},
                Protocol::kTcp};
  event.nonce = FlowNonce(77);
  event.service = ServiceId(7);
  event.upstream = InstanceId(9);
  event.revision = Revision(190000);
  event.detail.Add("wait_ms", 12).Add("ahead", 3);
  return event;
}

EventReply MakeReply(const std::string& process, int64_t events) {
  EventRing ring(process, static_cast<size_t>(events), 1);
  for (int64_t i = 0; i < events; ++i) ring.Record(MakeEvent(i));
  return Answer({}, ring);
}

void ClockTick(benchmark::State& state) {
  static HybridClock clock;
  for (auto _ : state) benchmark::DoNotOptimize(clock.Tick(kNow));
}
BENCHMARK(ClockTick)->Threads(1)->Threads(4)->UseRealTime();

void ClockMerge(benchmark::State& state) {
  HybridClock clock;
  for (auto _ : state) {
    benchmark::DoNotOptimize(clock.Merge({kNow, 3}, kNow));
  }
}
BENCHMARK(ClockMerge);

void RingRecord(benchmark::State& state) {
  static EventRing ring("agent-1");
  const Event event = MakeEvent(1);
  for (auto _ : state) ring.Record(event);
}
BENCHMARK(RingRecord)->Threads(1)->Threads(4)->UseRealTime();

void MakeEventWithDetail(benchmark::State& state) {
  int64_t index = 0;
  for (auto _ : state) benchmark::DoNotOptimize(MakeEvent(++index));
}
BENCHMARK(MakeEventWithDetail);

// A full ring, of which the filter selects one event.
void RingReadFiltered(benchmark::State& state) {
  EventRing ring("agent-1");
  for (int64_t i = 0; i < 16384; ++i) ring.Record(MakeEvent(i));
  EventFilter filter;
  filter.flow = MakeEvent(77).flow;
  for (auto _ : state) benchmark::DoNotOptimize(ring.Read(filter, 1000));
}
BENCHMARK(RingReadFiltered)->Unit(benchmark::kMicrosecond);

void ReplyEncode(benchmark::State& state) {
  const TimelineMessage message{{kNow, 0},
                                MakeReply("agent-1", state.range(0))};
  size_t size = 0;
  for (auto _ : state) {
    const std::string bytes = Encode(message);
    size = bytes.size();
    benchmark::DoNotOptimize(bytes.data());
  }
  state.counters["wire_bytes"] = static_cast<double>(size);
}
BENCHMARK(ReplyEncode)->Arg(100)->Arg(10000)->Unit(benchmark::kMicrosecond);

void ReplyDecode(benchmark::State& state) {
  const std::string bytes =
      Encode(TimelineMessage{{kNow, 0}, MakeReply("agent-1", state.range(0))});
  for (auto _ : state) benchmark::DoNotOptimize(DecodeTimelineMessage(bytes));
}
BENCHMARK(ReplyDecode)->Arg(100)->Arg(10000)->Unit(benchmark::kMicrosecond);

// Replies of 1,000 events each.
std::vector<EventReply> MakeReplies(int64_t processes) {
  std::vector<EventReply> replies;
  for (int64_t i = 0; i < processes; ++i) {
    replies.push_back(MakeReply("agent-" + std::to_string(i), 1000));
  }
  return replies;
}

void Merge(benchmark::State& state) {
  const std::vector<EventReply> replies = MakeReplies(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(MergeTimeline({}, {}, replies));
  }
}
BENCHMARK(Merge)->Arg(3)->Arg(30)->Unit(benchmark::kMicrosecond);

void Html(benchmark::State& state) {
  const Timeline timeline = MergeTimeline({}, {}, MakeReplies(3));
  size_t size = 0;
  for (auto _ : state) size = RenderHtml(timeline).size();
  state.counters["page_bytes"] = static_cast<double>(size);
}
BENCHMARK(Html)->Unit(benchmark::kMicrosecond);

void MetricsCounter(benchmark::State& state) {
  static Metrics metrics;
  static ServiceMetrics& service = metrics.OfService("aula");
  for (auto _ : state) service.PacketReceived();
}
BENCHMARK(MetricsCounter)->Threads(1)->Threads(4)->UseRealTime();

void MetricsWait(benchmark::State& state) {
  static Metrics metrics;
  static ServiceMetrics& service = metrics.OfService("aula");
  for (auto _ : state) service.RequestWaited(WorkClass::kShort, Millis(12));
}
BENCHMARK(MetricsWait)->Threads(1)->Threads(4)->UseRealTime();

void MetricsOfService(benchmark::State& state) {
  Metrics metrics;
  for (auto _ : state) benchmark::DoNotOptimize(&metrics.OfService("aula"));
}
BENCHMARK(MetricsOfService);

// One scrape of a process with that many services.
void MetricsText(benchmark::State& state) {
  Metrics metrics;
  for (int64_t i = 0; i < state.range(0); ++i) {
    metrics.OfService("service-" + std::to_string(i));
  }
  size_t size = 0;
  for (auto _ : state) size = metrics.Text().size();
  state.counters["text_bytes"] = static_cast<double>(size);
}
BENCHMARK(MetricsText)->Arg(2)->Arg(256)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace cornelhill

BENCHMARK_MAIN();
