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

// Time between two digests, before jitter of a tenth either way.
constexpr Millis kDigestPeriod = Millis(1000);

// Time between two digests of a process with nothing in effect.
constexpr Millis kStartupDigestPeriod = Millis(250);

// A parent without a reply for this long is replaced. Five digests: with a
// tenth of the round trips lost, a live parent is left once in 100,000 s.
constexpr Millis kParentTimeout = Millis(5000);

// The same for a parent that has not replied yet.
constexpr Millis kNewParentTimeout = Millis(3000);

// A suspected parent is asked again after this time, which doubles each time it
// is suspected again, up to the longest. With a fixed 15 s a process whose next
// five parents were lost came back to the first before it had reached the last.
constexpr Millis kInitialSuspicionPeriod = Millis(30000);
constexpr Millis kMaxSuspicionPeriod = Millis(480000);

// Least time between two updates to one child that it did not ask for.
constexpr Millis kPushInterval = Millis(100);

// A control instance whose last confirmation is older cannot confirm.
constexpr Millis kMaxConfirmationAge = Millis(5000);

// Counts of what a node refused, for metrics.
struct SpreadCounters {
  uint64_t lower_term = 0;
  uint64_t lower_revision = 0;
  uint64_t unconfirmed = 0;
  uint64_t gaps = 0;
  uint64_t mismatches = 0;
  uint64_t not_parent = 0;
};

// One process in the distribution tree: takes updates from its parent, has them
// in effect, and passes them to its children. The leader's node is the root and
// gets its data from `Publish`; the nodes of the other control instances are
// its children.
//
// A node never moves to a lower term or revision. One with nothing in effect
// takes only what a quorum confirmed after the node was constructed: whatever
// an earlier life of the process had in effect was confirmed before that, so
// that it cannot be higher. It derives this from the age that its parent
// states, counted from before it sent the digest that the parent replies to;
// clocks of different processes are not compared.
//
// Not thread-safe. Time must not go back between calls.
class SpreadNode {
 public:
  // `subscription` is what this process itself needs. `seed` differs between
  // lives of a process.
  SpreadNode(Millis now, const SpreadMember& self,
             const Subscription& subscription, uint64_t seed);

  // Replaces what is known of the members.
  void SetMembers(Millis now, const std::vector<SpreadMember>& members);

  // Names the leader to the node of a control instance; nothing where there is
  // none known. Other processes need not know it.
  void SetLeader(Millis now, std::optional<InstanceId> leader);

  // Replaces what this process itself needs.
  void Subscribe(const Subscription& subscription);

  // At the leader, after each change and at least once a second: `store` at its
  // current revision was confirmed by a quorum in `term`, in a round that began
  // at `confirmed_at`. Returns updates to children. A lower term or revision
  // than the one in effect is ignored.
  std::vector<Outgoing> Publish(Millis now, uint64_t term,
                                const ServiceStore& store, Millis confirmed_at);

  // Handles a digest or an update; ignores other messages. `from` is the
  // sender's endpoint, for replies.
  std::vector<Outgoing> OnMessage(Millis now, const Endpoint& from,
                                  const ControlMessage& message);

  // Sends what is due. Call at `NextTick` or later.
  std::vector<Outgoing> OnTick(Millis now);
  Millis NextTick() const;

  // Whether anything is in effect.
  bool HasEffect() const { return this->in_effect; }
  uint64_t Term() const { return this->term; }
  Revision EffectRevision() const { return this->store.CurrentRevision(); }

  // The services in effect. Also holds services that only children need.
  const ServiceStore& Store() const { return this->store; }

  // What the subtree below and including this process has in effect. At the
  // leader: all processes. Control instances are not counted.
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
    // What the child is known to hold at its revision.
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
  Subscription
      subtree_subscription;  // What this process and its children need.
  uint64_t subtree_subscription_hash = 0;
  // What the store held completely when it was last confirmed.
  std::optional<Subscription> covered_subscription;
  Random random;
  Millis started_at;

  std::vector<SpreadMember> members;
  struct Suspicion {
    Millis until;
    Millis duration;
  };
  // Kept for `duration` after `until`, so that a repeat is known as one.
  std::map<InstanceId, Suspicion> suspicions;
  std::optional<InstanceId> leader;
  std::optional<SpreadMember> parent;
  Millis parent_last_heard;
  bool parent_replied = false;
  // First of the unbroken replies that the parent cannot confirm.
  std::optional<Millis> unconfirmed_since;
  uint64_t parent_subscription_hash =
      0;  // Subscription hash that the parent has replied to.
  bool want_whole = false;
  uint64_t digest_number = 0;
  std::map<uint64_t, Millis> digests_sent;
  Millis next_digest;
  Millis last_tick;

  bool in_effect = false;
  uint64_t term = 0;
  // A quorum confirmed what is in effect at this instant or later.
  Millis confirmed_at;
  ServiceStore store;
  std::map<InstanceId, Child> children;
  SpreadCounters counters;
};

}  // namespace cornelhill
