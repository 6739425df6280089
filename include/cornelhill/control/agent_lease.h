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

// Lease lifetime, counted from the renewal.
constexpr Millis kLeaseDuration = Millis(5000);

constexpr Millis kRenewalPeriod = Millis(1000);

// Renewal period while a renewal is unacknowledged.
constexpr Millis kRenewalRetryPeriod = Millis(300);

// A collector that acknowledges nothing for this long after a renewal is
// replaced. The timeout starts at the renewal and not at the last
// acknowledgement, because the regular interval between acknowledgements is up
// to the renewal period plus the summary period. The renewal period, this
// timeout and the first summary of the next collector together take less than
// the lease duration.
constexpr Millis kCollectorTimeout = Millis(1800);

// The agent's side of its lease. The agent counts the lease from the time at
// which it sent the acknowledged renewal, on the clock of the `now` arguments.
// The leader counts it from the later arrival of the renewal, so the agent's
// lease expires first. Not thread-safe.
class AgentLease {
 public:
  // `announcement.incarnation` must exceed that of every earlier run of the
  // agent; the wall-clock time in milliseconds at process start is suitable.
  // `member` describes this process.
  AgentLease(Millis now, const SpreadMember& member,
             const Announcement& announcement, uint64_t seed);

  // Replaces the known members, from which the collector is chosen.
  void SetMembers(Millis now, const std::vector<SpreadMember>& members);

  // Replaces the announcement except for its incarnation and instance.
  void Update(const Announcement& announcement);

  // Returns the messages that are due. Call at `NextTick` or later.
  std::vector<Outgoing> OnTick(Millis now);
  Millis NextTick() const { return this->next_renewal; }

  // Handles an acknowledgement from the collector.
  void OnAck(Millis now, const RenewalAck& ack);

  // Returns a message that tells the collector that the agent leaves
  // permanently. `MayDecide` is false from then on. Call again until `HasLeft`.
  std::vector<Outgoing> Leave(Millis now);
  bool HasLeft() const { return this->left; }

  // Whether the lease permits the agent to decide on new flows.
  bool MayDecide(Millis now) const;

  Incarnation CurrentIncarnation() const {
    return this->announcement.incarnation;
  }

 private:
  void ChooseCollector(Millis now);
  // Time without a reply from the collector since the oldest pending renewal,
  // or zero if no renewal is pending.
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
