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

// The decisions of a balancer. It shares nothing with other balancers and holds
// no state that a flow depends on. Thread-safe.
class Balancer {
 public:
  // Requires flow_cache_entries > 0.
  explicit Balancer(size_t flow_cache_entries);

  // Applies a view; an older one changes nothing.
  bool SetView(const ServiceView& view);

  // Returns the agent for a packet, or nothing with `drop` set. Does not
  // allocate; the cost does not grow with the number of upstreams.
  std::optional<RouteDecision> Route(const FlowKey& flow,
                                     RouteDrop* drop) const;

  // Remembers the owner of a flow, where the owner is known in the view.
  void OnOwnerHint(const OwnerHint& hint);

  const ServiceTable& Services() const;

 private:
  ServiceTable services;
  mutable FlowCache flows;
};

}  // namespace cornelhill
