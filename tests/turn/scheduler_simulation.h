#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "cornelhill/turn/request_scheduler.h"

namespace cornelhill {

// A simulated request and its service time.
struct Job {
  Millis arrival;
  Millis service;
  SchedulerRequest request;
};

enum class JobEnd : uint8_t { kNone, kFinished, kRefused, kShed, kCancelled };

struct JobResult {
  JobEnd end = JobEnd::kNone;
  Millis wait;  // Until its last start, or until it was refused, shed or
                // cancelled.
  Millis finished;
  uint32_t ends = 0;  // Times it ended; must be one.
  uint32_t starts = 0;
};

// Returns the key of request `number` of a caller's flow.
inline RequestKey KeyOf(uint32_t caller, uint32_t flow, uint32_t number) {
  RequestKey key;
  key.flow = {{0x7f000000 + caller, static_cast<uint16_t>(1 + flow % 60000)},
              {0x7f010001, 80},
              Protocol::kUdp};
  key.nonce = FlowNonce(flow);
  key.number = RequestNumber(number);
  return key;
}

// Simulates schedulers in steps of one millisecond. Jobs must be ordered by
// arrival. Runs until `until` or, if it is zero, until all jobs have ended.
template <typename Scheduler>
class SchedulerSimulation {
 public:
  // Returns the index of the scheduler and may set the hint of the request.
  using Route = std::function<size_t(const std::vector<Scheduler>&,
                                     SchedulerRequest& request)>;
  using Check = std::function<void(Scheduler&, Millis now)>;

  explicit SchedulerSimulation(std::vector<Scheduler> schedulers)
      : schedulers(std::move(schedulers)) {}

  std::vector<JobResult> Run(
      const std::vector<Job>& jobs, Millis until = Millis(),
      const Route& route = [](const auto&,
                              SchedulerRequest&) { return size_t{0}; },
      const Check& check = [](Scheduler&, Millis) {}) {
    this->results.assign(jobs.size(), JobResult());
    this->jobs = &jobs;
    size_t arrived = 0;
    size_t open = jobs.size();
    for (Millis now; until == Millis() ? open > 0 : now < until;
         now += Millis(1)) {
      const size_t ended_before = this->ended;
      this->FinishDue(now);
      for (; arrived < jobs.size() && jobs[arrived].arrival <= now; ++arrived) {
        SchedulerRequest request = jobs[arrived].request;
        const size_t upstream = route(this->schedulers, request);
        this->open[request.key] = {arrived, upstream};
        const auto refusal = this->schedulers[upstream].Enqueue(now, request);
        if (refusal.has_value()) this->End(now, request.key, JobEnd::kRefused);
      }
      for (size_t i = 0; i < this->schedulers.size(); ++i) {
        this->Step(now, i);
        check(this->schedulers[i], now);
      }
      open -= this->ended - ended_before;
    }
    return this->results;
  }

  // Cancels an open job. Returns false if the job has not arrived or has ended.
  bool Cancel(Millis now, size_t job) {
    const RequestKey& key = (*this->jobs)[job].request.key;
    const auto found = this->open.find(key);
    if (found == this->open.end()) return false;
    this->schedulers[found->second.upstream].Cancel(now, key);
    this->End(now, key, JobEnd::kCancelled);
    return true;
  }

  // Jobs that hold a slot, tracked independently of the schedulers.
  const std::set<size_t>& RunningJobs() const { return this->running; }
  // Keys in the order of their starts.
  const std::vector<RequestKey>& StartOrder() const { return this->order; }

  std::vector<Scheduler>& Schedulers() { return this->schedulers; }

 private:
  struct Open {
    size_t job = 0;
    size_t upstream = 0;
  };
  struct Due {
    Millis when;
    RequestKey key;
    uint32_t start = 0;  // Identifies stale entries of requeued requests.
    bool operator<(const Due& other) const { return this->when > other.when; }
  };

  void End(Millis now, const RequestKey& key, JobEnd end) {
    JobResult& result = this->results[this->open.at(key).job];
    const Job& job = (*this->jobs)[this->open.at(key).job];
    result.end = end;
    ++result.ends;
    if (end == JobEnd::kFinished) {
      result.finished = now;
    } else {
      result.wait = now - job.arrival;
    }
    this->running.erase(this->open.at(key).job);
    this->open.erase(key);
    ++this->ended;
  }

  void FinishDue(Millis now) {
    while (!this->due.empty() && this->due.front().when <= now) {
      const Due next = this->due.front();
      std::pop_heap(this->due.begin(), this->due.end());
      this->due.pop_back();
      const auto found = this->open.find(next.key);
      if (found == this->open.end() ||
          this->results[found->second.job].starts != next.start) {
        continue;
      }
      this->schedulers[found->second.upstream].Finish(now, next.key);
      this->End(now, next.key, JobEnd::kFinished);
    }
  }

  void Step(Millis now, size_t upstream) {
    Scheduler& scheduler = this->schedulers[upstream];
    for (const RequestKey& key : scheduler.CollectPreemptible(now)) {
      scheduler.Cancel(now, key);
      const size_t index = this->open.at(key).job;
      this->running.erase(index);
      this->results[index].starts += 1000;  // Invalidates its entry in `due`.
      SchedulerRequest request = (*this->jobs)[index].request;
      request.hint = WorkClass::kLong;
      if (scheduler.Enqueue(now, request).has_value()) {
        this->End(now, key, JobEnd::kRefused);
      }
    }
    for (const SchedulerRefusal& refusal : scheduler.Shed(now)) {
      this->End(now, refusal.key, JobEnd::kShed);
    }
    while (const auto key = scheduler.StartNext(now)) {
      const size_t index = this->open.at(*key).job;
      JobResult& result = this->results[index];
      result.wait = now - (*this->jobs)[index].arrival;
      ++result.starts;
      this->running.insert(index);
      this->order.push_back(*key);
      this->due.push_back(
          {now + (*this->jobs)[index].service, *key, result.starts});
      std::push_heap(this->due.begin(), this->due.end());
    }
  }

  std::vector<Scheduler> schedulers;
  const std::vector<Job>* jobs = nullptr;
  std::vector<JobResult> results;
  std::unordered_map<RequestKey, Open> open;
  std::vector<Due> due;
  std::set<size_t> running;
  std::vector<RequestKey> order;
  size_t ended = 0;
};

// Returns the percentile at `permille` thousandths, or 0 if there are no
// values.
inline int64_t Percentile(std::vector<int64_t> values, size_t permille) {
  if (values.empty()) return 0;
  const size_t index =
      std::min(values.size() - 1, values.size() * permille / 1000);
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[index];
}

inline void SortByArrival(std::vector<Job>& jobs) {
  std::stable_sort(jobs.begin(), jobs.end(), [](const Job& a, const Job& b) {
    return a.arrival < b.arrival;
  });
}

}  // namespace cornelhill
