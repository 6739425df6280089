#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/turn/scheduling_rules.h"

namespace cornelhill {

// One upstream of a service, with the agent beside it.
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

// An upstream that left without handing over what it knew. Control forgets it
// once no copy of a packet that it may have seen can arrive any more.
struct LostUpstream {
  InstanceId instance;
  Incarnation incarnation;

  bool operator==(const LostUpstream&) const = default;
};

// Everything that balancers and agents need to know of one service, at one
// revision. Upstreams are ordered by instance id.
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
