#include "cornelhill/control/agent_lease.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelhill {

namespace {

// Number of recent renewals for which an acknowledgement is still accepted.
constexpr size_t kMaxPendingRenewals = 32;

constexpr Millis kCollectorSuspicionPeriod = Millis(15000);

}  // namespace

AgentLease::AgentLease(Millis now, const SpreadMember& member,
                       const Announcement& announcement, uint64_t seed)
    : member(member),
      announcement(announcement),
      random(seed),
      collector_last_reply(now) {
  // A random offset desynchronizes the renewals of agents that start together.
  this->next_renewal =
      now + Millis(static_cast<int64_t>(this->random.Below(
                static_cast<uint64_t>(kRenewalRetryPeriod.Count()))));
}

void AgentLease::SetMembers(Millis now,
                            const std::vector<SpreadMember>& members) {
  this->members = members;
  this->ChooseCollector(now);
}

void AgentLease::Update(const Announcement& announcement) {
  const Incarnation incarnation = this->announcement.incarnation;
  this->announcement = announcement;
  this->announcement.instance = this->member.id;
  this->announcement.incarnation = incarnation;
  this->announced = false;
}

void AgentLease::ChooseCollector(Millis now) {
  std::erase_if(this->suspected_until, [now](const auto& suspicion) {
    return suspicion.second <= now;
  });
  std::set<InstanceId> suspected;
  for (const auto& [id, until] : this->suspected_until) suspected.insert(id);
  const SpreadMember* found =
      CollectorOf(this->member, this->members, suspected);
  if (found == nullptr) {
    this->suspected_until.clear();
    found = CollectorOf(this->member, this->members, {});
  }
  std::optional<SpreadMember> next;
  if (found != nullptr) next = *found;
  if (next == this->collector) return;
  this->collector = next;
  this->collector_last_reply = now;
  this->announced = false;
}

Millis AgentLease::TimeAwaitingReply(Millis now) const {
  if (this->pending_renewals.empty()) return Millis();
  return now - std::max(this->pending_renewals.begin()->second,
                        this->collector_last_reply);
}

bool AgentLease::MayDecide(Millis now) const {
  return !this->leaving && this->lease_start &&
         now < *this->lease_start + kLeaseDuration;
}

void AgentLease::BeginIncarnation(Millis now, Incarnation above) {
  this->announcement.incarnation = Incarnation(
      std::max(above.Value(), this->announcement.incarnation.Value()) + 1);
  // Sequence numbers are not reset, so that an acknowledgement of an earlier
  // incarnation cannot match a renewal of this one.
  this->pending_renewals.clear();
  this->lease_start.reset();
  this->announced = false;
  this->next_renewal = std::min(this->next_renewal, now);
}

std::vector<Outgoing> AgentLease::Renew(Millis now) {
  if (!this->collector) return {};
  ++this->sequence;
  this->pending_renewals[this->sequence] = now;
  if (this->pending_renewals.size() > kMaxPendingRenewals) {
    this->pending_renewals.erase(this->pending_renewals.begin());
  }
  if (this->announced || this->leaving) {
    return {
        {this->collector->id, this->collector->endpoint,
         Renewal{this->announcement.instance, this->announcement.incarnation,
                 this->sequence, this->leaving}}};
  }
  this->announcement.sequence = this->sequence;
  return {{this->collector->id, this->collector->endpoint, this->announcement}};
}

std::vector<Outgoing> AgentLease::OnTick(Millis now) {
  if (this->leaving) return {};
  if (this->lease_start && now >= *this->lease_start + kLeaseDuration) {
    this->BeginIncarnation(now, Incarnation());
  }
  if (this->collector && this->TimeAwaitingReply(now) > kCollectorTimeout) {
    this->suspected_until[this->collector->id] =
        now + kCollectorSuspicionPeriod;
    this->ChooseCollector(now);
    this->collector_last_reply = now;
    this->next_renewal = now;
  }
  if (now < this->next_renewal) return {};
  const bool unacknowledged = !this->pending_renewals.empty();
  const Millis period = unacknowledged ? kRenewalRetryPeriod : kRenewalPeriod;
  const auto max_jitter_ms = static_cast<uint64_t>(period.Count() / 10);
  this->next_renewal =
      now + period -
      Millis(static_cast<int64_t>(this->random.Below(max_jitter_ms)));
  return this->Renew(now);
}

void AgentLease::OnAck(Millis now, const RenewalAck& ack) {
  if (ack.instance != this->announcement.instance ||
      ack.incarnation != this->announcement.incarnation) {
    return;
  }
  this->collector_last_reply = now;
  switch (ack.status) {
    case RenewalStatus::kUnknown:
      if (this->announced) {
        this->announced = false;
        this->next_renewal = std::min(this->next_renewal, now);
      }
      return;
    case RenewalStatus::kRefused:
      if (!this->leaving) this->BeginIncarnation(now, ack.known);
      return;
    case RenewalStatus::kGranted:
      break;
  }
  if (this->leaving) {
    this->left = true;
    return;
  }
  const auto found = this->pending_renewals.find(ack.sequence);
  if (found == this->pending_renewals.end()) return;
  const Millis start = found->second;
  this->pending_renewals.erase(this->pending_renewals.begin(),
                               std::next(found));
  this->announced = true;
  // A late acknowledgement does not revive an expired lease.
  const bool expired =
      now >= start + kLeaseDuration ||
      (this->lease_start && now >= *this->lease_start + kLeaseDuration);
  if (expired) return;
  this->lease_start =
      this->lease_start ? std::max(*this->lease_start, start) : start;
}

std::vector<Outgoing> AgentLease::Leave(Millis now) {
  this->leaving = true;
  return this->Renew(now);
}

}  // namespace cornelhill
