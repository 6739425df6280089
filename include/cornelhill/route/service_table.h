#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

#include "cornelhill/route/bucket_table.h"
#include "cornelhill/route/service_view.h"

namespace cornelhill {

// A service view with its bucket table. Immutable after construction.
struct ServiceRoute {
  explicit ServiceRoute(ServiceView service_view);

  // Returns the index of an upstream in the view, by binary search.
  std::optional<uint16_t> IndexOf(InstanceId instance) const;

  ServiceView view;
  BucketTable buckets;
};

// The services of a balancer, keyed by the address that callers send to.
// Thread-safe; sharded, with one lock per shard.
class ServiceTable {
 public:
  // Applies a view. Returns false, and changes nothing, if the table holds the
  // same or a later revision at its address.
  bool Update(const ServiceView& view);

  // Returns null if no service has the address. Does not allocate.
  std::shared_ptr<const ServiceRoute> Find(const Endpoint& address) const;

  std::vector<std::shared_ptr<const ServiceRoute>> All() const;

 private:
  static constexpr size_t kShards = 16;

  struct Shard {
    mutable std::shared_mutex mutex;
    std::unordered_map<Endpoint, std::shared_ptr<const ServiceRoute>> routes;
  };

  // Removes entries of the service at addresses other than the current one.
  void EraseMoved(const ServiceView& view);

  std::array<Shard, kShards> shards;
};

}  // namespace cornelhill
