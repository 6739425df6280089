#include "cornelhill/turn/turn_scheduler.h"

#include <algorithm>
#include <cassert>

namespace cornelhill {

TurnScheduler::TurnScheduler(const TurnConfig& config) : config(config) {}

void TurnScheduler::Configure(const TurnConfig& new_config) {
  this->config = new_config;
}

std::optional<TurnRefusal> TurnScheduler::Enqueue(Millis now,
                                                  const TurnRequest& request) {
  assert(!this->enqueued.contains(request.key));
  assert(!this->running.contains(request.key));
  if (this->queue.size() >= this->config.rules.max_queued) {
    return TurnRefusal{request.key, Reason::kServiceLimit,
                       this->config.rules.max_wait};
  }
  this->queue.push_back(request);
  this->enqueued.emplace(request.key, now);
  return std::nullopt;
}

std::optional<RequestKey> TurnScheduler::StartNext(Millis now) {
  if (this->queue.empty() || this->running.size() >= this->config.slots) {
    return std::nullopt;
  }
  TurnRequest next = this->queue.front();
  this->queue.pop_front();
  this->enqueued.erase(next.key);
  const RequestKey key = next.key;
  this->running.emplace(key, Running{next, now});
  return key;
}

void TurnScheduler::OnBytes(Millis now, const RequestKey& key, uint32_t bytes) {
  (void)now;
  const auto found = this->running.find(key);
  if (found != this->running.end()) found->second.request.bytes += bytes;
}

void TurnScheduler::Finish(Millis now, const RequestKey& key) {
  (void)now;
  this->running.erase(key);
}

bool TurnScheduler::Cancel(Millis now, const RequestKey& key) {
  (void)now;
  this->running.erase(key);
  if (this->enqueued.erase(key) == 0) return false;
  std::erase_if(this->queue, [&key](const TurnRequest& request) {
    return request.key == key;
  });
  return true;
}

std::vector<TurnRefusal> TurnScheduler::Shed(Millis now) {
  std::vector<TurnRefusal> refusals;
  std::erase_if(this->queue, [&](const TurnRequest& request) {
    const Millis waited = now - this->enqueued.at(request.key);
    const bool late = request.deadline != Millis() && now >= request.deadline;
    if (!late && waited < this->config.rules.max_wait) return false;
    refusals.push_back({request.key,
                        late ? Reason::kDeadline : Reason::kOverload,
                        this->config.rules.max_wait});
    this->enqueued.erase(request.key);
    return true;
  });
  return refusals;
}

std::vector<RequestKey> TurnScheduler::Overrun(Millis now) {
  (void)now;
  return {};
}

uint32_t TurnScheduler::LoadMilli() const {
  const size_t requests = this->queue.size() + this->running.size();
  return static_cast<uint32_t>(requests * 1000 / this->config.slots);
}

bool TurnScheduler::HasSlotForShort() const {
  return this->queue.empty() && this->running.size() < this->config.slots;
}

size_t TurnScheduler::QueuedCount() const { return this->queue.size(); }

size_t TurnScheduler::RunningCount() const { return this->running.size(); }

}  // namespace cornelhill
