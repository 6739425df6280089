#include "cornelhill/turn/request_scheduler.h"

#include <criterion/criterion.h>

#include "tests/turn/scheduler_simulation.h"

namespace cornelhill {
namespace {

SchedulerRequest RequestOf(uint32_t caller, uint32_t number) {
  SchedulerRequest request;
  request.key = KeyOf(caller, caller, number);
  request.caller = CallerId(caller);
  return request;
}

SchedulerRequest Hinted(uint32_t caller, uint32_t number,
                        WorkClass work_class) {
  SchedulerRequest request = RequestOf(caller, number);
  request.hint = work_class;
  return request;
}

SchedulerConfig ConfigOf(uint32_t slots, uint32_t reserved) {
  SchedulerConfig config;
  config.slots = slots;
  config.reserved_slots = reserved;
  return config;
}

// Runs one request to completion, so that its caller has a history.
void RunOne(RequestScheduler& scheduler, Millis* now,
            const SchedulerRequest& request, Millis service) {
  cr_assert(!scheduler.Enqueue(*now, request).has_value());
  cr_assert(scheduler.StartNext(*now) == request.key);
  *now += service;
  scheduler.Finish(*now, request.key);
}

// Guards against a caller with many queued requests being served before one
// that has not been served yet.
Test(request_scheduler, callers_alternate) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  for (uint32_t i = 0; i < 100; ++i) {
    scheduler.Enqueue(Millis(0), RequestOf(1, i));
  }
  scheduler.StartNext(Millis(0));
  scheduler.Enqueue(Millis(1), RequestOf(2, 1));
  scheduler.Finish(Millis(5), RequestOf(1, 0).key);
  cr_assert(scheduler.StartNext(Millis(5)) == RequestOf(2, 1).key);
}

// Guards against a caller weight without effect on the share of slot time.
Test(request_scheduler, weight_sets_the_share) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  for (uint32_t i = 0; i < 200; ++i) {
    SchedulerRequest heavy = RequestOf(1, i);
    heavy.weight = 300;
    scheduler.Enqueue(Millis(0), heavy);
    scheduler.Enqueue(Millis(0), RequestOf(2, i));
  }
  Millis now;
  int served = 0;
  for (int i = 0; i < 80; ++i) {
    const auto key = scheduler.StartNext(now);
    if (key->flow.caller.address == 0x7f000001) ++served;
    now += Millis(10);
    scheduler.Finish(now, *key);
  }
  cr_assert(served >= 58 && served <= 62,
            "caller with 3 of 4 parts of the weight got %d of 80 starts",
            served);
}

// Guards against shares by number of requests instead of slot time: a caller
// whose requests take 5 times as long must get the same slot time, not 5 times
// as much.
Test(request_scheduler, measured_slot_time_is_shared) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  for (uint32_t i = 0; i < 200; ++i) {
    scheduler.Enqueue(Millis(0), Hinted(1, i, WorkClass::kShort));
    scheduler.Enqueue(Millis(0), Hinted(2, i, WorkClass::kShort));
  }
  int64_t used[2] = {};
  for (Millis now; now < Millis(2500);) {
    const auto key = scheduler.StartNext(now);
    const bool slow = key->flow.caller.address == 0x7f000001;
    const Millis service(slow ? 50 : 10);
    used[slow] += service.Count();
    now += service;
    scheduler.Finish(now, *key);
  }
  cr_assert(used[0] * 10 >= used[1] * 8 && used[1] * 10 >= used[0] * 8,
            "slot time of %ld and %ld ms", used[0], used[1]);
}

// Guards against charging a caller for slot time it used while no other caller
// waited.
Test(request_scheduler, idle_queue_resets_used_slot_time) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  Millis now;
  for (uint32_t i = 0; i < 20; ++i) {
    RunOne(scheduler, &now, RequestOf(1, i), Millis(80));
  }
  scheduler.Enqueue(now, RequestOf(1, 20));
  scheduler.Enqueue(now, RequestOf(2, 0));
  cr_assert(scheduler.StartNext(now) == RequestOf(1, 20).key);
}

