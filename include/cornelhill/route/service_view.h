#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/turn/scheduling_rules.h"

namespace cornelhill {

// One upstream of a service and the address of its agent.
struct UpstreamInfo {
  InstanceId instance;
  Incarnation incarnation;
  Endpoint agent;
  FailureDomainId failure_domain;
  uint32_t slots = 1;
  uint32_t weight = 100;
  bool draining = false;

  bool operator==(const UpstreamInfo&) const = default;
};

// An upstream that left without handing over its state. Control removes the
// entry once no copy of a packet that it may have received can still arrive.
struct LostUpstream {
  InstanceId instance;
  Incarnation incarnation;

  bool operator==(const LostUpstream&) const = default;
};

// The state of one service that balancers and agents use, at one revision.
// Upstreams are sorted by instance id.
struct ServiceView {
  ServiceId id;
  Incarnation incarnation;
  Revision revision;
  std::string name;
  Endpoint address;
  SchedulingRules rules;
  std::vector<UpstreamInfo> upstreams;
  std::vector<LostUpstream> lost;

  bool operator==(const ServiceView&) const = default;
};

}  // namespace cornelhill
