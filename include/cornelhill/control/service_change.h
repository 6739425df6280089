#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhill/base/strong_id.h"
#include "cornelhill/route/service_view.h"

namespace cornelhill {

// The services that a process needs, by name or by the application that its
// upstream serves.
struct Subscription {
  bool all = false;
  std::vector<std::string> names;         // Ordered, without duplicates.
  std::vector<std::string> applications;  // Ordered, without duplicates.

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

// What of a service is not an upstream.
struct ServiceHeader {
  Revision revision;  // Of the last change of the header.
  std::string name;
  Endpoint address;
  SchedulingRules rules;
  std::string application;
  std::vector<LostUpstream> lost;
  // Of the last change of `application`. A subscriber to the earlier one is
  // told that the service is gone.
  Revision application_revision;

  bool operator==(const ServiceHeader&) const = default;
};

// How a service changed after some revision; the whole service where `whole`.
struct ServiceChange {
  ServiceId id;
  Incarnation incarnation;
  Revision revision;
  bool whole = false;
  bool removed = false;
  bool has_header = false;
  ServiceHeader header;  // Set where `has_header`.
  std::vector<UpstreamChange> upstreams;
  std::vector<UpstreamRemoval> removals;

  bool operator==(const ServiceChange&) const = default;
};

// How the services of a subscription changed between two revisions. A whole
// update lists every service; services that it does not list do not exist.
struct StoreUpdate {
  Revision from;
  Revision revision;
  bool whole = false;
  std::vector<ServiceChange> services;
  uint64_t hash = 0;  // Of the subscription's services at `revision`.

  bool operator==(const StoreUpdate&) const = default;
};

}  // namespace cornelhill
