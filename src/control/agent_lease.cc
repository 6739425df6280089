#include "cornelhill/control/agent_lease.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelhill {

namespace {

// Renewals whose acknowledgement is still of use.
constexpr size_t kMaxPendingRenewals = 32;

constexpr Millis kCollectorSuspicion = Millis(15000);

}  // namespace

AgentLease::AgentLease(Millis now, const SpreadMember& member,
                       const Announcement& announcement, uint64_t seed)
    : member(member),
      announcement(announcement),
      random(seed),
      collector_heard(now) {
  // Spreads the renewals of agents that start together.
  this->next_renewal =
      now + Millis(static_cast<int64_t>(this->random.Below(
                static_cast<uint64_t>(kHurriedRenewalPeriod.Count()))));
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
  this->collector_heard = now;
  this->announced = false;
}

Millis AgentLease::Waiting(Millis now) const {
  if (this->sent.empty()) return Millis();
  return now - std::max(this->sent.begin()->second, this->collector_heard);
}

bool AgentLease::MayDecide(Millis now) const {
  return !this->leaving && this->lease_start &&
         now < *this->lease_start + kLeaseDuration;
}

void AgentLease::BeginIncarnation(Millis now, Incarnation above) {
  this->announcement.incarnation = Incarnation(
      std::max(above.Value(), this->announcement.incarnation.Value()) + 1);
  // Sequences go on, so that an acknowledgement of an earlier incarnation
  // cannot match a renewal of this one.
  this->sent.clear();
  this->lease_start.reset();
  this->announced = false;
  this->next_renewal = std::min(this->next_renewal, now);
}

std::vector<Outgoing> AgentLease::Renew(Millis now) {
  if (!this->collector) return {};
  ++this->sequence;
  this->sent[this->sequence] = now;
  if (this->sent.size() > kMaxPendingRenewals) {
    this->sent.erase(this->sent.begin());
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
  if (this->collector && this->Waiting(now) > kCollectorSilence) {
    this->suspected_until[this->collector->id] = now + kCollectorSuspicion;
    this->ChooseCollector(now);
    this->collector_heard = now;
    this->next_renewal = now;
  }
  if (now < this->next_renewal) return {};
  const bool hurry = !this->sent.empty();
  const Millis period = hurry ? kHurriedRenewalPeriod : kRenewalPeriod;
  const auto tenth = static_cast<uint64_t>(period.Count() / 10);
  this->next_renewal =
      now + period - Millis(static_cast<int64_t>(this->random.Below(tenth)));
  return this->Renew(now);
}

void AgentLease::OnAck(Millis now, const RenewalAck& ack) {
  if (ack.instance != this->announcement.instance ||
      ack.incarnation != this->announcement.incarnation) {
    return;
  }
  this->collector_heard = now;
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
  const auto found = this->sent.find(ack.sequence);
  if (found == this->sent.end()) return;
  const Millis start = found->second;
  this->sent.erase(this->sent.begin(), std::next(found));
  this->announced = true;
  // The acknowledgement of a lease that is over revives nothing.
  const bool over =
      now >= start + kLeaseDuration ||
      (this->lease_start && now >= *this->lease_start + kLeaseDuration);
  if (over) return;
  this->lease_start =
      this->lease_start ? std::max(*this->lease_start, start) : start;
}

std::vector<Outgoing> AgentLease::Leave(Millis now) {
  this->leaving = true;
  return this->Renew(now);
}

}  // namespace cornelhill
