#include "cornelhill/segment/admission_queue.h"

#include <criterion/criterion.h>

#include "tests/segment/segment_test_network.h"

namespace cornelhill {
namespace {

constexpr Millis kResponseTime{50};

WaitingFlow MakeWaiting(uint16_t port, Millis sent_at, Millis target,
                        uint32_t priority = 0) {
  return {{CallerAt(port), kListener}, "first", sent_at, target, priority};
}

uint16_t PopPort(AdmissionQueue* queue, Millis now) {
  return queue->Pop(now, kResponseTime)->flow.caller.port;
}

// Fails if flows that can be answered on time wait behind flows that cannot:
// in a lasting overload every answer is then late.
Test(admission_queue, flows_on_time_go_before_late_ones) {
  AdmissionQueue queue;
  queue.Push(MakeWaiting(1, Millis(0), Millis(100)));
  queue.Push(MakeWaiting(2, Millis(200), Millis(100)));
  cr_assert_eq(PopPort(&queue, Millis(210)), 2);
  cr_assert_eq(PopPort(&queue, Millis(210)), 1);
  cr_assert_not(queue.Pop(Millis(210), kResponseTime).has_value());
}

// Fails if a flow on time overtakes one of the same priority that has waited
// for longer.
Test(admission_queue, flows_on_time_keep_their_order) {
  AdmissionQueue queue;
  queue.Push(MakeWaiting(2, Millis(20), Millis(300)));
  queue.Push(MakeWaiting(1, Millis(10), Millis(300)));
  cr_assert_eq(PopPort(&queue, Millis(30)), 1);
  cr_assert_eq(PopPort(&queue, Millis(30)), 2);
}

// Fails if the oldest late flow goes first. Its caller is about to give up, so
// the upstream's capacity is spent on flows that are then not continued, until
// no flow is served at all.
Test(admission_queue, the_latest_of_the_late_flows_goes_first) {
  AdmissionQueue queue;
  queue.Push(MakeWaiting(1, Millis(0), Millis(100)));
  queue.Push(MakeWaiting(2, Millis(500), Millis(100)));
  queue.Push(MakeWaiting(3, Millis(300), Millis(100)));
  cr_assert_eq(PopPort(&queue, Millis(1000)), 2);
  cr_assert_eq(PopPort(&queue, Millis(1000)), 3);
  cr_assert_eq(PopPort(&queue, Millis(1000)), 1);
}

// Fails if the priority that an operator declared is not used.
Test(admission_queue, priority_decides_within_a_class) {
  AdmissionQueue queue;
  queue.Push(MakeWaiting(1, Millis(0), Millis(300), 2));
  queue.Push(MakeWaiting(2, Millis(10), Millis(300), 1));
  queue.Push(MakeWaiting(3, Millis(0), Millis(60), 0));  // Late.
  cr_assert_eq(PopPort(&queue, Millis(20)), 2);
  cr_assert_eq(PopPort(&queue, Millis(20)), 1);
  cr_assert_eq(PopPort(&queue, Millis(20)), 3);
}

// Fails if a flow whose caller has given up is admitted.
Test(admission_queue, takes_the_flows_sent_before_a_time) {
  AdmissionQueue queue;
  queue.Push(MakeWaiting(1, Millis(0), Millis(100)));
  queue.Push(MakeWaiting(2, Millis(10), Millis(100)));
  const std::vector<WaitingFlow> taken = queue.TakeSentBefore(Millis(10));
  cr_assert_eq(taken.size(), 1U);
  cr_assert_eq(taken[0].flow.caller.port, 1);
  cr_assert_eq(queue.Size(), 1U);
}

}  // namespace
}  // namespace cornelhill
