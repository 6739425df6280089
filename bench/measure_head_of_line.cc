// Measures the wait of short work behind long work, for one upstream and for a
// pool of 7 upstreams, each with 2 and with 4 slots: with the scheduler
// ("product"), with the scheduler and no long work, and with FCFS ("naive").
// Prints one line per scenario and seed. The workload is fixed: short work of
// 20 ms on average offers 4 % of the slots, 10 % at the peak (40 s to 80 s of
// 120 s); long work of 2 s on average offers 120 %. Each request opens a flow,
// so that its class is known only from its caller's history.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <string>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/route/bucket_table.h"
#include "tests/naive/fcfs_queue.h"
#include "tests/turn/scheduler_simulation.h"

ABSL_FLAG(uint32_t, fresh_permille, 50,
          "Short requests of callers without history, in thousandths.");
ABSL_FLAG(uint32_t, fresh_long_permille, 50,
          "Long requests of callers without history, in thousandths.");
ABSL_FLAG(std::string, unproven, "unreserved",
          "Slots for unproven work: unreserved or any.");
ABSL_FLAG(bool, repeatable, false, "Whether all work is repeatable.");
ABSL_FLAG(uint32_t, seeds, 5, "Seeds to run, from 1.");

namespace cornelhill {
namespace {

constexpr Millis kEnd(120'000);
constexpr Millis kPeakStart(40'000);
constexpr Millis kPeakEnd(80'000);
constexpr Millis kWarm(20'000);
constexpr uint32_t kShortCallers = 40;
constexpr uint32_t kLongCallers = 20;
constexpr uint32_t kFirstLongCaller = 1000;
constexpr uint32_t kFirstFreshCaller = 10'000;

struct Workload {
  std::vector<Job> jobs;
  std::vector<bool> is_long;
};

Workload MakeWorkload(uint64_t seed, uint32_t slots, bool with_long) {
  Workload work;
  std::vector<std::pair<Job, bool>> jobs;
  uint32_t flow = 0;
  for (const bool is_long : {false, true}) {
    if (is_long && !with_long) continue;
    // A separate generator, so that short work does not depend on `with_long`.
    Random random(seed * 2 + (is_long ? 1 : 0));
    double at = 0;
    while (true) {
      const bool peak = at >= static_cast<double>(kPeakStart.Count()) &&
                        at < static_cast<double>(kPeakEnd.Count());
      const double load = is_long ? 1.2 : (peak ? 0.10 : 0.04);
      const double mean = is_long ? 2000 : 20;
      at += random.Exponential(mean / load / slots);
      if (at >= static_cast<double>(kEnd.Count())) break;
      Job job;
      job.arrival = Millis(static_cast<int64_t>(at));
      job.service =
          is_long ? Millis(500 + static_cast<int64_t>(random.Exponential(1500)))
                  : Millis(1 + static_cast<int64_t>(random.Exponential(19.5)));
      uint32_t caller = is_long ? kFirstLongCaller + random.Below(kLongCallers)
                                : random.Below(kShortCallers);
      ++flow;
      if (random.Below(1000) < (is_long
                                    ? absl::GetFlag(FLAGS_fresh_long_permille)
                                    : absl::GetFlag(FLAGS_fresh_permille))) {
        caller = kFirstFreshCaller + flow;
      }
      job.request.key = KeyOf(caller, flow, 1);
      job.request.caller = CallerId(caller);
      job.request.repeatable = absl::GetFlag(FLAGS_repeatable);
      jobs.emplace_back(job, is_long);
    }
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const auto& a, const auto& b) {
    return a.first.arrival < b.first.arrival;
  });
  for (const auto& [job, is_long] : jobs) {
    work.jobs.push_back(job);
    work.is_long.push_back(is_long);
  }
  return work;
}

struct Figures {
  int64_t wait_p99 = 0;  // Of short work arriving in the peak.
  int64_t response_p99 = 0;
  int64_t long_time = 0;  // Slot time of finished long work.
  size_t short_refused = 0;
};

Figures Evaluate(const Workload& work, const std::vector<JobResult>& results,
                 Millis max_wait) {
  Figures figures;
  std::vector<int64_t> waits;
  std::vector<int64_t> responses;
  for (size_t i = 0; i < work.jobs.size(); ++i) {
    const Job& job = work.jobs[i];
    const bool finished = results[i].end == JobEnd::kFinished;
    if (work.is_long[i]) {
      if (finished && results[i].finished >= kWarm) {
        figures.long_time += job.service.Count();
      }
      continue;
    }
    if (job.arrival < kPeakStart || job.arrival >= kPeakEnd) continue;
    // Refused and shed requests count with the maximum wait.
    const Millis wait = finished ? results[i].wait : max_wait;
    if (!finished) ++figures.short_refused;
    waits.push_back(wait.Count());
    responses.push_back((wait + job.service).Count());
  }
  figures.wait_p99 = Percentile(waits, 990);
  figures.response_p99 = Percentile(responses, 990);
  return figures;
}

UnclassifiedSlots UnclassifiedFlag() {
  const std::string value = absl::GetFlag(FLAGS_unproven);
  if (value == "any") return UnclassifiedSlots::kAny;
  return UnclassifiedSlots::kUnreserved;
}

// Routes like the agents: the home, the second candidate, then two upstreams
// with reserved slots that depend on the caller only, so that its history
// accumulates there. Each agent decides from its own load and history.
size_t RouteAsAgents(const BucketTable& table,
                     const std::vector<uint32_t>& reserved,
                     const std::vector<RequestScheduler>& schedulers,
                     SchedulerRequest& request) {
  const uint16_t bucket = BucketOf(request.key.flow).Value();
  std::vector<size_t> path = {table.home[bucket]};
  if (table.second[bucket] != kNoUpstream) {
    path.push_back(table.second[bucket]);
  }
  const size_t first_reserved = path.size();
  std::vector<size_t> with_reserved;
  for (size_t i = 0; i < reserved.size(); ++i) {
    if (reserved[i] > 0) with_reserved.push_back(i);
  }
  for (size_t i = 0; i < std::min<size_t>(2, with_reserved.size()); ++i) {
    path.push_back(
        with_reserved[(request.caller.Value() + i) % with_reserved.size()]);
  }
  for (size_t i = 0; i < path.size(); ++i) {
    const RequestScheduler& agent = schedulers[path[i]];
    const auto learned =
        agent.History().LearnedClass(request.key, request.caller);
    if (!request.hint.has_value()) request.hint = learned;
    const bool is_short = request.hint == WorkClass::kShort;
    if (i >= first_reserved && request.hint.has_value() && !is_short) break;
    if (agent.WouldStart(request)) return path[i];
  }
  // Repeatable work without history can be preempted in a reserved slot.
  const bool to_reserved =
      request.hint == WorkClass::kShort ||
      (!request.hint.has_value() &&
       (request.repeatable || UnclassifiedFlag() == UnclassifiedSlots::kAny));
  const auto begin = path.begin() + (to_reserved ? first_reserved : 0);
  const auto end = to_reserved ? path.end() : path.begin() + first_reserved;
  if (begin == end) return path[0];
  return *std::min_element(begin, end, [&](size_t a, size_t b) {
    return schedulers[a].LoadMilli() < schedulers[b].LoadMilli();
  });
}

void Measure(const std::string& scenario, uint32_t upstreams, uint32_t slots,
             uint64_t seed) {
  ServiceView view;
  view.id = ServiceId(1);
  for (uint32_t i = 0; i < upstreams; ++i) {
    UpstreamInfo upstream;
    upstream.instance = InstanceId(100 + i);
    upstream.slots = slots;
    view.upstreams.push_back(upstream);
  }
  const BucketTable table = AssignBuckets(view);
  const std::vector<uint32_t> reserved = ReservedSlots(view);
  const auto run_product = [&](const Workload& work) {
    std::vector<RequestScheduler> schedulers;
    for (uint32_t i = 0; i < upstreams; ++i) {
      SchedulerConfig config;
      config.rules = view.rules;
      config.slots = slots;
      config.reserved_slots = reserved[i];
      config.unclassified = UnclassifiedFlag();
      schedulers.emplace_back(config);
    }
    SchedulerSimulation<RequestScheduler> loop(std::move(schedulers));
    return Evaluate(
        work,
        loop.Run(work.jobs, kEnd,
                 [&](const auto& schedulers, SchedulerRequest& request) {
                   return RouteAsAgents(table, reserved, schedulers, request);
                 }),
        view.rules.max_wait);
  };

  const Workload mixed = MakeWorkload(seed, upstreams * slots, true);
  const Workload only_short = MakeWorkload(seed, upstreams * slots, false);
  const Figures product = run_product(mixed);
  const Figures alone = run_product(only_short);
  SchedulerConfig naive_config;
  naive_config.rules = view.rules;
  naive_config.slots = slots;
  SchedulerSimulation<naive::FcfsQueue> naive_loop(
      std::vector<naive::FcfsQueue>(upstreams, naive::FcfsQueue(naive_config)));
  const Figures naive = Evaluate(
      mixed,
      naive_loop.Run(mixed.jobs, kEnd,
                     [&](const auto& schedulers, SchedulerRequest& request) {
                       return HashFlow(request.key.flow) % schedulers.size();
                     }),
      view.rules.max_wait);

  std::cout << "measure=head_of_line scenario=" << scenario << " seed=" << seed
            << " fresh_permille=" << absl::GetFlag(FLAGS_fresh_permille)
            << " fresh_long_permille="
            << absl::GetFlag(FLAGS_fresh_long_permille)
            << " repeatable=" << absl::GetFlag(FLAGS_repeatable)
            << " unproven=" << absl::GetFlag(FLAGS_unproven)
            << " product_wait_p99_ms=" << product.wait_p99
            << " no_long_wait_p99_ms=" << alone.wait_p99
            << " naive_wait_p99_ms=" << naive.wait_p99
            << " product_response_p99_ms=" << product.response_p99
            << " no_long_response_p99_ms=" << alone.response_p99
            << " naive_response_p99_ms=" << naive.response_p99
            << " product_short_refused=" << product.short_refused
            << " naive_short_refused=" << naive.short_refused
            << " long_throughput_of_naive_permille="
            << product.long_time * 1000 / std::max<int64_t>(naive.long_time, 1)
            << std::endl;
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  for (uint32_t seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
    cornelhill::Measure("one_upstream_2_slots", 1, 2, seed);
    cornelhill::Measure("one_upstream_4_slots", 1, 4, seed);
    cornelhill::Measure("pool_7_upstreams_2_slots", 7, 2, seed);
    cornelhill::Measure("pool_7_upstreams_4_slots", 7, 4, seed);
  }
}
