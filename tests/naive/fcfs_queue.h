#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

#include "cornelhill/turn/request_scheduler.h"

namespace cornelhill::naive {

// First come, first served (FCFS) on one upstream, as a baseline: the oldest
// request takes any free slot. Refuses only if the queue is full and sheds only
// by time waited.
class FcfsQueue {
 public:
  explicit FcfsQueue(const SchedulerConfig& config) : config(config) {}

  std::optional<SchedulerRefusal> Enqueue(Millis now,
                                          const SchedulerRequest& request) {
    if (this->queue.size() >= this->config.rules.max_queued) {
      return SchedulerRefusal{request.key, Reason::kServiceLimit, Millis()};
    }
    this->queue.push_back({request.key, now});
    return std::nullopt;
  }

  std::optional<RequestKey> StartNext(Millis) {
    if (this->queue.empty() || this->running.size() >= this->config.slots) {
      return std::nullopt;
    }
    const RequestKey key = this->queue.front().key;
    this->queue.pop_front();
    this->running.insert(key);
    return key;
  }

  void Finish(Millis, const RequestKey& key) { this->running.erase(key); }
  bool Cancel(Millis, const RequestKey& key) {
    this->running.erase(key);
    return std::erase_if(this->queue, [&key](const Waiting& waiting) {
             return waiting.key == key;
           }) > 0;
  }

  std::vector<SchedulerRefusal> Shed(Millis now) {
    std::vector<SchedulerRefusal> refusals;
    while (!this->queue.empty() &&
           now - this->queue.front().queued >= this->config.rules.max_wait) {
      refusals.push_back(
          {this->queue.front().key, Reason::kOverload, Millis()});
      this->queue.pop_front();
    }
    return refusals;
  }

  std::vector<RequestKey> CollectPreemptible(Millis) { return {}; }
  bool WouldStart(const SchedulerRequest&) const {
    return this->queue.empty() && this->running.size() < this->config.slots;
  }
  uint32_t LoadMilli() const {
    return static_cast<uint32_t>((this->queue.size() + this->running.size()) *
                                 1000 / this->config.slots);
  }
  size_t QueuedCount() const { return this->queue.size(); }
  size_t RunningCount() const { return this->running.size(); }

 private:
  struct Waiting {
    RequestKey key;
    Millis queued;
  };
  SchedulerConfig config;
  std::deque<Waiting> queue;
  std::unordered_set<RequestKey> running;
};

}  // namespace cornelhill::naive
