#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhill/base/strong_id.h"
#include "cornelhill/route/service_view.h"

namespace cornelhill {

// The services that a process needs, by name or by application: an agent needs
// the service of the application that its upstream serves.
struct Subscription {
  bool all = false;
  std::vector<std::string> names;         // Sorted, without duplicates.
  std::vector<std::string> applications;  // Sorted, without duplicates.

  bool operator==(const Subscription&) const = default;
};

// An upstream with the revision of its last change.
struct UpstreamChange {
  UpstreamInfo upstream;
  Revision revision;

  bool operator==(const UpstreamChange&) const = default;
};

// An upstream that left a service.
struct UpstreamRemoval {
  InstanceId instance;
  Revision revision;

  bool operator==(const UpstreamRemoval&) const = default;
};

// The fields of a service other than its upstreams.
struct ServiceHeader {
  Revision revision;  // Of the last change of the header.
  std::string name;
  Endpoint address;
  SchedulingRules rules;
  std::string application;
  std::vector<LostUpstream> lost;
  // Of the last change of `application`. Subscribers to the previous
  // application are sent a removal of the service.
  Revision application_revision;

  bool operator==(const ServiceHeader&) const = default;
};

// The changes to a service since some revision, or the full service if `whole`.
struct ServiceChange {
  ServiceId id;
  Incarnation incarnation;
  Revision revision;
  bool whole = false;
  bool removed = false;
  bool has_header = false;
  ServiceHeader header;  // Set if `has_header`.
  std::vector<UpstreamChange> upstreams;
  std::vector<UpstreamRemoval> removals;

  bool operator==(const ServiceChange&) const = default;
};

// The changes to the services of a subscription between two revisions. A full
// update (`whole`) lists every service; the receiver removes all others.
struct StoreUpdate {
  Revision from;
  Revision revision;
  bool whole = false;
  std::vector<ServiceChange> services;
  uint64_t hash = 0;  // Of the subscription's services at `revision`.

  bool operator==(const StoreUpdate&) const = default;
};

}  // namespace cornelhill
