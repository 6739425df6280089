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
  kGathering,  // This agent is home but does not know all flows yet.
  kActive,     // This agent alone decides.
};

// The agent that a bucket was promised to.
struct BucketFence {
  Revision revision;
  InstanceId holder;
  Incarnation incarnation;
  Endpoint address;
};

// Decides for which buckets an agent is home. Views arrive unevenly, so two
// agents may both be home by the view they have. Before an agent decides it
// asks every other agent of its view what it knows of the bucket's flows; the
// reply is also a promise not to decide on the bucket under an older revision.
// Agents that left without a reply are fenced by their expired lease, and what
// they knew is lost: a bucket gained after such a loss is in quarantine for the
// resend lifetime. Not thread-safe.
class HomeBuckets {
 public:
  HomeBuckets(InstanceId self, Incarnation incarnation);

  // Takes a new life: nothing gathered before counts any more.
  void Restart(Incarnation incarnation);

  // Applies a route of a higher revision than the one before.
  void SetRoute(Millis now, const ServiceRoute& route);

  HomeRole RoleOf(BucketIndex bucket) const;

  // Whether a resent first packet may have been seen by a lost agent.
  bool InQuarantine(Millis now, BucketIndex bucket) const;
  size_t QuarantinedCount(Millis now) const;

  // Whether the network may still deliver a second copy, not marked as resent,
  // of a packet that a lost agent has seen.
  bool CopiesInTransit(Millis now, BucketIndex bucket) const;

  // Returns the holder of a promise that is newer than this agent's view, or
  // null.
  const BucketFence* FenceOf(BucketIndex bucket) const;

  // Records the promise that a query asks for.
  void Promise(const DirectoryQuery& query, Endpoint requester);

  // Counts a reply page. Returns whether the gathering is complete with it.
  bool OnReply(const DirectoryReply& reply);

  // Returns the queries to send now; each is repeated until it is answered.
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
    bool replaced = false;  // By a new life before its lease had expired.
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
