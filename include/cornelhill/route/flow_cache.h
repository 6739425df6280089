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

// The owner of a flow according to the latest owner hint.
struct CachedOwner {
  InstanceId instance;
  // Index of the owner in `ServiceView::upstreams` when the entry was added. A
  // later view may order the upstreams differently, so check it before use.
  uint16_t upstream_index = 0;
};

// A bounded set-associative cache of flow owners. On a miss the packet goes to
// the home agent, which knows the owner. Thread-safe; sharded, with one lock
// per shard. Neither lookup nor insertion allocates.
class FlowCache {
 public:
  // Holds about `capacity` flows, at `kBytesPerFlow` bytes each. Requires
  // capacity > 0.
  explicit FlowCache(size_t capacity);

  std::optional<CachedOwner> Find(const FlowKey& key) const;

  // Adds or replaces an entry. A full set evicts its least recently inserted
  // entry.
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
  // Returns the first entry of the set that `hash` maps to.
  static Entry* SetOf(Shard& shard, uint64_t hash);

  std::unique_ptr<std::array<Shard, kShards>> shards;

 public:
  static constexpr size_t kBytesPerFlow = sizeof(Entry);
};

}  // namespace cornelhill
