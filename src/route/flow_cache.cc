#include "cornelhill/route/flow_cache.h"

#include <algorithm>
#include <cassert>

namespace cornelhill {

FlowCache::FlowCache(size_t capacity)
    : shards(std::make_unique<std::array<Shard, kShards>>()) {
  assert(capacity > 0);
  const size_t sets = (capacity + kShards * kWays - 1) / (kShards * kWays);
  for (Shard& shard : *this->shards) shard.entries.resize(sets * kWays);
}

FlowCache::Shard& FlowCache::ShardOf(uint64_t hash) const {
  return (*this->shards)[hash % kShards];
}

FlowCache::Entry* FlowCache::SetOf(Shard& shard, uint64_t hash) {
  const size_t sets = shard.entries.size() / kWays;
  return &shard.entries[(hash / kShards) % sets * kWays];
}

std::optional<CachedOwner> FlowCache::Find(const FlowKey& key) const {
  const uint64_t hash = HashFlow(key);
  Shard& shard = this->ShardOf(hash);
  const std::lock_guard lock(shard.mutex);
  const Entry* set = SetOf(shard, hash);
  for (size_t way = 0; way < kWays; ++way) {
    if (set[way].used && set[way].key == key) {
      return CachedOwner{set[way].instance, set[way].upstream_index};
    }
  }
  return std::nullopt;
}

void FlowCache::Insert(const FlowKey& key, const CachedOwner& owner) {
  const uint64_t hash = HashFlow(key);
  Shard& shard = this->ShardOf(hash);
  const std::lock_guard lock(shard.mutex);
  Entry* set = SetOf(shard, hash);
  Entry* target = &set[0];
  for (size_t way = 0; way < kWays; ++way) {
    if (set[way].used && set[way].key == key) {
      target = &set[way];
      break;
    }
    if (!target->used) continue;
    if (!set[way].used || set[way].stamp < target->stamp) target = &set[way];
  }
  *target = Entry{key, owner.upstream_index, true, ++shard.next_stamp,
                  owner.instance};
}

void FlowCache::Erase(const FlowKey& key) {
  const uint64_t hash = HashFlow(key);
  Shard& shard = this->ShardOf(hash);
  const std::lock_guard lock(shard.mutex);
  Entry* set = SetOf(shard, hash);
  for (size_t way = 0; way < kWays; ++way) {
    if (set[way].used && set[way].key == key) set[way].used = false;
  }
}

}  // namespace cornelhill