// Guards against long work starting beyond its slot limit because a running
// request that started as short and exceeded its quantum is not counted.
Test(request_scheduler, work_beyond_its_quantum_counts_as_long) {
  RequestScheduler scheduler(ConfigOf(2, 1));
  scheduler.Enqueue(Millis(0), Hinted(1, 0, WorkClass::kShort));
  scheduler.StartNext(Millis(0));
  scheduler.Enqueue(Millis(150), Hinted(2, 0, WorkClass::kLong));
  cr_assert(!scheduler.StartNext(Millis(150)).has_value());
}

// Guards against requests that stay classified as short regardless of their
// service time or bytes, and against a learned class that is not applied to the
// next request of the flow or caller.
Test(request_scheduler, class_follows_measured_service_times) {
  RequestScheduler scheduler(ConfigOf(2, 0));
  Millis now;
  RunOne(scheduler, &now, RequestOf(1, 0), Millis(300));
  SchedulerRequest other_flow = RequestOf(1, 1);
  other_flow.key.nonce = FlowNonce(99);
  cr_assert(scheduler.ClassOf(RequestOf(1, 1)) == WorkClass::kLong);
  cr_assert(scheduler.ClassOf(other_flow) == WorkClass::kLong);
  cr_assert(scheduler.ClassOf(RequestOf(2, 1)) == WorkClass::kShort);
  cr_assert(scheduler.ClassOf(Hinted(1, 1, WorkClass::kShort)) ==
            WorkClass::kShort);
  RunOne(scheduler, &now, RequestOf(1, 2), Millis(10));
  cr_assert(scheduler.ClassOf(RequestOf(1, 3)) == WorkClass::kShort);
  RunOne(scheduler, &now, RequestOf(3, 0), Millis(6000));
  cr_assert(scheduler.ClassOf(RequestOf(3, 1)) == WorkClass::kStraggler);

  scheduler.Enqueue(now, RequestOf(4, 0));
  scheduler.StartNext(now);
  scheduler.OnBytes(now, RequestOf(4, 0).key, 20'000);
  cr_assert_eq(scheduler.RunningCount(WorkClass::kLong), 1);
}

// Guards against a queued request that keeps the short class after its caller
// has sent more than the short bytes.
Test(request_scheduler, bytes_move_a_queued_request_to_long) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  scheduler.Enqueue(Millis(0), RequestOf(1, 0));
  scheduler.OnBytes(Millis(0), RequestOf(1, 0).key, 20'000);
  scheduler.Enqueue(Millis(1), RequestOf(2, 0));
  cr_assert(scheduler.StartNext(Millis(1)) == RequestOf(2, 0).key);
  scheduler.Finish(Millis(2), RequestOf(2, 0).key);
  cr_assert(scheduler.StartNext(Millis(2)) == RequestOf(1, 0).key);
}

// Guards against long work in a reserved slot, and against non-repeatable work
// without history that starts in one and may turn out long.
Test(request_scheduler, reserved_slots_exclude_long_and_unclassified_work) {
  RequestScheduler scheduler(ConfigOf(2, 1));
  scheduler.Enqueue(Millis(0), Hinted(1, 0, WorkClass::kLong));
  scheduler.Enqueue(Millis(0), Hinted(2, 0, WorkClass::kLong));
  scheduler.Enqueue(Millis(0), RequestOf(3, 0));
  cr_assert(scheduler.StartNext(Millis(0)) == RequestOf(3, 0).key);
  cr_assert(!scheduler.StartNext(Millis(0)).has_value());
  cr_assert(scheduler.HasSlotForShort());
  cr_assert(!scheduler.WouldStart(RequestOf(4, 0)));
  cr_assert(scheduler.WouldStart(Hinted(4, 0, WorkClass::kShort)));
}

// Guards against repeatable work that keeps a reserved slot beyond its quantum,
// and against preempting it twice or preempting non-repeatable work.
Test(request_scheduler, repeatable_work_is_preempted_once) {
  for (const bool repeatable : {true, false}) {
    RequestScheduler scheduler(ConfigOf(2, 1));
    scheduler.Enqueue(Millis(0), Hinted(1, 0, WorkClass::kLong));
    scheduler.StartNext(Millis(0));
    SchedulerRequest request = Hinted(2, 0, WorkClass::kShort);
    request.repeatable = repeatable;
    scheduler.Enqueue(Millis(0), request);
    scheduler.StartNext(Millis(0));
    cr_assert(scheduler.CollectPreemptible(Millis(99)).empty());
    cr_assert_eq(scheduler.CollectPreemptible(Millis(100)).size(),
                 repeatable ? 1 : 0);
    cr_assert(scheduler.CollectPreemptible(Millis(101)).empty());
  }
}

// Guards against stragglers that hold all the slots of long work.
Test(request_scheduler, stragglers_are_bounded) {
  RequestScheduler scheduler(ConfigOf(4, 0));
  for (uint32_t i = 1; i <= 4; ++i) {
    scheduler.Enqueue(Millis(0), Hinted(i, 0, WorkClass::kStraggler));
  }
  scheduler.Enqueue(Millis(0), Hinted(9, 0, WorkClass::kLong));
  while (scheduler.StartNext(Millis(0)).has_value()) {
  }
  cr_assert_eq(scheduler.RunningCount(WorkClass::kStraggler), 2);
  cr_assert_eq(scheduler.RunningCount(WorkClass::kLong), 1);
}

// Guards against limits that are not enforced or that never admit again.
Test(request_scheduler, limits_refuse_and_recover) {
  SchedulerConfig config = ConfigOf(1, 0);
  config.rules.max_queued_per_caller = 2;
  config.rules.max_queued = 3;
  RequestScheduler scheduler(config);
  scheduler.Enqueue(Millis(0), RequestOf(1, 0));
  scheduler.Enqueue(Millis(0), RequestOf(1, 1));
  cr_assert(scheduler.Enqueue(Millis(0), RequestOf(1, 2))->reason ==
            Reason::kCallerLimit);
  cr_assert(!scheduler.Enqueue(Millis(0), RequestOf(2, 0)).has_value());
  cr_assert(scheduler.Enqueue(Millis(0), RequestOf(3, 0))->reason ==
            Reason::kServiceLimit);

  config = ConfigOf(1, 0);
  config.rules.caller_rate = 10;
  RequestScheduler rated(config);
  for (uint32_t i = 0; i < 10; ++i) {
    cr_assert(!rated.Enqueue(Millis(0), RequestOf(1, i)).has_value());
  }
  const auto refusal = rated.Enqueue(Millis(0), RequestOf(1, 10));
  cr_assert(refusal->reason == Reason::kCallerLimit);
  cr_assert_eq(refusal->retry_after.Count(), 100);
  cr_assert(!rated.Enqueue(Millis(100), RequestOf(1, 11)).has_value());
}

// Guards against queueing a request that will miss its deadline, and against an
// idle upstream that refuses all requests after one slow measurement.
Test(request_scheduler, infeasible_deadline_is_refused_on_arrival) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  Millis now;
  RunOne(scheduler, &now, RequestOf(1, 0), Millis(80));
  SchedulerRequest urgent = RequestOf(2, 0);
  urgent.deadline = now + Millis(50);
  cr_assert(!scheduler.Enqueue(now, urgent).has_value());
  scheduler.StartNext(now);
  scheduler.Enqueue(now, RequestOf(3, 0));
  SchedulerRequest late = RequestOf(4, 0);
  late.deadline = now + Millis(100);
  cr_assert(scheduler.Enqueue(now, late)->reason == Reason::kDeadline);
  late.deadline = now + Millis(1000);
  cr_assert(!scheduler.Enqueue(now, late).has_value());
  const auto shed = scheduler.Shed(now + Millis(925));
  cr_assert(std::any_of(shed.begin(), shed.end(), [&](const auto& refusal) {
    return refusal.key == late.key && refusal.reason == Reason::kDeadline;
  }));
}

