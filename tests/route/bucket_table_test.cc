#include "cornelhill/route/bucket_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

namespace cornelhill {
namespace {

ServiceView ViewOf(int upstreams, uint32_t slots) {
  ServiceView view;
  view.id = ServiceId(1);
  for (int i = 0; i < upstreams; ++i) {
    UpstreamInfo upstream;
    upstream.instance = InstanceId(100 + i);
    upstream.slots = slots;
    view.upstreams.push_back(upstream);
  }
  return view;
}

std::vector<int> HomesPerUpstream(const ServiceView& view) {
  const BucketTable table = AssignBuckets(view);
  std::vector<int> counts(view.upstreams.size(), 0);
  for (const uint16_t home : table.home) ++counts.at(home);
  return counts;
}

// Guards against the imbalance of rendezvous hashing without caps: its largest
// share is about 1.2 times the mean, above the target of 1.10.
Test(bucket_table, homes_are_even) {
  for (const int upstreams : {1, 3, 7, 30}) {
    const std::vector<int> counts = HomesPerUpstream(ViewOf(upstreams, 2));
    const int largest = *std::max_element(counts.begin(), counts.end());
    cr_assert_leq(largest, (kBucketCount + upstreams - 1) / upstreams);
  }
}

// Guards against a second candidate equal to the home, which would leave only
// one choice.
Test(bucket_table, second_differs_from_home) {
  const BucketTable table = AssignBuckets(ViewOf(7, 2));
  for (int bucket = 0; bucket < kBucketCount; ++bucket) {
    cr_assert_neq(table.home[bucket], table.second[bucket]);
  }
}

// Guards against new flows on a draining upstream.
Test(bucket_table, draining_upstream_gets_no_bucket) {
  ServiceView view = ViewOf(7, 2);
  view.upstreams[3].draining = true;
  const BucketTable table = AssignBuckets(view);
  for (int bucket = 0; bucket < kBucketCount; ++bucket) {
    cr_assert_neq(table.home[bucket], 3);
    cr_assert_neq(table.second[bucket], 3);
  }
}

// Guards against a membership change that moves most buckets: each moved bucket
// costs a handover.
Test(bucket_table, removing_an_upstream_moves_few_buckets) {
  const ServiceView before = ViewOf(8, 2);
  ServiceView after = before;
  after.upstreams.pop_back();
  const BucketTable old_table = AssignBuckets(before);
  const BucketTable new_table = AssignBuckets(after);
  int moved = 0;
  for (int bucket = 0; bucket < kBucketCount; ++bucket) {
    if (old_table.home[bucket] != 7 &&
        old_table.home[bucket] != new_table.home[bucket]) {
      ++moved;
    }
  }
  cr_assert_lt(moved, kBucketCount / 4);
}

// Guards against a reserve that leaves an upstream without an unreserved slot
// or takes half of a pool of two-slot upstreams.
Test(bucket_table, reserve_is_a_share_of_the_pool) {
  ServiceView view = ViewOf(7, 2);
  view.rules.short_reserve_permille = 120;
  uint32_t total = 0;
  for (const uint32_t reserved : ReservedSlots(view)) {
    cr_assert_leq(reserved, 1);
    total += reserved;
  }
  cr_assert_eq(total, 2);
}

}  // namespace
}  // namespace cornelhill
