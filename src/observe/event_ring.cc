#include "cornelhill/observe/event_ring.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace cornelhill {

EventRing::EventRing(std::string process, size_t capacity, size_t shard_count)
    : process(std::move(process)),
      shard_count(shard_count),
      shard_capacity((capacity + shard_count - 1) / shard_count),
      shards(std::make_unique<Shard[]>(shard_count)) {
  assert(capacity > 0);
  for (size_t i = 0; i < shard_count; ++i) {
    this->shards[i].events.resize(this->shard_capacity);
  }
}

void EventRing::Record(const Event& event) {
  const uint64_t index = this->recorded.fetch_add(1, std::memory_order_relaxed);
  Shard& shard = this->shards[index % this->shard_count];
  const std::lock_guard lock(shard.mutex);
  Event& slot = shard.events[index / this->shard_count % this->shard_capacity];
  // A thread that was suspended since it took its index must not overwrite an
  // event of a later round.
  if (slot.sequence > index) return;
  slot.time = event.time;
  slot.sequence = index + 1;
  slot.kind = event.kind;
  slot.flow = event.flow;
  slot.nonce = event.nonce;
  slot.service = event.service;
  slot.upstream = event.upstream;
  slot.revision = event.revision;
  slot.detail = event.detail;
}

EventPage EventRing::Read(const EventFilter& filter, size_t limit) const {
  EventPage page;
  for (size_t i = 0; i < this->shard_count; ++i) {
    const Shard& shard = this->shards[i];
    const std::lock_guard lock(shard.mutex);
    for (const Event& event : shard.events) {
      if (event.sequence == 0) continue;
      if (page.oldest == HybridTime() || event.time < page.oldest) {
        page.oldest = event.time;
      }
      if (Matches(filter, event)) page.events.push_back(event);
    }
  }
  std::sort(page.events.begin(), page.events.end(),
            [](const Event& a, const Event& b) {
              return std::tie(a.time, a.sequence) <
                     std::tie(b.time, b.sequence);
            });
  if (page.events.size() > limit) {
    page.truncated = true;
    page.events.erase(page.events.begin(), page.events.end() - limit);
  }
  for (Event& event : page.events) event.process = this->process;
  const uint64_t count = this->recorded.load(std::memory_order_relaxed);
  const uint64_t capacity = this->shard_count * this->shard_capacity;
  page.overwritten = count > capacity ? count - capacity : 0;
  return page;
}

}  // namespace cornelhill
