#include "cornelhill/route/balancer.h"

namespace cornelhill {

namespace {

RouteDecision DecisionFor(const ServiceRoute& route, uint16_t index) {
  const ServiceView& view = route.view;
  const UpstreamInfo& upstream = view.upstreams[index];
  return RouteDecision{upstream.agent,
                       upstream.incarnation,
                       {view.id, view.incarnation, view.revision}};
}

// Returns the index of a cached owner in the current view.
std::optional<uint16_t> Locate(const ServiceRoute& route,
                               const CachedOwner& owner) {
  const auto& upstreams = route.view.upstreams;
  if (owner.upstream_index < upstreams.size() &&
      upstreams[owner.upstream_index].instance == owner.instance) {
    return owner.upstream_index;
  }
  return route.IndexOf(owner.instance);
}

}  // namespace

Balancer::Balancer(size_t flow_cache_entries) : flows(flow_cache_entries) {}

bool Balancer::SetView(const ServiceView& view) {
  return this->services.Update(view);
}

std::optional<RouteDecision> Balancer::Route(const FlowKey& flow,
                                             RouteDrop* drop) const {
  const auto route = this->services.Find(flow.service);
  if (route == nullptr) {
    *drop = RouteDrop::kUnknownService;
    return std::nullopt;
  }
  if (const auto owner = this->flows.Find(flow)) {
    if (const auto index = Locate(*route, *owner)) {
      RouteDecision decision = DecisionFor(*route, *index);
      decision.from_cache = true;
      return decision;
    }
    this->flows.Erase(flow);
  }
  const uint16_t home = route->buckets.home[BucketOf(flow).Value()];
  if (home == kNoUpstream) {
    *drop = RouteDrop::kNoUpstream;
    return std::nullopt;
  }
  return DecisionFor(*route, home);
}

void Balancer::OnOwnerHint(const OwnerHint& hint) {
  const auto route = this->services.Find(hint.flow.service);
  if (route == nullptr || route->view.id != hint.service) return;
  const auto index = route->IndexOf(hint.owner_instance);
  if (!index.has_value()) return;
  this->flows.Insert(hint.flow, {hint.owner_instance, *index});
}

const ServiceTable& Balancer::Services() const { return this->services; }

}  // namespace cornelhill
