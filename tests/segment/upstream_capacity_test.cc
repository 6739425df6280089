#include "cornelhill/segment/upstream_capacity.h"

#include <criterion/criterion.h>

namespace cornelhill {
namespace {

struct Deployment {
  Millis work;
  Millis round_trip;
  uint32_t slots;
};

// Deployments with short and long work, near and far callers, few and many
// slots.
constexpr Deployment kDeployments[] = {
    {Millis(2), Millis(2), 1},     {Millis(2), Millis(80), 64},
    {Millis(2000), Millis(2), 64}, {Millis(2000), Millis(80), 1},
    {Millis(40), Millis(15), 2},
};

UpstreamCapacity Measured(const Deployment& deployment) {
  UpstreamCapacity capacity;
  for (int i = 0; i < 200; ++i) {
    capacity.OnRequestReceived(deployment.round_trip);
    capacity.OnAnswer(deployment.work);
  }
  return capacity;
}

// Fails if the limit fits one deployment only. By Little's law the slots are
// all occupied when the flows in progress are the slots times the whole time
// of a flow, divided by the time that it occupies a slot.
Test(upstream_capacity, the_limit_keeps_all_slots_occupied) {
  for (const Deployment& deployment : kDeployments) {
    const double cycle =
        static_cast<double>((deployment.work + deployment.round_trip).Count());
    const double needed =
        deployment.slots * cycle / static_cast<double>(deployment.work.Count());
    const uint32_t limit = Measured(deployment).Limit(deployment.slots);
    cr_assert_geq(limit, needed);
    // At most one flow for each slot waits inside the upstream.
    cr_assert_leq(limit, needed + deployment.slots + 1);
  }
}

// Fails if an upstream that has become slow is expected to be as fast as
// before.
Test(upstream_capacity, a_slow_upstream_is_measured_within_some_requests) {
  UpstreamCapacity capacity = Measured({Millis(40), Millis(15), 2});
  cr_assert_eq(capacity.TimeToServe(10, 2).Count(), 200);
  for (int i = 0; i < 64; ++i) capacity.OnAnswer(Millis(200));
  cr_assert_geq(capacity.TimeToServe(10, 2).Count(), 900);
}

// Fails if the response time is that of the average request, so that half of
// the requests take longer.
Test(upstream_capacity, the_response_time_covers_most_requests) {
  UpstreamCapacity capacity;
  for (int i = 0; i < 200; ++i) {
    capacity.OnRequestReceived(Millis(10));
    capacity.OnAnswer(Millis(i % 2 == 0 ? 20 : 60));
  }
  cr_assert_geq(capacity.ResponseTime().Count(), 70);
}

// Fails if a new upstream gets no flows before the first measurement.
Test(upstream_capacity, without_measurements_each_slot_gets_a_flow) {
  cr_assert_geq(UpstreamCapacity().Limit(5), 5U);
  cr_assert_eq(UpstreamCapacity().ResponseTime().Count(), 0);
}

}  // namespace
}  // namespace cornelhill
