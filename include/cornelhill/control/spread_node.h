#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/outgoing.h"
#include "cornelhill/control/service_store.h"
#include "cornelhill/control/spread_tree.h"

namespace cornelhill {

// Interval between digests; each is jittered by up to 10% either way.
constexpr Millis kDigestPeriod = Millis(1000);

// Digest interval of a process that has no configuration in effect yet.
constexpr Millis kStartupDigestPeriod = Millis(250);

// A parent that has not replied for this long is replaced. This spans five
// digests: with 10% of the round trips lost, a live parent is replaced once in
// 100,000 s.
constexpr Millis kParentTimeout = Millis(5000);

// Timeout for a new parent that has not replied yet.
constexpr Millis kNewParentTimeout = Millis(3000);

// A suspected parent is excluded for this period, which doubles with each
// repeated suspicion up to the maximum. With a fixed 15 s, a process whose next
// five parents had all failed retried the first before it reached the last.
constexpr Millis kInitialSuspicionPeriod = Millis(30000);
constexpr Millis kMaxSuspicionPeriod = Millis(480000);

// Minimum interval between unsolicited updates to one child.
constexpr Millis kPushInterval = Millis(100);

// A control instance whose last quorum confirmation is older than this must not
// confirm updates to its children.
constexpr Millis kMaxConfirmationAge = Millis(5000);

// Number of rejected updates by reason, for metrics.
struct SpreadCounters {
  uint64_t lower_term = 0;
  uint64_t lower_revision = 0;
  uint64_t unconfirmed = 0;
  uint64_t gaps = 0;
  uint64_t mismatches = 0;
  uint64_t not_parent = 0;
};

// One process in the distribution tree: applies updates from its parent and
// forwards them to its children. The leader's node is the root and gets its
// data from `Publish`; the nodes of the other control instances are its
// children.
//
// A node never moves to a lower term or revision. A node with nothing in
// effect accepts only updates that a quorum confirmed after the node was
// constructed: whatever the process had in effect before a restart was
// confirmed earlier and so cannot be higher. The node computes the time of
// confirmation by subtracting the age that the parent reports from the time at
// which it sent the digest that the parent replies to; clocks of different
// processes are not compared.
//
// Not thread-safe. `now` must not decrease between calls.
class SpreadNode {
 public:
  // `subscription` is what this process itself needs. `seed` must differ after
  // each restart of a process.
  SpreadNode(Millis now, const SpreadMember& self,
             const Subscription& subscription, uint64_t seed);

  // Replaces the list of known members.
  void SetMembers(Millis now, const std::vector<SpreadMember>& members);

  // Sets the leader, or `nullopt` while none is known. Needed only at control
  // instances.
  void SetLeader(Millis now, std::optional<InstanceId> leader);

  // Replaces the subscription of this process itself.
  void Subscribe(const Subscription& subscription);

  // Puts `store` into effect and returns updates to children. Call only at the
  // leader, after each change and at least once a second. A quorum must have
  // confirmed the current revision of `store` in `term`, in a round that began
  // at `confirmed_at`. A lower term or revision than the one in effect is
  // ignored.
  std::vector<Outgoing> Publish(Millis now, uint64_t term,
                                const ServiceStore& store, Millis confirmed_at);

  // Handles a digest or an update; ignores other messages. Replies go to
  // `from`, the sender's endpoint.
  std::vector<Outgoing> OnMessage(Millis now, const Endpoint& from,
                                  const ControlMessage& message);

  // Handles timeouts and returns the messages that are due. Call at `NextTick`
  // or later.
  std::vector<Outgoing> OnTick(Millis now);
  Millis NextTick() const;

  // Whether any configuration is in effect.
  bool HasEffect() const { return this->in_effect; }
  uint64_t Term() const { return this->term; }
  Revision EffectRevision() const { return this->store.CurrentRevision(); }

  // The services in effect, including those that only children subscribe to.
  const ServiceStore& Store() const { return this->store; }

  // Summarizes what is in effect in the subtree rooted at this process; at the
  // leader, at all processes. Control instances are not counted.
  EffectReport Report() const;

  std::optional<InstanceId> Parent() const;
  size_t ChildCount() const { return this->children.size(); }
  const SpreadCounters& Counters() const { return this->counters; }

 private:
  struct Child {
    Endpoint endpoint;
    Millis last_heard;
    Millis next_push;
    bool subscribed = false;
    Subscription subscription;
    uint64_t subscription_hash = 0;
    // The services that the child is known to hold at `revision`.
    Subscription known_subscription;
    Revision revision;
    Revision sent_revision;
    EffectReport report;
  };

  std::vector<Outgoing> OnDigest(Millis now, const Endpoint& from,
                                 const SpreadDigest& digest);
  std::vector<Outgoing> OnUpdate(Millis now, const SpreadUpdate& update);
  SpreadUpdate ReplyTo(Millis now, const SpreadDigest& digest, Child* child);
  bool ApplyUpdate(Millis now, const SpreadUpdate& update);
  void AppendPushes(Millis now, std::vector<Outgoing>* out);
  void AppendDigest(Millis now, std::vector<Outgoing>* out);
  void ChooseParent(Millis now);
  void Suspect(Millis now, InstanceId id);
  void UpdateSubtreeSubscription();
  bool CanConfirm(Millis now) const;

  SpreadMember self;
  Subscription own_subscription;
  // Union of the subscriptions of this process and its children.
  Subscription subtree_subscription;
  uint64_t subtree_subscription_hash = 0;
  // The subscription that the store satisfied in full at its last confirmation.
  std::optional<Subscription> covered_subscription;
  Random random;
  Millis started_at;

  std::vector<SpreadMember> members;
  struct Suspicion {
    Millis until;
    Millis duration;
  };
  // Kept for `duration` after `until` to recognize a repeated suspicion.
  std::map<InstanceId, Suspicion> suspicions;
  std::optional<InstanceId> leader;
  std::optional<SpreadMember> parent;
  Millis parent_last_heard;
  bool parent_replied = false;
  // Time of the first in the current run of `kCannotConfirm` replies.
  std::optional<Millis> unconfirmed_since;
  // Hash of the subscription that the parent last replied to; 0 if none.
  uint64_t parent_subscription_hash = 0;
  bool want_whole = false;
  uint64_t digest_number = 0;
  std::map<uint64_t, Millis> digests_sent;
  Millis next_digest;
  Millis last_tick;

  bool in_effect = false;
  uint64_t term = 0;
  // A quorum confirmed what is in effect at this time or later.
  Millis confirmed_at;
  ServiceStore store;
  std::map<InstanceId, Child> children;
  SpreadCounters counters;
};

}  // namespace cornelhill
