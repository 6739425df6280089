#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/outgoing.h"
#include "cornelhill/control/spread_tree.h"

namespace cornelhill {

// How long a lease lasts from the renewal.
constexpr Millis kLeaseDuration = Millis(5000);

constexpr Millis kRenewalPeriod = Millis(1000);

// Time until the next renewal while the last one is not acknowledged.
constexpr Millis kRenewalRetryPeriod = Millis(300);

// A collector that has acknowledged nothing for this long since a renewal is
// replaced. Counted from a renewal and not from the last acknowledgement, whose
// regular gap reaches the renewal and the summary period together. Renewal
// period, silence and the next collector's first summary together stay below
// the lease duration.
constexpr Millis kCollectorTimeout = Millis(1800);

// The agent's side of its lease. The lease counts from before the acknowledged
// renewal was sent, by the clock that the caller passes; the leader counts from
// the later arrival, so that the agent's lease ends first. Not thread-safe.
class AgentLease {
 public:
  // `announcement.incarnation` is above that of every earlier life; a wall
  // clock in milliseconds at the start of the process serves. `member` is the
  // process itself.
  AgentLease(Millis now, const SpreadMember& member,
             const Announcement& announcement, uint64_t seed);

  // Replaces what is known of the members, among which a collector is chosen.
  void SetMembers(Millis now, const std::vector<SpreadMember>& members);

  // Changes what is announced. Incarnation and instance stay.
  void Update(const Announcement& announcement);

  // Sends what is due. Call at `NextTick` or later.
  std::vector<Outgoing> OnTick(Millis now);
  Millis NextTick() const { return this->next_renewal; }

  // Handles the collector's acknowledgement.
  void OnAck(Millis now, const RenewalAck& ack);

  // Tells the collector that the agent leaves for good; the agent decides
  // nothing from then on. Repeat until `HasLeft`.
  std::vector<Outgoing> Leave(Millis now);
  bool HasLeft() const { return this->left; }

  // Whether the agent may decide on new flows.
  bool MayDecide(Millis now) const;

  Incarnation CurrentIncarnation() const {
    return this->announcement.incarnation;
  }

 private:
  void ChooseCollector(Millis now);
  // Time since the collector owes a reply.
  Millis TimeAwaitingReply(Millis now) const;
  void BeginIncarnation(Millis now, Incarnation above);
  std::vector<Outgoing> Renew(Millis now);

  SpreadMember member;
  Announcement announcement;
  Random random;
  std::vector<SpreadMember> members;
  std::map<InstanceId, Millis> suspected_until;
  std::optional<SpreadMember> collector;
  Millis collector_last_reply;
  Millis next_renewal;
  uint64_t sequence = 0;
  // Send time of each unacknowledged renewal, by sequence.
  std::map<uint64_t, Millis> pending_renewals;
  std::optional<Millis> lease_start;
  bool announced = false;  // Whether the collector knows the announcement.
  bool leaving = false;
  bool left = false;
};

}  // namespace cornelhill
