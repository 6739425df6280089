#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"

namespace cornelhill {

// Which agent owns a flow, as a balancer last heard.
struct CachedOwner {
  InstanceId instance;
  // Position of the owner in the service's upstreams when it was last looked
  // up; checked before use.
  uint16_t upstream_index = 0;
};

// A bounded cache of flow owners. A miss is never an error: the home agent
// knows the owner. Thread-safe; the state is split into shards, each under its
// own lock. Neither look-up nor insertion allocates.
class FlowCache {
 public:
  // Holds about `capacity` flows, at `kBytesPerFlow` bytes each. Requires
  // capacity > 0.
  explicit FlowCache(size_t capacity);

  std::optional<CachedOwner> Find(const FlowKey& key) const;

  // Adds or replaces; evicts the least recently inserted flow of the set.
  void Insert(const FlowKey& key, const CachedOwner& owner);

  void Erase(const FlowKey& key);

 private:
  static constexpr size_t kShards = 64;
  static constexpr size_t kWays = 4;

  struct Entry {
    FlowKey key;
    uint16_t upstream_index = 0;
    bool used = false;
    uint32_t stamp = 0;
    InstanceId instance;
  };

  struct Shard {
    mutable std::mutex mutex;
    std::vector<Entry> entries;
    uint32_t next_stamp = 0;
  };

  Shard& ShardOf(uint64_t hash) const;
  // Returns the first entry of the set that may hold the flow.
  static Entry* SetOf(Shard& shard, uint64_t hash);

  std::unique_ptr<std::array<Shard, kShards>> shards;

 public:
  static constexpr size_t kBytesPerFlow = sizeof(Entry);
};

}  // namespace cornelhill
