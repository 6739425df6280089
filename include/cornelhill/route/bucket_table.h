#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/route/service_view.h"

namespace cornelhill {

// Marks a bucket without a candidate.
constexpr uint16_t kNoUpstream = 0xffff;

// The candidates of each bucket of a service, as indexes into
// `ServiceView::upstreams`.
struct BucketTable {
  std::array<uint16_t, kBucketCount> home{};
  std::array<uint16_t, kBucketCount> second{};
};

// Assigns each bucket a home and a second candidate by weighted rendezvous with
// a cap per upstream, as a pure function of the view. Draining upstreams get no
// bucket unless all are draining. Thread-safe.
BucketTable AssignBuckets(const ServiceView& view);

// Returns the number of slots that each upstream reserves for short work. The
// reserve of the pool is assigned in rendezvous order; each upstream keeps at
// least one unreserved slot. Thread-safe.
std::vector<uint32_t> ReservedSlots(const ServiceView& view);

}  // namespace cornelhill
