#include "cornelhill/agent/home_buckets.h"

#include <algorithm>

#include "cornelhill/agent/deduplication_cache.h"

namespace cornelhill {

namespace {

// The one-way delay between failure domains is 3 to 5 ms, so a lost query or
// reply is repeated after a few round trips.
constexpr Millis kQueryPeriod(50);

// Maximum time that the network delays a duplicate. Only matters for restarted
// agents, which are replaced at once; an expired lease is detected at least 5 s
// after the loss.
constexpr Millis kNetworkCopyLifetime(1000);

}  // namespace

HomeBuckets::HomeBuckets(InstanceId self, Incarnation incarnation)
    : self(self), incarnation(incarnation) {}

void HomeBuckets::Restart(Incarnation new_incarnation) {
  this->incarnation = new_incarnation;
  this->revision = Revision();
  this->gathering.reset();
  this->awaited.clear();
  for (BucketState& state : this->buckets) {
    state.home = false;
    state.gathered = Revision();
  }
}

void HomeBuckets::SetRoute(Millis now, const ServiceRoute& route) {
  this->revision = route.view.revision;
  this->service = {route.view.id, route.view.incarnation, this->revision};
  this->UpdateLosses(now, route.view);
  BucketSet wanted;
  for (uint16_t i = 0; i < kBucketCount; ++i) {
    BucketState& state = this->buckets[i];
    const uint16_t home = route.buckets.home[i];
    const bool is_home = home != kNoUpstream &&
                         route.view.upstreams[home].instance == this->self;
    state.home = is_home;
    if (!is_home) {
      state.gathered = Revision();
      continue;
    }
    if (this->IsGathered(state)) continue;
    // Includes buckets gained earlier and not yet gathered: the reply of the
    // lost upstream will never arrive.
    for (const auto& [lost, loss] : this->losses) {
      state.quarantine_until =
          std::max(state.quarantine_until, loss.seen + kResendLifetime);
      if (!loss.replaced) continue;
      state.copies_until =
          std::max(state.copies_until, loss.seen + kNetworkCopyLifetime);
    }
    wanted.set(i);
  }
  this->StartGathering(now, route, wanted);
}

void HomeBuckets::UpdateLosses(Millis now, const ServiceView& view) {
  for (const LostUpstream& lost : view.lost) {
    const bool replaced =
        std::any_of(view.upstreams.begin(), view.upstreams.end(),
                    [&lost](const UpstreamInfo& upstream) {
                      return upstream.instance == lost.instance;
                    });
    this->losses.emplace(std::pair(lost.instance, lost.incarnation),
                         Loss{now, replaced});
  }
  std::erase_if(this->losses, [&view](const auto& item) {
    return std::none_of(view.lost.begin(), view.lost.end(),
                        [&item](const LostUpstream& lost) {
                          return lost.instance == item.first.first &&
                                 lost.incarnation == item.first.second;
                        });
  });
}

void HomeBuckets::StartGathering(Millis now, const ServiceRoute& route,
                                 const BucketSet& wanted) {
  this->gathering = wanted;
  this->gather_revision = route.view.revision;
  this->awaited.clear();
  this->next_query = now;
  if (wanted.none()) return;
  for (const UpstreamInfo& upstream : route.view.upstreams) {
    if (upstream.instance == this->self) continue;
    this->awaited[upstream.instance].incarnation = upstream.incarnation;
  }
  if (this->awaited.empty()) this->FinishGathering();
}

void HomeBuckets::FinishGathering() {
  for (uint16_t i = 0; i < kBucketCount; ++i) {
    BucketState& state = this->buckets[i];
    if (!this->gathering[i] || state.fence.revision > this->gather_revision) {
      continue;
    }
    state.gathered = this->gather_revision;
  }
  this->gathering.reset();
}

bool HomeBuckets::IsGathered(const BucketState& state) const {
  return state.gathered != Revision() && state.gathered > state.fence.revision;
}

HomeRole HomeBuckets::RoleOf(BucketIndex bucket) const {
  const BucketState& state = this->buckets[bucket.Value()];
  if (!state.home || state.fence.revision > this->revision) {
    return HomeRole::kOther;
  }
  return this->IsGathered(state) ? HomeRole::kActive : HomeRole::kGathering;
}

bool HomeBuckets::InQuarantine(Millis now, BucketIndex bucket) const {
  return now < this->buckets[bucket.Value()].quarantine_until;
}

bool HomeBuckets::CopiesInTransit(Millis now, BucketIndex bucket) const {
  return now < this->buckets[bucket.Value()].copies_until;
}

size_t HomeBuckets::QuarantinedCount(Millis now) const {
  return static_cast<size_t>(
      std::count_if(this->buckets.begin(), this->buckets.end(),
                    [now](const BucketState& state) {
                      return state.home && now < state.quarantine_until;
                    }));
}

const BucketFence* HomeBuckets::FenceOf(BucketIndex bucket) const {
  const BucketFence& fence = this->buckets[bucket.Value()].fence;
  return fence.revision > this->revision ? &fence : nullptr;
}

void HomeBuckets::Promise(const DirectoryQuery& query, Endpoint requester) {
  for (uint16_t i = 0; i < kBucketCount; ++i) {
    BucketFence& fence = this->buckets[i].fence;
    if (!query.buckets[i] || fence.revision >= query.service.revision) continue;
    fence = {query.service.revision, query.requester,
             query.requester_incarnation, requester};
  }
}

bool HomeBuckets::OnReply(const DirectoryReply& reply) {
  if (this->gathering.none() ||
      reply.service.revision != this->gather_revision) {
    return false;
  }
  const auto found = this->awaited.find(reply.responder);
  if (found == this->awaited.end() ||
      found->second.incarnation != reply.responder_incarnation) {
    return false;
  }
  Awaited& from = found->second;
  from.page_count = reply.page_count;
  from.pages.insert(reply.page);
  if (from.pages.size() < from.page_count) return false;
  this->awaited.erase(found);
  if (!this->awaited.empty()) return false;
  this->FinishGathering();
  return true;
}

std::vector<std::pair<InstanceId, DirectoryQuery>> HomeBuckets::DueQueries(
    Millis now) {
  std::vector<std::pair<InstanceId, DirectoryQuery>> queries;
  if (this->awaited.empty() || this->gathering.none() ||
      now < this->next_query) {
    return queries;
  }
  this->next_query = now + kQueryPeriod;
  for (const auto& [instance, awaited_reply] : this->awaited) {
    DirectoryQuery query;
    query.service = this->service;
    query.requester = this->self;
    query.requester_incarnation = this->incarnation;
    query.buckets = this->gathering;
    queries.emplace_back(instance, query);
  }
  return queries;
}

}  // namespace cornelhill
