#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/control/agent_lease.h"
#include "cornelhill/control/command.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/control_state.h"

namespace cornelhill {

// How long an upstream stays where most of its service's leases ended together
// and no second observer confirms the loss.
constexpr Millis kMassExpiryRemovalDelay = Millis(30000);

// How long the loss of an upstream is stated in views. Agents that learn of it
// answer resent requests with care for 10 s; the rest covers distribution.
constexpr Millis kLossRetention = Millis(25000);

// Proposals of one tick.
constexpr size_t kMaxProposalsPerTick = 256;

// The leases of all agents, at the leader. Turns announcements and summaries
// into proposals for the log where membership really changes; a renewal never
// becomes one. Made anew when an instance becomes leader. Not thread-safe.
//
// A lease that has ended removes its upstream once at least half of the leases
// that its service had then were renewed after that, so that they do not end
// within one lease duration. Where most end together, or the leader is cut off
// from all, that does not happen, and the upstream stays for
// `kMassExpiryRemovalDelay` or until a second observer confirms the loss. A
// fixed wait of 1 s after the end of the lease instead removed one upstream of
// seven when the leader was cut off from all of them with 5 % loss before.
class LeaseTable {
 public:
  // Grants every upstream of `state` a full lease, since this leader has not
  // seen their renewals.
  LeaseTable(Millis now, uint64_t term, const ControlState& state);

  // States that no other instance leads before `until`. Leases are granted only
  // up to then: an agent that trusts an acknowledgement of a deposed leader
  // would decide after its successor has given its buckets away.
  void ConfirmLeadership(Millis until) { this->confirmed_until = until; }

  // Handles a summary and returns the reply, or nothing where it is a repeat or
  // leadership is not confirmed.
  std::optional<SummaryAck> OnSummary(Millis now, const ControlState& state,
                                      const DomainSummary& summary);

  // Handles an announcement sent to the leader without a collector.
  std::optional<RenewalAck> OnAnnouncement(Millis now,
                                           const ControlState& state,
                                           const Announcement& announcement);

  // Notes that another process cannot reach the upstream's agent. Alone it
  // removes nothing; it confirms a lease that ended together with most others.
  void OnLossReport(Millis now, const LossReport& report);

  // Returns the changes to propose to the log. A proposal that is not in
  // `state` after 2 s is repeated. Call several times a second.
  std::vector<Command> OnTick(Millis now, const ControlState& state);

  // Leases that have not ended.
  size_t LiveCount() const;
  // Upstreams kept although their lease has ended.
  size_t RetainedCount() const;

 private:
  struct Lease {
    Announcement announcement;
    Millis expires;
    std::optional<Millis> expired_at;
    // Leases of the service at `expired_at`.
    size_t service_leases = 0;
    bool retained = false;
    bool leaving = false;
    std::optional<Millis> loss_reported_at;
  };
  struct Session {
    uint64_t epoch = 0;
    uint64_t number = 0;
    uint64_t version = 0;
    Millis last_heard;
    std::vector<std::optional<Announcement>> slots;
  };

  // Extends or starts a lease. Returns the highest known incarnation where the
  // announced one is refused.
  std::optional<Incarnation> Renew(Millis now, const ControlState& state,
                                   const Announcement& announcement);
  void Leave(Millis now, const Announcement& announcement);
  void Grant(Millis now, const Announcement& announcement);
  // Grants a lease to upstreams that joined by a proposal of another leader;
  // without one they would never expire.
  void GrantMissingLeases(Millis now, const ControlState& state);
  void MarkExpired(Millis now);
  bool IsRemovable(Millis now, const Lease& lease) const;
  std::string NextRequestId();
  void ProposeForgettingLosses(Millis now, const ControlState& state,
                               std::vector<Command>* out);
  bool MayPropose(Millis now, InstanceId instance);
  Command Propose(Millis now, InstanceId instance, Command command);

  uint64_t term;
  Millis confirmed_until;
  // Revision of the state that `GrantMissingLeases` last saw.
  Revision last_granted_revision;
  std::map<InstanceId, Lease> leases;
  std::map<std::string, std::set<InstanceId>> instances_by_application;
  std::map<std::pair<FailureDomainId, InstanceId>, Session> sessions;
  std::set<InstanceId> pending_joins;  // Leases that may differ from the state.
  std::set<InstanceId> pending_removals;  // Expired or leaving.
  std::map<InstanceId, Millis> last_proposed;
  // When each stated loss is to be forgotten.
  std::map<std::pair<InstanceId, Incarnation>, Millis> loss_retained_until;
  uint64_t proposal_count = 0;
};

}  // namespace cornelhill
