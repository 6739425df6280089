#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "cornelhill/route/flow_cache.h"
#include "cornelhill/route/service_table.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// Why a balancer dropped a packet.
enum class RouteDrop : uint8_t { kUnknownService, kNoUpstream };

// Where a balancer sends a packet.
struct RouteDecision {
  Endpoint agent;
  Incarnation target;
  ServiceRef service;
  bool from_cache = false;
};

// Selects the agent for each packet. Balancers share no state, and no flow
// depends on the state of one. Thread-safe.
class Balancer {
 public:
  // Requires flow_cache_entries > 0.
  explicit Balancer(size_t flow_cache_entries);

  // Applies a view. Returns false, and changes nothing, unless its revision is
  // higher than that of the view in use.
  bool SetView(const ServiceView& view);

  // Returns the agent for a packet, or nullopt with `drop` set. Does not
  // allocate; the cost does not grow with the number of upstreams.
  std::optional<RouteDecision> Route(const FlowKey& flow,
                                     RouteDrop* drop) const;

  // Caches the owner of a flow. Ignored where the view does not list the owner.
  void OnOwnerHint(const OwnerHint& hint);

  const ServiceTable& Services() const;

 private:
  ServiceTable services;
  mutable FlowCache flows;
};

}  // namespace cornelhill
