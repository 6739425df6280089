#include "cornelhill/control/domain_collector.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cornelhill/control/control_codec.h"

namespace cornelhill {

namespace {

// Number of sent summaries whose acknowledgements are still accepted.
constexpr size_t kMaxPendingSummaries = 8;

// The slot of an agent that has sent nothing for this long may be reused.
constexpr Millis kSlotTimeout = Millis(60000);

}  // namespace

DomainCollector::DomainCollector(Millis now, FailureDomainId failure_domain,
                                 InstanceId self, uint64_t epoch)
    : failure_domain(failure_domain),
      self(self),
      epoch(epoch),
      next_summary(now) {}

DomainCollector::Slot* DomainCollector::FindOrCreateSlot(Millis now,
                                                         InstanceId instance) {
  const auto found = this->slot_of.find(instance);
  if (found != this->slot_of.end()) return &this->slots[found->second];
  uint32_t index = 0;
  while (index < this->slots.size() && this->slots[index].used &&
         now - this->slots[index].last_heard < kSlotTimeout) {
    ++index;
  }
  if (index == this->slots.size()) {
    if (this->slots.size() == kMaxRosterSlots) return nullptr;
    this->slots.emplace_back();
  }
  if (this->slots[index].used) {
    this->slot_of.erase(this->slots[index].announcement.instance);
  }
  this->slots[index] = Slot();
  this->slot_of[instance] = index;
  return &this->slots[index];
}

std::vector<Outgoing> DomainCollector::OnAgent(Millis now, const Endpoint& from,
                                               const ControlMessage& message) {
  const auto reply = [&from](InstanceId instance, Incarnation incarnation,
                             uint64_t sequence, RenewalStatus status,
                             Incarnation known) {
    return std::vector<Outgoing>{
        {instance, from,
         RenewalAck{instance, incarnation, sequence, status, known}}};
  };
  if (const auto* renewal = std::get_if<Renewal>(&message)) {
    const auto found = this->slot_of.find(renewal->instance);
    const Slot* known =
        found == this->slot_of.end() ? nullptr : &this->slots[found->second];
    if (known == nullptr ||
        known->announcement.incarnation < renewal->incarnation) {
      return reply(renewal->instance, renewal->incarnation, renewal->sequence,
                   RenewalStatus::kUnknown, Incarnation());
    }
    Slot& slot = this->slots[found->second];
    if (slot.announcement.incarnation > renewal->incarnation) {
      return reply(renewal->instance, renewal->incarnation, renewal->sequence,
                   RenewalStatus::kRefused, slot.announcement.incarnation);
    }
    slot.last_heard = now;
    slot.endpoint = from;
    slot.last_sequence = std::max(slot.last_sequence, renewal->sequence);
    if (renewal->leaving && !slot.leaving) {
      slot.leaving = true;
      slot.version = ++this->roster_version;
    }
    return {};
  }
  const auto* announcement = std::get_if<Announcement>(&message);
  if (announcement == nullptr) return {};
  Slot* slot = this->FindOrCreateSlot(now, announcement->instance);
  if (slot == nullptr) return {};
  if (slot->used &&
      slot->announcement.incarnation > announcement->incarnation) {
    return reply(announcement->instance, announcement->incarnation,
                 announcement->sequence, RenewalStatus::kRefused,
                 slot->announcement.incarnation);
  }
  Announcement next = *announcement;
  next.sequence = 0;
  if (!slot->used || !(slot->announcement == next)) {
    if (!slot->used || slot->announcement.incarnation != next.incarnation) {
      slot->acked_sequence = 0;
      slot->last_sequence = 0;
      slot->leaving = false;
    }
    slot->used = true;
    slot->announcement = std::move(next);
    slot->version = ++this->roster_version;
  }
  slot->last_heard = now;
  slot->endpoint = from;
  slot->last_sequence = std::max(slot->last_sequence, announcement->sequence);
  return {};
}

std::optional<DomainSummary> DomainCollector::OnTick(Millis now) {
  if (now < this->next_summary) return std::nullopt;
  if (this->slot_of.empty()) {
    this->next_summary = now + kSummaryRetryPeriod;
    return std::nullopt;
  }
  DomainSummary summary;
  summary.failure_domain = this->failure_domain;
  summary.collector = this->self;
  summary.epoch = this->epoch;
  summary.number = ++this->number;
  summary.base = this->acked_version;

  std::vector<uint32_t> changed;
  for (uint32_t i = 0; i < this->slots.size(); ++i) {
    if (this->slots[i].used && this->slots[i].version > this->acked_version) {
      changed.push_back(i);
    }
  }
  std::sort(changed.begin(), changed.end(), [this](uint32_t a, uint32_t b) {
    return this->slots[a].version < this->slots[b].version;
  });
  const bool all = changed.size() <= kMaxSummaryEntries;
  if (!all) changed.resize(kMaxSummaryEntries);
  summary.roster_version =
      all ? this->roster_version : this->slots[changed.back()].version;
  for (const uint32_t i : changed) {
    const Slot& slot = this->slots[i];
    RosterEntry entry{i, slot.leaving, {}};
    if (!slot.leaving) entry.announcement = slot.announcement;
    summary.entries.push_back(std::move(entry));
  }

  SentSummary record;
  record.roster_version = summary.roster_version;
  summary.renewed.assign((this->slots.size() + 7) / 8, '\0');
  for (uint32_t i = 0; i < this->slots.size(); ++i) {
    const Slot& slot = this->slots[i];
    if (!slot.used || slot.version > summary.roster_version ||
        slot.last_sequence <= slot.acked_sequence) {
      continue;
    }
    if (!slot.leaving) {
      summary.renewed[i / 8] =
          static_cast<char>(summary.renewed[i / 8] | 1 << (i % 8));
    }
    record.renewals.push_back(
        {i, slot.announcement.incarnation, slot.last_sequence});
  }
  this->sent[summary.number] = std::move(record);
  if (this->sent.size() > kMaxPendingSummaries) {
    this->sent.erase(this->sent.begin());
  }
  // `OnSummaryAck` extends this to about `kSummaryPeriod`.
  this->next_summary = now + kSummaryRetryPeriod;
  return summary;
}

std::vector<Outgoing> DomainCollector::OnSummaryAck(Millis now,
                                                    const SummaryAck& ack) {
  std::vector<Outgoing> out;
  const auto found = this->sent.find(ack.number);
  if (ack.epoch != this->epoch || ack.collector != this->self ||
      found == this->sent.end() || ack.number <= this->acked_number) {
    return out;
  }
  const SentSummary summary = std::move(found->second);
  this->sent.erase(this->sent.begin(), std::next(found));
  this->acked_number = ack.number;
  // May decrease: a new leader can have an older roster than the previous one.
  this->acked_version = ack.roster_version;
  if (ack.roster_version < summary.roster_version) return out;
  if (this->acked_version == this->roster_version) {
    this->next_summary =
        std::max(this->next_summary,
                 now + kSummaryPeriod - Millis(kSummaryPeriod.Count() / 10));
  }

  std::map<InstanceId, const RefusedLease*> refused;
  for (const RefusedLease& lease : ack.refused) {
    refused[lease.instance] = &lease;
  }
  for (const SentRenewal& renewal : summary.renewals) {
    Slot& slot = this->slots[renewal.slot];
    if (!slot.used || slot.announcement.incarnation != renewal.incarnation) {
      continue;
    }
    slot.acked_sequence = std::max(slot.acked_sequence, renewal.sequence);
    RenewalAck reply;
    reply.instance = slot.announcement.instance;
    reply.incarnation = renewal.incarnation;
    reply.sequence = renewal.sequence;
    const auto refusal = refused.find(reply.instance);
    if (refusal != refused.end() &&
        refusal->second->incarnation == renewal.incarnation) {
      reply.status = RenewalStatus::kRefused;
      reply.known = refusal->second->known;
    }
    out.push_back({reply.instance, slot.endpoint, reply});
    if (slot.leaving && slot.version <= this->acked_version) {
      this->slot_of.erase(slot.announcement.instance);
      slot.used = false;
    }
  }
  return out;
}

}  // namespace cornelhill
