#include "cornelhill/control/lease_table.h"

#include <algorithm>

#include "cornelhill/control/control_codec.h"

namespace cornelhill {

namespace {

// Delay after which a proposal without effect is repeated.
constexpr Millis kProposalRetryDelay = Millis(2000);

// A collector's session is discarded after this long without a summary.
constexpr Millis kSessionTimeout = Millis(60000);

}  // namespace

LeaseTable::LeaseTable(Millis now, uint64_t term, const ControlState& state)
    : term(term) {
  for (const auto& [instance, known] : state.Upstreams()) {
    this->Grant(now, known.announcement);
  }
}

void LeaseTable::Grant(Millis now, const Announcement& announcement) {
  Lease& lease = this->leases[announcement.instance];
  if (lease.announcement.application != announcement.application) {
    const auto former =
        this->instances_by_application.find(lease.announcement.application);
    if (former != this->instances_by_application.end()) {
      former->second.erase(announcement.instance);
    }
    this->instances_by_application[announcement.application].insert(
        announcement.instance);
  }
  lease = Lease();
  lease.announcement = announcement;
  lease.announcement.sequence = 0;
  lease.expires = now + kLeaseDuration;
  this->pending_removals.erase(announcement.instance);
}

std::optional<Incarnation> LeaseTable::Renew(Millis now,
                                             const ControlState& state,
                                             const Announcement& announcement) {
  const auto found = this->leases.find(announcement.instance);
  const bool has_lease = found != this->leases.end();
  const Incarnation known = std::max(
      state.LastIncarnation(announcement.instance),
      has_lease ? found->second.announcement.incarnation : Incarnation());
  // The agent's own lease expires before the one in this table, and the agent
  // then continues under a new incarnation. A message of the old incarnation is
  // therefore a late one.
  const bool expired =
      announcement.incarnation == known &&
      (has_lease ? found->second.expired_at || found->second.leaving
                 : !state.Upstreams().contains(announcement.instance) &&
                       known != Incarnation());
  if (announcement.incarnation < known || expired) return known;
  Announcement next = announcement;
  next.sequence = 0;
  if (has_lease && found->second.announcement == next) {
    found->second.expires = now + kLeaseDuration;
    return std::nullopt;
  }
  this->Grant(now, next);
  this->pending_joins.insert(announcement.instance);
  this->last_proposed.erase(announcement.instance);
  return std::nullopt;
}

void LeaseTable::Leave(Millis now, const Announcement& announcement) {
  const auto found = this->leases.find(announcement.instance);
  if (found == this->leases.end() ||
      found->second.announcement.incarnation != announcement.incarnation) {
    return;
  }
  found->second.leaving = true;
  found->second.expires = std::min(found->second.expires, now);
  this->pending_removals.insert(announcement.instance);
  this->pending_joins.erase(announcement.instance);
  this->last_proposed.erase(announcement.instance);
}

std::optional<RenewalAck> LeaseTable::OnAnnouncement(
    Millis now, const ControlState& state, const Announcement& announcement) {
  if (now >= this->confirmed_until) return std::nullopt;
  RenewalAck ack;
  ack.instance = announcement.instance;
  ack.incarnation = announcement.incarnation;
  ack.sequence = announcement.sequence;
  const std::optional<Incarnation> known =
      this->Renew(now, state, announcement);
  if (known) {
    ack.status = RenewalStatus::kRefused;
    ack.known = *known;
  }
  return ack;
}

std::optional<SummaryAck> LeaseTable::OnSummary(Millis now,
                                                const ControlState& state,
                                                const DomainSummary& summary) {
  if (now >= this->confirmed_until) return std::nullopt;
  Session& session =
      this->sessions[{summary.failure_domain, summary.collector}];
  if (session.epoch != summary.epoch) {
    session = Session();
    session.epoch = summary.epoch;
  }
  if (summary.number <= session.number) return std::nullopt;
  session.number = summary.number;
  session.last_heard = now;
  SummaryAck ack;
  ack.failure_domain = summary.failure_domain;
  ack.collector = summary.collector;
  ack.epoch = summary.epoch;
  ack.number = summary.number;
  ack.term = this->term;
  if (summary.base > session.version) {
    ack.roster_version = session.version;
    return ack;
  }

  for (const RosterEntry& entry : summary.entries) {
    if (entry.slot >= session.slots.size()) {
      session.slots.resize(entry.slot + 1);
    }
    std::optional<Announcement>& slot = session.slots[entry.slot];
    if (entry.removed) {
      if (slot) this->Leave(now, *slot);
      slot.reset();
    } else {
      slot = entry.announcement;
    }
  }
  session.version = std::max(session.version, summary.roster_version);
  ack.roster_version = session.version;
  for (size_t i = 0; i < session.slots.size(); ++i) {
    if (i / 8 >= summary.renewed.size() || !session.slots[i] ||
        (summary.renewed[i / 8] >> (i % 8) & 1) == 0) {
      continue;
    }
    const Announcement& announcement = *session.slots[i];
    const std::optional<Incarnation> known =
        this->Renew(now, state, announcement);
    if (known) {
      ack.refused.push_back(
          {announcement.instance, announcement.incarnation, *known});
    }
  }
  return ack;
}

void LeaseTable::OnLossReport(Millis now, const LossReport& report) {
  const auto found = this->leases.find(report.instance);
  if (found == this->leases.end() || report.observer == report.instance ||
      found->second.announcement.incarnation != report.incarnation) {
    return;
  }
  found->second.loss_reported_at = now;
}

void LeaseTable::GrantMissingLeases(Millis now, const ControlState& state) {
  if (state.CurrentRevision() == this->last_granted_revision) return;
  this->last_granted_revision = state.CurrentRevision();
  for (const auto& [instance, known] : state.Upstreams()) {
    const auto found = this->leases.find(instance);
    if (found == this->leases.end() || found->second.announcement.incarnation <
                                           known.announcement.incarnation) {
      this->Grant(now, known.announcement);
    }
  }
}

void LeaseTable::MarkExpired(Millis now) {
  for (auto& [instance, lease] : this->leases) {
    if (lease.expired_at || lease.leaving || lease.expires > now) continue;
    lease.expired_at = lease.expires;
    lease.service_leases =
        this->instances_by_application.at(lease.announcement.application)
            .size();
    this->pending_removals.insert(instance);
    this->pending_joins.erase(instance);
  }
}

bool LeaseTable::IsRemovable(Millis now, const Lease& lease) const {
  if (lease.leaving) return true;
  if (!lease.expired_at) return false;
  if (now >= *lease.expired_at + kMassExpiryRemovalDelay) return true;
  // A report that predates the last renewal refers to an earlier loss.
  if (lease.loss_reported_at &&
      *lease.loss_reported_at > *lease.expired_at - kLeaseDuration) {
    return true;
  }
  size_t renewed = 0;
  for (const InstanceId instance :
       this->instances_by_application.at(lease.announcement.application)) {
    const Lease& other = this->leases.at(instance);
    if (!other.expired_at && !other.leaving &&
        other.expires - kLeaseDuration >= *lease.expired_at) {
      ++renewed;
    }
  }
  return 2 * renewed >= lease.service_leases;
}

bool LeaseTable::MayPropose(Millis now, InstanceId instance) {
  const auto found = this->last_proposed.find(instance);
  return found == this->last_proposed.end() ||
         now - found->second >= kProposalRetryDelay;
}

Command LeaseTable::Propose(Millis now, InstanceId instance, Command command) {
  this->last_proposed[instance] = now;
  command.request_id = this->NextRequestId();
  return command;
}

std::string LeaseTable::NextRequestId() {
  return "lease-" + std::to_string(this->term) + "-" +
         std::to_string(++this->proposal_count);
}

std::vector<Command> LeaseTable::OnTick(Millis now, const ControlState& state) {
  std::vector<Command> out;
  this->GrantMissingLeases(now, state);
  this->MarkExpired(now);
  std::erase_if(this->sessions, [now](const auto& session) {
    return now - session.second.last_heard > kSessionTimeout;
  });

  for (auto it = this->pending_joins.begin();
       it != this->pending_joins.end();) {
    const InstanceId instance = *it;
    const Announcement& announcement = this->leases.at(instance).announcement;
    const auto known = state.Upstreams().find(instance);
    if (known != state.Upstreams().end() &&
        known->second.announcement == announcement) {
      this->last_proposed.erase(instance);
      it = this->pending_joins.erase(it);
      continue;
    }
    ++it;
    if (out.size() < kMaxProposalsPerTick && this->MayPropose(now, instance)) {
      out.push_back(
          this->Propose(now, instance, {{}, {}, UpstreamJoin{announcement}}));
    }
  }

  for (auto it = this->pending_removals.begin();
       it != this->pending_removals.end();) {
    const InstanceId instance = *it;
    Lease& lease = this->leases.at(instance);
    const auto known = state.Upstreams().find(instance);
    if (known == state.Upstreams().end()) {
      this->instances_by_application.at(lease.announcement.application)
          .erase(instance);
      this->leases.erase(instance);
      this->last_proposed.erase(instance);
      it = this->pending_removals.erase(it);
      continue;
    }
    ++it;
    const bool removable = this->IsRemovable(now, lease);
    lease.retained = !removable;
    if (out.size() < kMaxProposalsPerTick && removable &&
        this->MayPropose(now, instance)) {
      out.push_back(
          this->Propose(now, instance,
                        {{},
                         {},
                         UpstreamLeave{instance, lease.announcement.incarnation,
                                       !lease.leaving}}));
    }
  }
  std::erase_if(this->instances_by_application,
                [](const auto& entry) { return entry.second.empty(); });
  this->ProposeForgettingLosses(now, state, &out);
  return out;
}

void LeaseTable::ProposeForgettingLosses(Millis now, const ControlState& state,
                                         std::vector<Command>* out) {
  std::map<std::pair<InstanceId, Incarnation>, Millis> present;
  for (const auto& [application, losses] : state.LostUpstreams()) {
    for (const LostUpstream& loss : losses) {
      const std::pair key(loss.instance, loss.incarnation);
      const auto known = this->loss_retained_until.find(key);
      Millis due = known == this->loss_retained_until.end()
                       ? now + kLossRetention
                       : known->second;
      if (now >= due && out->size() < kMaxProposalsPerTick) {
        out->push_back({this->NextRequestId(),
                        {},
                        ForgetLost{loss.instance, loss.incarnation}});
        due = now + kLossRetention;
      }
      present.emplace(key, due);
    }
  }
  this->loss_retained_until = std::move(present);
}

size_t LeaseTable::LiveCount() const {
  return static_cast<size_t>(std::count_if(
      this->leases.begin(), this->leases.end(), [](const auto& entry) {
        return !entry.second.expired_at && !entry.second.leaving;
      }));
}

size_t LeaseTable::RetainedCount() const {
  return static_cast<size_t>(
      std::count_if(this->leases.begin(), this->leases.end(),
                    [](const auto& entry) { return entry.second.retained; }));
}

}  // namespace cornelhill