// Guards against shedding by queue length: a long queue that drains fast is
// kept, a queue that does not drain is shed.
Test(request_scheduler, sheds_by_time_waited_only) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  for (uint32_t i = 0; i < 200; ++i) {
    scheduler.Enqueue(Millis(0), Hinted(i, 0, WorkClass::kShort));
  }
  cr_assert(scheduler.Shed(Millis(100)).empty());
  cr_assert(scheduler.Shed(Millis(300)).empty());
  cr_assert(scheduler.Shed(Millis(700)).empty());
  cr_assert_eq(scheduler.Shed(Millis(800)).size(), 1);
  cr_assert_eq(scheduler.Shed(Millis(2000)).size() + scheduler.QueuedCount(),
               199);
  cr_assert_eq(scheduler.QueuedCount(), 0);
}

// Guards against shedding that continues after the queue has been empty.
Test(request_scheduler, empty_queue_ends_overload) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  scheduler.Enqueue(Millis(0), Hinted(1, 0, WorkClass::kShort));
  cr_assert(scheduler.Shed(Millis(300)).empty());
  scheduler.StartNext(Millis(300));
  cr_assert(scheduler.Shed(Millis(400)).empty());
  scheduler.Enqueue(Millis(1000), Hinted(2, 0, WorkClass::kShort));
  cr_assert(scheduler.Shed(Millis(1260)).empty());
}

