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

// Delay before the removal of an upstream whose lease expired together with
// most leases of its service, if no second observer confirms the loss.
constexpr Millis kMassExpiryRemovalDelay = Millis(30000);

// How long service views list a lost upstream. Agents that learn of the loss
// handle resent requests cautiously for 10 s; the rest covers distribution.
constexpr Millis kLossRetention = Millis(25000);

constexpr size_t kMaxProposalsPerTick = 256;

// The leases of all agents, kept by the leader. Turns announcements and
// summaries into log proposals only if they change the membership; a renewal is
// never proposed. Each new leader starts with a new table. Not thread-safe.
//
// An upstream whose lease expired is removed once at least half of the leases
// that its service had at that time were renewed after the expiry, which shows
// that they do not all expire within one lease duration. If most of them do, or
// the leader is disconnected from all agents, the upstream stays for
// `kMassExpiryRemovalDelay` or until a second observer confirms the loss. With
// a fixed delay of 1 s after the expiry instead, one upstream of seven was
// removed when the leader was disconnected from all of them after 5 % message
// loss.
class LeaseTable {
 public:
  // Grants every upstream of `state` a full lease, since this leader has not
  // received their renewals.
  LeaseTable(Millis now, uint64_t term, const ControlState& state);

  // States that no other instance leads before `until`. Leases are granted only
  // until then: an agent that relied on an acknowledgement of a deposed leader
  // would decide on flows after the successor had reassigned its buckets.
  void ConfirmLeadership(Millis until) { this->confirmed_until = until; }

  // Handles a summary and returns the acknowledgement, or nothing if the
  // summary is a duplicate or leadership is not confirmed.
  std::optional<SummaryAck> OnSummary(Millis now, const ControlState& state,
                                      const DomainSummary& summary);

  // Handles an announcement sent to the leader without a collector. Returns
  // nothing if leadership is not confirmed.
  std::optional<RenewalAck> OnAnnouncement(Millis now,
                                           const ControlState& state,
                                           const Announcement& announcement);

  // Records that another process cannot reach the upstream's agent. A report
  // alone removes nothing; it confirms the loss of an upstream whose lease
  // expired together with most others.
  void OnLossReport(Millis now, const LossReport& report);

  // Returns the commands to propose to the log. A proposal that is not in
  // `state` after 2 s is repeated. Call several times a second.
  std::vector<Command> OnTick(Millis now, const ControlState& state);

  // Number of leases that are neither expired nor leaving.
  size_t LiveCount() const;
  // Number of upstreams retained after their lease expired.
  size_t RetainedCount() const;

 private:
  struct Lease {
    Announcement announcement;
    Millis expires;
    std::optional<Millis> expired_at;
    // Number of leases of the service at `expired_at`.
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

  // Extends or starts a lease. Returns the highest known incarnation if the
  // announced one is refused.
  std::optional<Incarnation> Renew(Millis now, const ControlState& state,
                                   const Announcement& announcement);
  void Leave(Millis now, const Announcement& announcement);
  void Grant(Millis now, const Announcement& announcement);
  // Grants a lease to upstreams whose join was proposed by another leader;
  // without a lease they would never expire.
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
  // When the removal of each lost upstream from the views is proposed.
  std::map<std::pair<InstanceId, Incarnation>, Millis> loss_retained_until;
  uint64_t proposal_count = 0;
};

}  // namespace cornelhill
