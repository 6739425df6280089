#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cornelhill/observe/event.h"

namespace cornelhill {

// The events that a ring holds and a filter selects.
struct EventPage {
  std::vector<Event> events;  // Ordered by time, then sequence.
  // Number of events that the ring no longer holds, and the time of the oldest
  // one that it holds, whether or not the filter selects it.
  uint64_t overwritten = 0;
  HybridTime oldest;
  // More events matched than the limit; the earliest were left out.
  bool truncated = false;

  bool operator==(const EventPage&) const = default;
};

// The latest events of one process. Bounded: a new event overwrites the oldest.
// Events go to the shards in rotation, so that threads that record at the same
// time seldom wait for each other. Thread-safe.
class EventRing {
 public:
  // Holds `capacity` events, rounded up to a multiple of `shard_count`.
  // Requires both to be positive.
  explicit EventRing(std::string process, size_t capacity = 16384,
                     size_t shard_count = 8);

  // Records an event; `process` and `sequence` of it are ignored. Allocates
  // nothing.
  void Record(const Event& event);

  // Returns the latest `limit` events that the filter selects.
  EventPage Read(const EventFilter& filter, size_t limit) const;

  const std::string& Process() const { return this->process; }

 private:
  struct alignas(64) Shard {
    mutable std::mutex mutex;
    std::vector<Event> events;
  };

  const std::string process;
  const size_t shard_count;
  const size_t shard_capacity;
  std::atomic<uint64_t> recorded = 0;
  const std::unique_ptr<Shard[]> shards;
};

}  // namespace cornelhill
