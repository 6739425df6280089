#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/route/service_table.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// Whether an agent may decide on new flows of a bucket.
enum class HomeRole : uint8_t {
  kOther,      // Another agent is home.
  kGathering,  // This agent is home but has not gathered all flows yet.
  kActive,     // Only this agent decides.
};

// The agent to which this agent has promised a bucket.
struct BucketFence {
  Revision revision;
  InstanceId holder;
  Incarnation incarnation;
  Endpoint address;
};

// Tracks the buckets whose home is this agent. Agents receive views at
// different times, so two agents may each be home of a bucket by their own
// view. Before an agent decides on flows of a bucket, it queries every other
// agent of its view for the bucket's flows. The reply is also a promise not to
// decide on the bucket under an older revision. Agents that left without a
// reply are fenced by their expired lease and their state is lost: a bucket
// gained after such a loss is in quarantine for the resend lifetime. Not
// thread-safe.
class HomeBuckets {
 public:
  HomeBuckets(InstanceId self, Incarnation incarnation);

  // Sets a new incarnation and discards the result of earlier gathering.
  void Restart(Incarnation incarnation);

  // Applies a route. Requires a higher revision than that of the current one.
  void SetRoute(Millis now, const ServiceRoute& route);

  HomeRole RoleOf(BucketIndex bucket) const;

  // Returns whether a lost agent may have received a resent first packet.
  bool InQuarantine(Millis now, BucketIndex bucket) const;
  size_t QuarantinedCount(Millis now) const;

  // Returns whether the network may still deliver a duplicate, not marked as
  // resent, of a packet that a lost agent has received.
  bool CopiesInTransit(Millis now, BucketIndex bucket) const;

  // Returns the fence of a bucket if its revision is higher than that of this
  // agent's view, otherwise null.
  const BucketFence* FenceOf(BucketIndex bucket) const;

  // Records the promise that the reply to `query` makes.
  void Promise(const DirectoryQuery& query, Endpoint requester);

  // Records a reply page. Returns whether it completes the gathering.
  bool OnReply(const DirectoryReply& reply);

  // Returns the queries to send now. Each is repeated until it is answered.
  std::vector<std::pair<InstanceId, DirectoryQuery>> DueQueries(Millis now);

 private:
  struct Awaited {
    Incarnation incarnation;
    uint32_t page_count = 0;  // 0: no page yet.
    std::set<uint32_t> pages;
  };

  struct BucketState {
    bool home = false;
    Revision gathered;  // 0: never.
    BucketFence fence;
    Millis quarantine_until;
    Millis copies_until;
  };

  struct Loss {
    Millis seen;
    bool replaced = false;  // By a new incarnation before its lease expired.
  };

  void UpdateLosses(Millis now, const ServiceView& view);
  void StartGathering(Millis now, const ServiceRoute& route,
                      const BucketSet& wanted);
  void FinishGathering();
  bool IsGathered(const BucketState& state) const;

  InstanceId self;
  Incarnation incarnation;
  Revision revision;
  ServiceRef service;
  std::array<BucketState, kBucketCount> buckets;
  BucketSet gathering;
  Revision gather_revision;
  std::map<InstanceId, Awaited> awaited;
  Millis next_query;
  std::map<std::pair<InstanceId, Incarnation>, Loss> losses;
};

}  // namespace cornelhill
