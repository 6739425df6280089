#include "cornelhill/route/service_table.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace cornelhill {

ServiceRoute::ServiceRoute(ServiceView service_view)
    : view(std::move(service_view)), buckets(AssignBuckets(this->view)) {}

std::optional<uint16_t> ServiceRoute::IndexOf(InstanceId instance) const {
  const auto& upstreams = this->view.upstreams;
  const auto found =
      std::lower_bound(upstreams.begin(), upstreams.end(), instance,
                       [](const UpstreamInfo& upstream, InstanceId wanted) {
                         return upstream.instance < wanted;
                       });
  if (found == upstreams.end() || found->instance != instance) {
    return std::nullopt;
  }
  return static_cast<uint16_t>(found - upstreams.begin());
}

bool ServiceTable::Update(const ServiceView& view) {
  auto route = std::make_shared<const ServiceRoute>(view);
  const size_t index = std::hash<Endpoint>()(view.address) % kShards;
  {
    Shard& shard = this->shards[index];
    const std::unique_lock lock(shard.mutex);
    auto& slot = shard.routes[view.address];
    if (slot != nullptr && slot->view.revision >= view.revision) return false;
    slot = std::move(route);
  }
  this->EraseMoved(view);
  return true;
}

void ServiceTable::EraseMoved(const ServiceView& view) {
  for (Shard& shard : this->shards) {
    const std::unique_lock lock(shard.mutex);
    std::erase_if(shard.routes, [&view](const auto& item) {
      return item.second->view.id == view.id && item.first != view.address;
    });
  }
}

std::shared_ptr<const ServiceRoute> ServiceTable::Find(
    const Endpoint& address) const {
  const Shard& shard = this->shards[std::hash<Endpoint>()(address) % kShards];
  const std::shared_lock lock(shard.mutex);
  const auto found = shard.routes.find(address);
  return found == shard.routes.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const ServiceRoute>> ServiceTable::All() const {
  std::vector<std::shared_ptr<const ServiceRoute>> routes;
  for (const Shard& shard : this->shards) {
    const std::shared_lock lock(shard.mutex);
    for (const auto& [address, route] : shard.routes) routes.push_back(route);
  }
  return routes;
}

}  // namespace cornelhill
