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

// A service view with its bucket table. Immutable once made.
struct ServiceRoute {
  explicit ServiceRoute(ServiceView service_view);

  // Returns the position of an upstream in the view, by binary search.
  std::optional<uint16_t> IndexOf(InstanceId instance) const;

  ServiceView view;
  BucketTable buckets;
};

// The services that a balancer fronts, by the address that callers write to.
// Thread-safe; the state is split into shards, each under its own lock.
class ServiceTable {
 public:
  // Applies a view. Returns false, and changes nothing, where the table holds
  // the same or a later revision of the service.
  bool Update(const ServiceView& view);

  // Returns null where no service has the address. Does not allocate.
  std::shared_ptr<const ServiceRoute> Find(const Endpoint& address) const;

  std::vector<std::shared_ptr<const ServiceRoute>> All() const;

 private:
  static constexpr size_t kShards = 16;

  struct Shard {
    mutable std::shared_mutex mutex;
    std::unordered_map<Endpoint, std::shared_ptr<const ServiceRoute>> routes;
  };

  void EraseMoved(const ServiceView& view);

  std::array<Shard, kShards> shards;
};

}  // namespace cornelhill
