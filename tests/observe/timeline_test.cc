#include "cornelhill/observe/timeline.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <vector>

#include "cornelhill/base/random.h"

namespace cornelhill {
namespace {

constexpr Millis kNow(1'796'367'720'000);
constexpr FlowKey kFlow{{0x0a000005, 40001}, {0x0a00ff01, 443}, Protocol::kTcp};

Event Sample(HybridTime time, EventKind kind = EventKind::kFlowAccepted) {
  Event event;
  event.time = time;
  event.kind = kind;
  event.flow = kFlow;
  event.nonce = FlowNonce(0xfedcba9876543210);
  event.service = ServiceId(7);
  event.upstream = InstanceId(9);
  event.revision = Revision(19);
  event.detail.Add("reason", Reason::kOverload).Add("hops", 2);
  return event;
}

// Guards against an effect that is listed before its cause when clocks differ
// or go backwards.
Test(hybrid_clock, orders_a_receipt_after_its_sending) {
  HybridClock ahead;
  HybridClock behind;
  const HybridTime sent = ahead.Tick(kNow + Millis(400));
  const HybridTime before = behind.Tick(kNow);
  const HybridTime received = behind.Merge(sent, kNow).value();
  cr_assert(received > sent && received > before);
  cr_assert(behind.Tick(kNow - Millis(5000)) > received);
  cr_assert(behind.Tick(kNow + Millis(401)).wall == kNow + Millis(401));
}

// Guards against one instance with a wrong clock moving the clocks of all, and
// against a counter that wraps and runs backwards.
Test(hybrid_clock, drift_and_counter_are_bounded) {
  HybridClock clock;
  const HybridTime before = clock.Tick(kNow);
  cr_assert(clock.Merge({kNow + Millis(501), 0}, kNow).has_error());
  cr_assert(clock.Tick(kNow) == HybridTime({kNow, 1}));
  HybridTime last = before;
  for (int i = 0; i < 70000; ++i) {
    const HybridTime next = clock.Tick(kNow);
    cr_assert(next > last);
    cr_assert(Pack(next) > Pack(last));
    cr_assert(UnpackHybridTime(Pack(next)) == next);
    last = next;
  }
}

// Guards against a ring that grows, loses the latest events, and against
// concurrent writers that lose, repeat or mix events.
Test(event_ring, keeps_the_latest_events_of_all_threads) {
  EventRing ring("agent-1", 64, 4);
  for (int i = 0; i < 100; ++i) ring.Record(Sample({kNow + Millis(i), 0}));
  EventPage page = ring.Read({}, 1000);
  cr_assert_eq(page.events.size(), 64);
  cr_assert_eq(page.overwritten, 36);
  cr_assert(page.oldest.wall == kNow + Millis(36));
  cr_assert(page.events.back().time.wall == kNow + Millis(99));
  cr_assert_eq(page.events.back().process, "agent-1");
  page = ring.Read({.from = kNow + Millis(90)}, 3);
  cr_assert(page.truncated);
  cr_assert(page.events.front().time.wall == kNow + Millis(97));

  EventRing shared("agent-2", 8000, 8);
  EventRing small("agent-3", 4, 1);
  std::atomic<bool> done = false;
  std::vector<std::thread> writers;
  for (uint64_t writer = 0; writer < 4; ++writer) {
    writers.emplace_back([&, writer] {
      for (int i = 0; i < 2000; ++i) shared.Record(Sample({kNow, 0}));
      Event event = Sample({kNow, 0});
      event.nonce = FlowNonce(writer);
      event.revision = Revision(writer);
      while (!done) small.Record(event);
    });
  }
  int torn = 0;
  for (int round = 0; round < 20000; ++round) {
    for (const Event& event : small.Read({}, 4).events) {
      if (event.nonce.Value() != event.revision.Value()) ++torn;
    }
  }
  done = true;
  for (std::thread& writer : writers) writer.join();
  cr_assert_eq(torn, 0, "%d events mix two records", torn);
  page = shared.Read({}, 10000);
  cr_assert_eq(page.events.size(), 8000);
  for (size_t i = 0; i < 8000; ++i) {
    cr_assert_eq(page.events[i].sequence, i + 1);
  }
}

// Guards against a detail that overruns its buffer.
Test(event_detail, is_cut_off_at_its_limit) {
  EventDetail detail;
  for (int i = 0; i < 20; ++i) detail.Add("counter", INT64_MIN);
  cr_assert_eq(detail.Text().size(), EventDetail::kMaxBytes);
  cr_assert(EventDetail::FromWire(detail.Text()) == detail);
  cr_assert_not(EventDetail::FromWire(std::string(80, 'x')).has_value());
  cr_assert_not(EventDetail::FromWire("\x1b[2J").has_value());
}

TimelineMessage SampleReply() {
  EventReply reply{5, "agent-1", {}};
  reply.page.events = {Sample({kNow, 1}), Sample({kNow, 2})};
  for (Event& event : reply.page.events) event.process = "agent-1";
  reply.page.events[1].flow = FlowKey();
  reply.page.overwritten = 4;
  reply.page.oldest = {kNow, 1};
  reply.page.truncated = true;
  return {{kNow, 3}, reply};
}

// Guards against a field that is encoded but not decoded, and a filter of zero
// that reads back as "all".
Test(timeline_codec, messages_read_back) {
  EventQuery query{5, {}, 100};
  const TimelineMessage all{{kNow, 3}, query};
  query.filter = {kFlow,       ServiceId(0), InstanceId(0),
                  Revision(0), Millis(0),    kNow};
  const TimelineMessage filtered{{kNow, 3}, query};
  for (const TimelineMessage& message : {all, filtered, SampleReply()}) {
    const Result<TimelineMessage> read = DecodeTimelineMessage(Encode(message));
    cr_assert(read.has_value());
    cr_assert(read.value() == message);
  }
}

// Guards against a full reply that its receiver refuses as too large.
Test(timeline_codec, a_full_reply_is_within_the_limits) {
  EventReply reply{5, std::string(kMaxProcessNameBytes, 'x'), {}};
  Event event = Sample({kNow, 1});
  event.sequence = UINT64_MAX;
  event.service = ServiceId(UINT32_MAX);
  event.upstream = InstanceId(UINT64_MAX);
  event.revision = Revision(UINT64_MAX);
  event.detail = *EventDetail::FromWire(std::string(79, 'x'));
  reply.page.events.assign(kMaxTimelineEvents + 1, event);
  const auto read = DecodeTimelineMessage(Encode(TimelineMessage{{}, reply}));
  cr_assert(read.has_value());
  const auto& page = std::get<EventReply>(read.value().body).page;
  cr_assert_eq(page.events.size(), kMaxTimelineEvents);
  cr_assert(page.truncated);
  const auto large =
      DecodeTimelineMessage(std::string(kMaxTimelineBytes + 1, 'x'));
  cr_assert(large.error().code == ErrorCode::kTooLarge);
  cr_assert(DecodeTimelineMessage("").error().code ==
            ErrorCode::kUnsupportedVersion);
}

// Guards against a crash or an over-read on hostile input, in the decoder and
// in what renders its result. Run under the sanitizers in CI.
Test(timeline_codec, survives_random_and_mutated_bytes) {
  constexpr uint64_t kSeed = 20261204;
  cr_log_info("seed %llu", static_cast<unsigned long long>(kSeed));
  Random random(kSeed);
  const std::string valid = Encode(SampleReply());
  int decoded = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = valid;
    if (round % 4 == 0) {
      bytes.resize(random.Below(200));
      for (char& c : bytes) c = static_cast<char>(random.Next());
    } else {
      const uint64_t changes = 1 + random.Below(4);
      for (uint64_t i = 0; i < changes; ++i) {
        bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
      }
    }
    const auto read = DecodeTimelineMessage(bytes);
    if (read.has_error()) continue;
    const auto* reply = std::get_if<EventReply>(&read.value().body);
    if (reply == nullptr) continue;
    ++decoded;
    const Timeline timeline = MergeTimeline({}, {}, {*reply});
    (void)RenderText(timeline);
    (void)RenderJson(timeline);
    (void)RenderHtml(timeline);
  }
  cr_assert_gt(decoded, 1000);
}

// Three processes; "agent-2" answers twice and "control-1" not at all.
Timeline SampleTimeline(const EventFilter& filter) {
  EventRing balancer("balancer-1");
  EventRing agent("agent-2");
  balancer.Record(Sample({kNow, 0}, EventKind::kPacketDropped));
  balancer.Record(Sample({kNow + Millis(3), 1}, EventKind::kFlowClosed));
  agent.Record(Sample({kNow + Millis(3), 0}, EventKind::kRequestFinished));
  agent.Record(Sample({kNow + Millis(1), 0}, EventKind::kFlowAccepted));
  Event other = Sample({kNow + Millis(2), 0}, EventKind::kRevisionApplied);
  other.flow = FlowKey();
  other.service = ServiceId(8);
  other.revision = Revision(20);
  other.upstream = InstanceId(3);
  agent.Record(other);
  const EventQuery query{1, filter};
  return MergeTimeline(
      filter, {"balancer-1", "agent-2", "control-1"},
      {Answer(query, agent), Answer(query, balancer), Answer(query, agent)});
}

// Guards against events out of causal order, shown twice, or of another flow,
// service, upstream, revision or time, and against a silent gap.
Test(timeline, merges_filters_and_names_what_is_missing) {
  const Timeline timeline = SampleTimeline({});
  std::string order;
  for (const Event& event : timeline.events) {
    order += std::string(InfoOf(event.kind).name) + " ";
  }
  cr_assert_str_eq(order.c_str(),
                   "packet_dropped flow_accepted revision_applied "
                   "request_finished flow_closed ");
  cr_assert(timeline.unanswered == std::vector<std::string>{"control-1"});
  cr_assert(timeline.incomplete.empty());
  cr_assert_eq(timeline.processes.size(), 3);
  const auto count = [](const EventFilter& filter) {
    return SampleTimeline(filter).events.size();
  };
  cr_assert_eq(count({.flow = kFlow}), 4);
  cr_assert_eq(count({.service = ServiceId(8)}), 1);
  cr_assert_eq(count({.upstream = InstanceId(9)}), 4);
  cr_assert_eq(count({.revision = Revision(20)}), 1);
  cr_assert_eq(count({.from = kNow + Millis(1), .to = kNow + Millis(2)}), 2);

  // A process that ignores the filter.
  EventRing unfiltered("agent-4");
  unfiltered.Record(Sample({kNow, 0}));
  cr_assert(
      MergeTimeline({.service = ServiceId(8)}, {}, {Answer({}, unfiltered)})
          .events.empty());

  EventRing small("agent-3", 2, 1);
  for (int i = 0; i < 3; ++i) small.Record(Sample({kNow + Millis(i), 0}));
  const auto incomplete = [&](const EventFilter& filter) {
    return MergeTimeline(filter, {}, {Answer({1, filter}, small)})
        .incomplete.size();
  };
  cr_assert_eq(incomplete({}), 1);
  cr_assert_eq(incomplete({.from = kNow + Millis(2)}), 0);
}

// Guards against a rendering that leaves out an event or a missing process,
// JSON that does not conform to its schema, and a page that a process name can
// break.
Test(timeline, renders_text_json_and_html) {
  Timeline timeline = SampleTimeline({});
  const std::string text = RenderText(timeline);
  cr_assert_eq(std::count(text.begin(), text.end(), '\n'), 6);
  cr_assert(text.find("no answer from: control-1") != std::string::npos);
  cr_assert(text.find("flow=tcp/10.0.0.5:40001>10.0.255.1:443") !=
            std::string::npos);

  const auto document = nlohmann::json::parse(RenderJson(timeline));
  std::ifstream file("docs/timeline.schema.json");
  const auto schema_json = nlohmann::json::parse(file);
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(
      valijson::adapters::NlohmannJsonAdapter(schema_json), schema);
  cr_assert(valijson::Validator().validate(
      schema, valijson::adapters::NlohmannJsonAdapter(document), nullptr));
  cr_assert_eq(document["events"].size(), 5);
  cr_assert_eq(document["events"][0]["nonce"], "18364758544493064720");

  EventReply hostile{1, "<script>", {}};
  hostile.page.events = {Sample({kNow, 0})};
  const std::string html = RenderHtml(MergeTimeline({}, {"a&b"}, {hostile}));
  cr_assert(html.find("<script") == std::string::npos);
  cr_assert(html.find("a&amp;b") != std::string::npos);
  cr_assert(html.find("flow_accepted") != std::string::npos);
}

}  // namespace
}  // namespace cornelhill