// Guards against applying the target delay of short work to the requests of a
// new caller that wait for a long slot: they were shed each time, so that the
// caller never got a history.
Test(request_scheduler, unclassified_work_waits_for_a_long_slot) {
  RequestScheduler scheduler(ConfigOf(2, 1));
  scheduler.Enqueue(Millis(0), Hinted(1, 0, WorkClass::kLong));
  scheduler.StartNext(Millis(0));
  scheduler.Enqueue(Millis(0), RequestOf(2, 0));
  for (Millis now; now < Millis(1000); now += Millis(10)) {
    cr_assert(scheduler.Shed(now).empty());
    cr_assert(!scheduler.StartNext(now).has_value());
  }
  scheduler.Finish(Millis(1000), RequestOf(1, 0).key);
  cr_assert(scheduler.StartNext(Millis(1000)) == RequestOf(2, 0).key);
}

// Guards against a newly started upstream that gets its full load before its
// service time is steady.
Test(request_scheduler, slow_start_grows_with_steady_service_time) {
  RequestScheduler scheduler(ConfigOf(4, 0));
  scheduler.BeginSlowStart();
  Millis now;
  cr_assert_eq(scheduler.UsableSlots(), 1);
  for (uint32_t i = 0; i < 4; ++i) {
    RunOne(scheduler, &now, RequestOf(1, i), Millis(80));
  }
  for (uint32_t i = 4; i < 8; ++i) {
    RunOne(scheduler, &now, RequestOf(1, i), Millis(20));
  }
  cr_assert_eq(scheduler.UsableSlots(), 1, "service time is not steady yet");
  for (uint32_t i = 8; i < 12; ++i) {
    RunOne(scheduler, &now, RequestOf(1, i), Millis(20));
  }
  cr_assert_eq(scheduler.UsableSlots(), 2);
  for (uint32_t i = 12; i < 16; ++i) {
    RunOne(scheduler, &now, RequestOf(1, i), Millis(20));
  }
  cr_assert_eq(scheduler.UsableSlots(), 4);
}

// Guards against memory use that grows with the number of callers ever seen.
Test(request_scheduler, least_recently_used_callers_are_evicted) {
  RequestScheduler scheduler(ConfigOf(1, 0));
  Millis now;
  RunOne(scheduler, &now, RequestOf(0, 0), Millis(300));
  for (uint32_t i = 1; i <= kMaxIdleCallers + 10; ++i) {
    RunOne(scheduler, &now, RequestOf(i, 0), Millis(1));
  }
  cr_assert_eq(scheduler.History().CallerCount(), kMaxIdleCallers);
  cr_assert_eq(scheduler.History().FlowCount(), kMaxFlows);
  cr_assert(scheduler.ClassOf(RequestOf(0, 1)) == WorkClass::kShort);
}

}  // namespace
}  // namespace cornelhill
