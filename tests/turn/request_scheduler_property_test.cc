#include <criterion/criterion.h>

#include <iostream>
#include <set>

#include "cornelhill/base/random.h"
#include "tests/naive/fcfs_queue.h"
#include "tests/turn/scheduler_simulation.h"

namespace cornelhill {
namespace {

constexpr uint64_t kSeeds = 20;

Millis ServiceOf(Random& random, double mean) {
  return Millis(1 + static_cast<int64_t>(random.Exponential(mean)));
}

// Adds jobs of one caller with an offered load of `load` slots until `end`.
void AddJobs(std::vector<Job>& jobs, Random& random, uint32_t caller,
             double mean, double load, Millis end,
             std::optional<WorkClass> hint) {
  double at = random.Exponential(mean / load);
  for (uint32_t number = 0; at < static_cast<double>(end.Count()); ++number) {
    Job job;
    job.arrival = Millis(static_cast<int64_t>(at));
    job.service = ServiceOf(random, mean);
    if (hint == WorkClass::kLong) job.service += Millis(100);
    if (hint == WorkClass::kShort)
      job.service = std::min(job.service, Millis(99));
    job.request.key = KeyOf(caller, caller, number);
    job.request.caller = CallerId(caller);
    job.request.hint = hint;
    jobs.push_back(job);
    at += random.Exponential(mean / load);
  }
}

std::vector<RequestScheduler> SingleScheduler(const SchedulerConfig& config) {
  std::vector<RequestScheduler> schedulers;
  schedulers.emplace_back(config);
  return schedulers;
}

// Guards against overcommitted slots, requests that end twice or never, leaked
// state of ended requests, and decision records that differ from the actual
// starts, under random mixes of classes, limits, deadlines and cancellations.
Test(request_scheduler_property, each_request_ends_once_and_no_slot_is_shared) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    SchedulerConfig config;
    config.slots = 1 + random.Below(6);
    config.reserved_slots = random.Below(config.slots + 1);
    config.rules.max_queued_per_caller = 20 + random.Below(200);
    config.rules.max_queued = 50 + random.Below(500);
    config.rules.caller_rate = random.Chance(0.5) ? 40 : 0;
    config.unclassified = static_cast<UnclassifiedSlots>(random.Below(2));
    std::vector<Job> jobs;
    for (uint32_t caller = 1; caller <= 20; ++caller) {
      const double mean = caller % 4 == 0 ? 1500 : 20;
      AddJobs(jobs, random, caller, mean, 0.1 * config.slots, Millis(10'000),
              std::nullopt);
    }
    for (Job& job : jobs) {
      job.request.repeatable = random.Chance(0.5);
      if (random.Chance(0.2)) {
        job.request.deadline = job.arrival + Millis(random.Below(3000));
      }
      if (random.Chance(0.1)) {
        job.request.hint = static_cast<WorkClass>(random.Below(3));
      }
    }
    SortByArrival(jobs);

    SchedulerSimulation<RequestScheduler> loop(SingleScheduler(config));
    if (seed % 2 == 0) loop.Schedulers()[0].BeginSlowStart();
    const auto check = [&](RequestScheduler& scheduler, Millis now) {
      cr_assert_leq(loop.RunningJobs().size(), config.slots, "seed %lu", seed);
      cr_assert_eq(loop.RunningJobs().size(), scheduler.RunningCount());
      if (random.Chance(0.02)) loop.Cancel(now, random.Below(jobs.size()));
    };
    const auto route = [](const auto&, SchedulerRequest&) { return size_t{0}; };
    const auto results = loop.Run(jobs, Millis(), route, check);
    for (const JobResult& result : results) {
      cr_assert_eq(result.ends, 1, "seed %lu", seed);
    }
    const RequestScheduler& scheduler = loop.Schedulers()[0];
    cr_assert_eq(scheduler.QueuedCount() + scheduler.RunningCount(), 0);

    const std::vector<RequestKey>& order = loop.StartOrder();
    cr_assert_eq(scheduler.Starts().Count(), order.size(), "seed %lu", seed);
    for (uint64_t i = order.size() > 200 ? order.size() - 200 : 0;
         i < order.size(); ++i) {
      const SchedulingDecision& decision = *scheduler.Starts().At(i);
      cr_assert(decision.key == order[i], "seed %lu", seed);
      for (uint32_t a = 0; a < decision.ahead_count; ++a) {
        cr_assert(decision.ahead[a].key == order[i - decision.ahead_count + a]);
      }
    }
  }
}

// Guards against long work in reserved slots, whether its class is known or
// not. Jobs are counted by their actual service time.
Test(request_scheduler_property, long_work_never_holds_reserved_slots) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    SchedulerConfig config;
    config.slots = 2 + random.Below(5);
    config.reserved_slots = 1 + random.Below(config.slots - 1);
    const bool hinted = seed % 2 == 0;
    std::vector<Job> jobs;
    for (uint32_t caller = 1; caller <= 200; ++caller) {
      AddJobs(jobs, random, caller, 1000, 0.02, Millis(10'000),
              hinted ? std::optional(WorkClass::kLong) : std::nullopt);
      AddJobs(jobs, random, 1000 + caller, 20, 0.002, Millis(10'000),
              WorkClass::kShort);
    }
    for (Job& job : jobs) {
      // A new caller for each long job, so that it is unclassified.
      if (job.request.hint.has_value()) continue;
      job.service += Millis(100);
      job.request.caller = CallerId(5000 + job.request.caller.Value() * 100 +
                                    job.request.key.number.Value());
      job.request.key.nonce = FlowNonce(job.request.caller.Value());
    }
    SortByArrival(jobs);
    SchedulerSimulation<RequestScheduler> loop(SingleScheduler(config));
    const auto check = [&](RequestScheduler&, Millis) {
      const auto long_jobs = static_cast<uint32_t>(std::count_if(
          loop.RunningJobs().begin(), loop.RunningJobs().end(),
          [&](size_t job) { return jobs[job].service >= Millis(100); }));
      cr_assert_leq(long_jobs, config.slots - config.reserved_slots, "seed %lu",
                    seed);
    };
    const auto route = [](const auto&, SchedulerRequest&) { return size_t{0}; };
    loop.Run(jobs, Millis(), route, check);
  }
}

// Guards against starvation of long work while short work overloads all slots.
Test(request_scheduler_property, long_work_keeps_its_share) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    SchedulerConfig config;
    config.slots = 2 + random.Below(3);
    config.reserved_slots = random.Below(2);
    std::vector<Job> jobs;
    for (uint32_t caller = 1; caller <= 10; ++caller) {
      AddJobs(jobs, random, caller, 20, 0.3 * config.slots, Millis(60'000),
              WorkClass::kShort);
      AddJobs(jobs, random, 100 + caller, 500, 0.3 * config.slots,
              Millis(60'000), WorkClass::kLong);
    }
    SortByArrival(jobs);
    SchedulerSimulation<RequestScheduler> loop(SingleScheduler(config));
    const auto results = loop.Run(jobs, Millis(60'000));
    int64_t long_time = 0;
    for (size_t i = 0; i < jobs.size(); ++i) {
      if (results[i].end == JobEnd::kFinished &&
          jobs[i].request.hint == WorkClass::kLong) {
        long_time += jobs[i].service.Count();
      }
    }
    const int64_t permille = long_time / 60 / config.slots;
    cr_assert_geq(permille, 220, "seed %lu: %ld", seed, permille);
  }
}

// Guards against a flooding caller that delays others. It offers 100 times the
// load of each of 20 others, 3 times the capacity of the upstream.
Test(request_scheduler_property, flood_of_one_caller_does_not_delay_others) {
  // Several hundred requests lie above the 99th percentile.
  constexpr Millis kLength(300'000);
  for (uint64_t seed = 1; seed <= kSeeds / 2; ++seed) {
    int64_t waits[2] = {};
    for (const bool flood : {false, true}) {
      Random random(seed);
      SchedulerConfig config;
      config.slots = 4;
      config.reserved_slots = 1;
      std::vector<Job> jobs;
      for (uint32_t caller = 1; caller <= 20; ++caller) {
        AddJobs(jobs, random, caller, 20, 0.03 * 4, kLength, std::nullopt);
      }
      if (flood) {
        AddJobs(jobs, random, 100, 20, 3.0 * 4, kLength, std::nullopt);
      }
      SortByArrival(jobs);
      SchedulerSimulation<RequestScheduler> loop(SingleScheduler(config));
      const auto results = loop.Run(jobs);
      std::vector<int64_t> light;
      for (size_t i = 0; i < jobs.size(); ++i) {
        if (jobs[i].request.caller == CallerId(100)) continue;
        light.push_back(results[i].end == JobEnd::kFinished
                            ? results[i].wait.Count()
                            : config.rules.max_wait.Count());
      }
      waits[flood] = Percentile(light, 990);
    }
    std::cout << "seed=" << seed << " wait_p99_ms=" << waits[0]
              << " with_flood=" << waits[1] << "\n";
    cr_expect_leq(waits[1] * 2, waits[0] * 3, "seed %lu: %ld and %ld", seed,
                  waits[0], waits[1]);
  }
}

// Guards against head-of-line blocking: the 99th-percentile wait of short work
// beside long work must be at least 10 times shorter than with FCFS.
Test(request_scheduler_property, short_work_does_not_wait_like_naive) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    SchedulerConfig config;
    config.slots = 4;
    config.reserved_slots = 1;
    std::vector<Job> jobs;
    for (uint32_t caller = 1; caller <= 10; ++caller) {
      AddJobs(jobs, random, caller, 20, 0.04, Millis(60'000),
              WorkClass::kShort);
      AddJobs(jobs, random, 100 + caller, 2000, 0.48, Millis(60'000),
              WorkClass::kLong);
    }
    SortByArrival(jobs);
    SchedulerSimulation<RequestScheduler> product(SingleScheduler(config));
    SchedulerSimulation<naive::FcfsQueue> naive({naive::FcfsQueue(config)});
    const std::vector<JobResult> results[2] = {product.Run(jobs),
                                               naive.Run(jobs)};
    std::vector<int64_t> waits[2];
    for (size_t i = 0; i < jobs.size(); ++i) {
      if (jobs[i].request.hint != WorkClass::kShort) continue;
      for (const size_t who : {0, 1}) {
        waits[who].push_back(results[who][i].wait.Count());
      }
    }
    cr_assert_leq(Percentile(waits[0], 990) * 10, Percentile(waits[1], 990),
                  "seed %lu", seed);
  }
}

// Guards against a difference from FCFS for a single caller with short work,
// where fair queueing and classes have no effect.
Test(request_scheduler_property, one_caller_is_served_like_naive) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    SchedulerConfig config;
    config.slots = 1 + random.Below(4);
    config.rules.max_queued_per_caller = config.rules.max_queued;
    std::vector<Job> jobs;
    AddJobs(jobs, random, 1, 20, 0.8 * config.slots, Millis(20'000),
            WorkClass::kShort);
    SchedulerSimulation<RequestScheduler> product(SingleScheduler(config));
    SchedulerSimulation<naive::FcfsQueue> naive({naive::FcfsQueue(config)});
    const auto ours = product.Run(jobs);
    const auto theirs = naive.Run(jobs);
    for (size_t i = 0; i < jobs.size(); ++i) {
      cr_assert(ours[i].wait == theirs[i].wait, "seed %lu job %zu", seed, i);
      cr_assert(ours[i].end == theirs[i].end, "seed %lu job %zu", seed, i);
    }
  }
}

}  // namespace
}  // namespace cornelhill
