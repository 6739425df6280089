#include "cornelhill/route/bucket_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "cornelhill/base/hash.h"

namespace cornelhill {

namespace {

struct Candidate {
  uint16_t index = 0;
  double score = 0;
};

// Returns the weighted rendezvous score. Each upstream has the highest score
// for a share of the keys that is proportional to its weight.
double Score(ServiceId service, uint16_t bucket, const UpstreamInfo& upstream) {
  const uint64_t key =
      HashCombine(uint64_t{service.Value()} << 16 | bucket, 0x6275636b6574);
  const uint64_t hash = HashCombine(key, upstream.instance.Value());
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return -static_cast<double>(upstream.weight) / std::log(unit);
}

std::vector<uint16_t> Eligible(const ServiceView& view) {
  std::vector<uint16_t> active;
  std::vector<uint16_t> all;
  const auto count = static_cast<uint16_t>(view.upstreams.size());
  for (uint16_t i = 0; i < count; ++i) {
    if (view.upstreams[i].weight == 0) continue;
    all.push_back(i);
    if (!view.upstreams[i].draining) active.push_back(i);
  }
  return active.empty() ? all : active;
}

// Returns the maximum number of buckets that each upstream may be home of.
std::vector<uint32_t> BucketCaps(const ServiceView& view,
                                 const std::vector<uint16_t>& eligible) {
  uint64_t total = 0;
  for (const uint16_t i : eligible) total += view.upstreams[i].weight;
  std::vector<uint32_t> caps(view.upstreams.size(), 0);
  for (const uint16_t i : eligible) {
    const uint64_t share = uint64_t{kBucketCount} * view.upstreams[i].weight;
    caps[i] = static_cast<uint32_t>((share + total - 1) / total);
  }
  return caps;
}

}  // namespace

BucketTable AssignBuckets(const ServiceView& view) {
  BucketTable table;
  table.home.fill(kNoUpstream);
  table.second.fill(kNoUpstream);
  const std::vector<uint16_t> eligible = Eligible(view);
  if (eligible.empty()) return table;

  std::vector<uint32_t> room = BucketCaps(view, eligible);
  std::vector<Candidate> order;
  for (uint16_t bucket = 0; bucket < kBucketCount; ++bucket) {
    order.clear();
    for (const uint16_t i : eligible) {
      order.push_back({i, Score(view.id, bucket, view.upstreams[i])});
    }
    std::sort(
        order.begin(), order.end(), [](const Candidate& a, const Candidate& b) {
          return a.score != b.score ? a.score > b.score : a.index < b.index;
        });
    for (const Candidate& candidate : order) {
      if (table.home[bucket] == kNoUpstream && room[candidate.index] > 0) {
        table.home[bucket] = candidate.index;
        --room[candidate.index];
      } else if (table.second[bucket] == kNoUpstream) {
        table.second[bucket] = candidate.index;
      }
    }
  }
  return table;
}

std::vector<uint32_t> ReservedSlots(const ServiceView& view) {
  const std::vector<uint16_t> eligible = Eligible(view);
  std::vector<uint32_t> reserved(view.upstreams.size(), 0);
  uint64_t slots = 0;
  for (const uint16_t i : eligible) slots += view.upstreams[i].slots;
  uint64_t wanted = (slots * view.rules.short_reserve_permille + 999) / 1000;

  std::vector<Candidate> order;
  for (const uint16_t i : eligible) {
    order.push_back({i, Score(view.id, kBucketCount, view.upstreams[i])});
  }
  std::sort(
      order.begin(), order.end(),
      [](const Candidate& a, const Candidate& b) { return a.score > b.score; });
  bool placed = true;
  while (wanted > 0 && placed) {
    placed = false;
    for (const Candidate& candidate : order) {
      const UpstreamInfo& upstream = view.upstreams[candidate.index];
      if (wanted == 0 || reserved[candidate.index] + 1 >= upstream.slots) {
        continue;
      }
      ++reserved[candidate.index];
      --wanted;
      placed = true;
    }
  }
  return reserved;
}

}  // namespace cornelhill
