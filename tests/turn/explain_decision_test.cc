#include "cornelhill/turn/explain_decision.h"

#include <criterion/criterion.h>

#include "tests/turn/scheduler_simulation.h"

namespace cornelhill {
namespace {

SchedulerRequest RequestOf(uint32_t caller, uint32_t number,
                           std::optional<WorkClass> hint) {
  SchedulerRequest request;
  request.key = KeyOf(caller, caller, number);
  request.caller = CallerId(caller);
  request.hint = hint;
  return request;
}

// Queues `first` and `second` while `running` holds a slot and returns the
// explanation of the one that starts last.
std::string ExplainLast(SchedulerConfig config, const SchedulerRequest& running,
                        const SchedulerRequest& first,
                        const SchedulerRequest& second) {
  config.revision = Revision(17);
  RequestScheduler scheduler(config);
  scheduler.Enqueue(Millis(0), running);
  scheduler.StartNext(Millis(0));
  scheduler.Enqueue(Millis(1), first);
  scheduler.Enqueue(Millis(2), second);
  Millis now(10);
  std::optional<RequestKey> last;
  scheduler.StartNext(now);
  scheduler.Finish(now, running.key);
  while (scheduler.QueuedCount() > 0) {
    if (const auto key = scheduler.StartNext(now)) last = key;
    now += Millis(10);
    scheduler.Finish(now, first.key);
    scheduler.Finish(now, second.key);
  }
  return ExplainDecision(*scheduler.Starts().Find(*last));
}

void ExpectText(const std::string& text, const std::string& part) {
  cr_expect(text.find(part) != std::string::npos, "'%s' is not in: %s",
            part.c_str(), text.c_str());
}

constexpr auto kShort = WorkClass::kShort;
constexpr auto kLong = WorkClass::kLong;
constexpr auto kStraggler = WorkClass::kStraggler;

// Guards against an explanation that names a rule other than the one applied.
// In each case only one rule can apply.
Test(explain_decision, names_the_rule_that_decided) {
  SchedulerConfig config;
  const SchedulerRequest running = RequestOf(1, 0, kShort);
  std::string text = ExplainLast(config, running, RequestOf(2, 7, kShort),
                                 RequestOf(2, 8, kShort));
  ExpectText(text, "Request 8 of flow udp/127.0.0.2:3>127.1.0.1:80");
  ExpectText(text,
             "Request 7 of the same caller went ahead because it arrived "
             "earlier.");
  ExpectText(text, "configuration revision 17.");
  ExpectText(text, "When it arrived, 1 of 1 slots were busy");

  text = ExplainLast(config, running, RequestOf(1, 1, kShort),
                     RequestOf(2, 0, kShort));
  ExpectText(text, "started after waiting 19 ms");
  ExpectText(text, "had used less of its fair share");

  text = ExplainLast(config, running, RequestOf(2, 0, kLong),
                     RequestOf(3, 0, kShort));
  ExpectText(text, "It counted as long work.");
  ExpectText(text, "because short work goes before long work");

  // One straggler may run; the long request starts before the second one.
  config.slots = 2;
  text = ExplainLast(config, RequestOf(1, 0, kStraggler),
                     RequestOf(2, 0, kStraggler), RequestOf(3, 0, kLong));
  ExpectText(text, "very long work already held all the slots");

  config.reserved_slots = 1;
  text = ExplainLast(config, RequestOf(1, 0, kLong), RequestOf(2, 0, kLong),
                     RequestOf(3, 0, kShort));
  ExpectText(text, "the free slot was one kept for short work");
  ExpectText(text, "1 slot may not be held by long work");

  text = ExplainLast(config, RequestOf(1, 0, kLong),
                     RequestOf(2, 0, std::nullopt), RequestOf(3, 0, kShort));
  ExpectText(text, "of a caller without history");
  ExpectText(text, "the free slot was one kept for short work");
}

// Guards against a guaranteed share of long work that is applied but missing
// from the explanation.
Test(explain_decision, names_the_guaranteed_minimum) {
  RequestScheduler scheduler(SchedulerConfig{});
  for (uint32_t i = 0; i < 3; ++i) {
    scheduler.Enqueue(Millis(0), RequestOf(1, i, kShort));
  }
  scheduler.Enqueue(Millis(0), RequestOf(2, 0, kLong));
  Millis now;
  while (const auto key = scheduler.StartNext(now)) {
    now += Millis(10);
    scheduler.Finish(now, *key);
  }
  ExpectText(ExplainDecision(*scheduler.Starts().At(1)),
             "long work was below its guaranteed share");
  ExpectText(ExplainDecision(*scheduler.Starts().At(2)),
             "went ahead because long work is guaranteed a minimum share");
}

// Guards against an explanation of a refusal that omits its cause.
Test(explain_decision, names_the_limit_that_refused) {
  SchedulerConfig config;
  config.rules.max_queued_per_caller = 1;
  RequestScheduler scheduler(config);
  scheduler.Enqueue(Millis(0), RequestOf(1, 0, kShort));
  const auto refusal = scheduler.Enqueue(Millis(0), RequestOf(1, 1, kShort));
  const std::string text = ExplainDecision(*scheduler.Refusals().At(0));
  ExpectText(text,
             "refused on arrival because its caller had reached the "
             "limit for one caller. It was not run.");
  ExpectText(text, "try again after " +
                       std::to_string(refusal->retry_after.Count()) + " ms.");
  scheduler.Shed(Millis(2000));
  ExpectText(ExplainDecision(*scheduler.Refusals().At(1)),
             "taken out of the queue after 2000 ms");
}

}  // namespace
}  // namespace cornelhill
