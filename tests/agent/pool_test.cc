#include "tests/support/pool.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string>

namespace cornelhill {
namespace {

constexpr Millis kChangesEnd(14000);
// Leaves the idle timeout of a running request after the last caller has given
// up.
constexpr Millis kEnd(90000);

// Returns the number of seeds to run; CORNELHILL_SEEDS overrides `normal`.
uint64_t Seeds(uint64_t normal) {
  const char* text = std::getenv("CORNELHILL_SEEDS");
  return text == nullptr ? normal : std::strtoull(text, nullptr, 10);
}

uint64_t FirstSeed() {
  const char* text = std::getenv("CORNELHILL_FIRST_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

RequestPlan RandomRequest(Random& random, bool is_long) {
  RequestPlan plan;
  plan.repeatable = random.Chance(0.3);
  if (is_long) {
    plan.service = Millis(200 + static_cast<int64_t>(random.Below(500)));
    plan.chunks = 4;
    plan.chunk_bytes = random.Chance(0.5) ? 3000 : 500;
    if (random.Chance(0.05)) plan.service = Millis(4000);
  } else {
    plan.service = Millis(2 + static_cast<int64_t>(random.Below(30)));
  }
  if (random.Chance(0.2)) plan.parts = 4;
  if (random.Chance(0.05)) {
    plan.cancel_after = Millis(static_cast<int64_t>(random.Below(100)));
  }
  if (random.Chance(0.1)) plan.deadline = Millis(3000);
  return plan;
}

// Adds for each service tiny flows of one request, quizzes of several, streams
// of long requests, and stragglers. Some reuse the key of an earlier flow.
void AddFlows(TestPool& pool, uint32_t services, uint64_t seed) {
  Random random(seed * 7919);
  for (uint32_t service = 0; service < services; ++service) {
    for (uint32_t i = 0; i < 220; ++i) {
      FlowPlan flow;
      flow.service = service;
      flow.caller = 1 + static_cast<uint32_t>(random.Below(30));
      flow.port = static_cast<uint16_t>(1000 + i);
      flow.start = Millis(500 + static_cast<int64_t>(random.Below(15000)));
      if (random.Chance(0.15) && i > 0) {
        flow.caller = 1;
        flow.port = static_cast<uint16_t>(5000 + random.Below(8));
      }
      flow.is_long = i % 20 == 0;
      uint32_t requests = 1;
      if (flow.is_long) {
        flow.start = Millis(500 + static_cast<int64_t>(random.Below(3000)));
        requests = 20;
        flow.think = Millis(20);
      } else if (i % 5 == 0) {
        requests = 12;
        flow.think = Millis(500);
      }
      for (uint32_t r = 0; r < requests; ++r) {
        flow.requests.push_back(RandomRequest(random, flow.is_long));
      }
      pool.AddFlow(flow);
    }
  }
}

PoolConfig ConfigOf(uint64_t seed) {
  Random random(seed * 104729);
  PoolConfig config;
  config.seed = seed;
  config.services = {{4 + static_cast<uint32_t>(random.Below(4)), 2}, {3, 4}};
  config.view_spread = Millis(random.Chance(0.5) ? 200 : 1500);
  if (random.Chance(0.7)) {
    config.faults.loss = random.UniformDouble() * 0.05;
    config.faults.duplicate = random.UniformDouble() * 0.1;
    config.faults.reorder = random.UniformDouble() * 0.1;
    config.faults.jitter = Millis(static_cast<int64_t>(random.Below(10)));
  }
  config.answer_again = 0.05;
  config.refuse = random.Chance(0.3) ? 0.05 : 0;
  config.cold_start = random.Chance(0.5);
  return config;
}

Millis RandomTime(Random& random) {
  return Millis(2000 +
                static_cast<int64_t>(random.Below(kChangesEnd.Count() - 2000)));
}

uint32_t RandomUpstream(const TestPool& pool, Random& random) {
  return static_cast<uint32_t>(random.Below(pool.Upstreams()));
}

// Schedules planned changes of upstreams and balancers, the first a drain.
void PlanChanges(TestPool& pool, uint64_t seed) {
  auto random = std::make_shared<Random>(seed * 31337);
  for (uint32_t i = 0; i < 5; ++i) {
    const uint64_t kind = i == 0 ? 0 : random->Below(6);
    pool.At(RandomTime(*random), [&pool, random, kind] {
      switch (kind) {
        case 0: {
          const uint32_t upstream = RandomUpstream(pool, *random);
          pool.DrainUpstream(upstream);
          if (random->Chance(0.5)) pool.AddUpstream(0, 2);
          return;
        }
        case 1:
          pool.AddUpstream(0, 2);
          return;
        case 2:
          pool.Reweight(RandomUpstream(pool, *random),
                        50 + static_cast<uint32_t>(random->Below(100)));
          return;
        case 3:
          pool.AddBalancer();
          return;
        case 4:
          pool.DrainBalancer(0);
          return;
        default:
          pool.KillBalancer(1);
          return;
      }
    });
  }
}

// Schedules one to three faults within 2 s.
void PlanFaults(TestPool& pool, uint64_t seed) {
  auto random = std::make_shared<Random>(seed * 65537);
  const Millis when = RandomTime(*random);
  const uint64_t count = 1 + random->Below(3);
  for (uint64_t i = 0; i < count; ++i) {
    const uint64_t kind = random->Below(6);
    const Millis at = when + Millis(static_cast<int64_t>(random->Below(2000)));
    pool.At(at, [&pool, random, kind] {
      const uint32_t upstream = RandomUpstream(pool, *random);
      switch (kind) {
        case 0:
          pool.CrashInstance(upstream);
          return;
        case 1:
          pool.RestartAgent(upstream);
          return;
        case 2:
          pool.CrashUpstream(upstream);
          return;
        case 3:
          // Longer than the lease.
          pool.Pause(upstream, Millis(6200));
          return;
        case 4:
          pool.Pause(upstream, Millis(800));
          return;
        default:
          pool.CutLink(upstream, RandomUpstream(pool, *random), Millis(1500));
          return;
      }
    });
  }
}

void CheckPool(TestPool& pool, const char* test, uint64_t seed) {
  pool.RunUntil(kEnd);
  pool.CheckIdle();
  cr_assert_eq(pool.Faults().Total(), 0, "%s seed=%lu faults=%lu: %s", test,
               seed, pool.Faults().Total(), pool.FirstFault().c_str());
  size_t answered = 0;
  for (const WorkRecord& work : pool.Works()) {
    if (work.end == RequestEnd::kAnswered) ++answered;
  }
  // A pool that serves nothing would violate no other invariant.
  cr_assert_geq(answered * 100, pool.Works().size() * 80,
                "%s seed=%lu answered %zu of %zu", test, seed, answered,
                pool.Works().size());
}

// Guards against a planned change that breaks an established flow, runs work
// twice or lets a draining upstream accept new flows.
Test(pool, flows_survive_planned_changes) {
  for (uint64_t i = 0; i < Seeds(100); ++i) {
    const uint64_t seed = FirstSeed() + i;
    TestPool pool(ConfigOf(seed));
    AddFlows(pool, 2, seed);
    PlanChanges(pool, seed);
    CheckPool(pool, "planned", seed);
    cr_assert_eq(pool.FlowsLostWithUpstream(), 0, "seed=%lu", seed);
    cr_assert_eq(pool.FlowsGivenUp(), 0, "seed=%lu gave up", seed);
  }
}

// Guards against work that runs twice, a false `not_run`, a crossed answer or a
// decision without a lease when processes crash, restart or are paused.
Test(pool, invariants_hold_under_faults) {
  for (uint64_t i = 0; i < Seeds(100); ++i) {
    const uint64_t seed = FirstSeed() + i;
    PoolConfig config = ConfigOf(seed);
    config.resend_for = Millis(seed % 2 == 0 ? 3000 : 3600);
    TestPool pool(config);
    AddFlows(pool, 2, seed);
    PlanFaults(pool, seed);
    CheckPool(pool, "faults", seed);
  }
}

// Guards against faults during a planned change, where the loss of an upstream
// overlaps with the move of its buckets.
Test(pool, invariants_hold_under_faults_during_planned_changes) {
  for (uint64_t i = 0; i < Seeds(100); ++i) {
    const uint64_t seed = FirstSeed() + i;
    TestPool pool(ConfigOf(seed));
    AddFlows(pool, 2, seed);
    PlanChanges(pool, seed);
    PlanFaults(pool, seed);
    CheckPool(pool, "changes_and_faults", seed);
  }
}

// Regression test for seeds outside the normal run. Seed 306: a restarted agent
// ran a duplicate in transit again. Seed 186: a request ran again after its
// owner had restarted.
Test(pool, regression_seeds) {
  for (const uint64_t seed : {uint64_t{186}, uint64_t{306}}) {
    PoolConfig config = ConfigOf(seed);
    config.resend_for = Millis(seed % 2 == 0 ? 3000 : 3600);
    for (const bool changes : {false, true}) {
      TestPool pool(config);
      AddFlows(pool, 2, seed);
      if (changes) PlanChanges(pool, seed);
      PlanFaults(pool, seed);
      CheckPool(pool, "found", seed);
    }
  }
}

// Guards against new flows on an upstream that was drained while its agent was
// paused for longer than its lease, and that then rejoined (found by seed 150).
Test(pool, drain_persists_after_lease_expiry) {
  for (uint64_t i = 0; i < Seeds(20); ++i) {
    const uint64_t seed = FirstSeed() + i;
    TestPool pool(ConfigOf(seed));
    AddFlows(pool, 2, seed);
    pool.At(Millis(4000), [&pool] { pool.Pause(0, Millis(6200)); });
    pool.At(Millis(6000), [&pool] { pool.DrainUpstream(0); });
    CheckPool(pool, "lapse", seed);
  }
}

// Guards against packets that reach the wrong service when an instance is
// reused for another service at the same address while balancers have the old
// view.
Test(pool, reused_instance_serves_only_its_new_service) {
  for (uint64_t i = 0; i < Seeds(20); ++i) {
    const uint64_t seed = FirstSeed() + i;
    PoolConfig config = ConfigOf(seed);
    config.view_spread = Millis(1500);
    TestPool pool(config);
    AddFlows(pool, 2, seed);
    pool.At(Millis(4000), [&pool] { pool.CrashInstance(0); });
    pool.At(Millis(4300), [&pool] { pool.ReuseAddress(0, 1); });
    CheckPool(pool, "reuse", seed);
  }
}

}  // namespace
}  // namespace cornelhill
