#include "cornelhill/control/spread_node.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cornelhill/control/control_codec.h"

namespace cornelhill {

namespace {

// Number of sent digests whose replies are still accepted.
constexpr size_t kMaxPendingDigests = 16;

// Minimum interval between calls of `OnTick`.
constexpr Millis kMinTickInterval = Millis(10);

// A child that has not sent a digest for this long is removed.
constexpr Millis kChildTimeout = Millis(5000);

}  // namespace

SpreadNode::SpreadNode(Millis now, const SpreadMember& self,
                       const Subscription& subscription, uint64_t seed)
    : self(self),
      own_subscription(Normalize(subscription)),
      random(seed),
      started_at(now),
      parent_last_heard(now) {
  this->UpdateSubtreeSubscription();
  // Start at a random number, so that a reply to a digest sent before a restart
  // does not match a later digest: the age of the confirmation would be
  // subtracted from too late a time.
  constexpr int kNumberShift = 16;
  this->digest_number = this->random.Next() >> kNumberShift;
  // Staggers the digests of processes that start at the same time.
  this->next_digest =
      now + Millis(static_cast<int64_t>(this->random.Below(
                static_cast<uint64_t>(kStartupDigestPeriod.Count()))));
}

void SpreadNode::UpdateSubtreeSubscription() {
  this->subtree_subscription = this->own_subscription;
  for (const auto& [id, child] : this->children) {
    this->subtree_subscription =
        Union(this->subtree_subscription, child.subscription);
  }
  this->subtree_subscription_hash =
      HashSubscription(this->subtree_subscription);
}

void SpreadNode::Subscribe(const Subscription& subscription) {
  this->own_subscription = Normalize(subscription);
  this->UpdateSubtreeSubscription();
}

void SpreadNode::SetMembers(Millis now,
                            const std::vector<SpreadMember>& members) {
  this->members = members;
  this->ChooseParent(now);
}

void SpreadNode::SetLeader(Millis now, std::optional<InstanceId> leader) {
  this->leader = leader;
  this->ChooseParent(now);
}

std::optional<InstanceId> SpreadNode::Parent() const {
  if (!this->parent) return std::nullopt;
  return this->parent->id;
}

void SpreadNode::ChooseParent(Millis now) {
  std::erase_if(this->suspicions, [now](const auto& entry) {
    return entry.second.until + entry.second.duration <= now;
  });
  std::optional<SpreadMember> next;
  if (this->self.control) {
    for (const SpreadMember& member : this->members) {
      if (this->leader == member.id && member.id != this->self.id) {
        next = member;
      }
    }
  } else {
    std::set<InstanceId> suspected;
    for (const auto& [id, suspicion] : this->suspicions) {
      if (suspicion.until > now) suspected.insert(id);
    }
    const SpreadMember* found = ParentOf(this->self, this->members, suspected);
    if (found != nullptr) next = *found;
  }
  if (next == this->parent) return;
  this->parent = next;
  this->parent_last_heard = now;
  this->parent_replied = false;
  this->parent_subscription_hash = 0;
  this->unconfirmed_since.reset();
  // Replies from the former parent must not count as replies from the new one.
  this->digests_sent.clear();
  this->next_digest = std::min(this->next_digest, now);
}

void SpreadNode::Suspect(Millis now, InstanceId id) {
  Suspicion& suspicion = this->suspicions[id];
  suspicion.duration =
      suspicion.duration == Millis()
          ? kInitialSuspicionPeriod
          : std::min(suspicion.duration * 2, kMaxSuspicionPeriod);
  suspicion.until = now + suspicion.duration;
  this->ChooseParent(now);
  if (!this->parent && !this->self.control) {
    // Every candidate is suspected: retry all of them.
    this->suspicions.clear();
    this->ChooseParent(now);
  }
}

bool SpreadNode::CanConfirm(Millis now) const {
  if (!this->in_effect) return false;
  return !this->self.control || now - this->confirmed_at <= kMaxConfirmationAge;
}

std::vector<Outgoing> SpreadNode::Publish(Millis now, uint64_t term,
                                          const ServiceStore& store,
                                          Millis confirmed_at) {
  std::vector<Outgoing> out;
  const Revision current = this->store.CurrentRevision();
  if (term < this->term) {
    ++this->counters.lower_term;
    return out;
  }
  if (store.CurrentRevision() < current) {
    ++this->counters.lower_revision;
    return out;
  }
  const Subscription all{true, {}, {}};
  if (store.CurrentRevision() > current || !this->in_effect) {
    if (!this->store.Apply(store.UpdateSince(current, all), all)) {
      ++this->counters.mismatches;
      (void)this->store.Apply(store.FullUpdate(all), all);
    }
  }
  this->in_effect = true;
  this->term = term;
  this->confirmed_at = std::max(this->confirmed_at, confirmed_at);
  this->covered_subscription = all;
  this->AppendPushes(now, &out);
  return out;
}

std::vector<Outgoing> SpreadNode::OnMessage(Millis now, const Endpoint& from,
                                            const ControlMessage& message) {
  if (const auto* digest = std::get_if<SpreadDigest>(&message)) {
    return this->OnDigest(now, from, *digest);
  }
  if (const auto* update = std::get_if<SpreadUpdate>(&message)) {
    return this->OnUpdate(now, *update);
  }
  return {};
}

std::vector<Outgoing> SpreadNode::OnDigest(Millis now, const Endpoint& from,
                                           const SpreadDigest& digest) {
  std::vector<Outgoing> out;
  const auto found = this->children.find(digest.sender);
  if (found == this->children.end() && this->children.size() >= kMaxChildren) {
    SpreadUpdate reply;
    reply.sender = this->self.id;
    reply.number = digest.number;
    reply.status = SpreadStatus::kFull;
    out.push_back({digest.sender, from, std::move(reply)});
    return out;
  }
  Child& child = this->children[digest.sender];
  child.endpoint = from;
  child.last_heard = now;
  child.revision = digest.revision;
  child.report = digest.report;
  if (digest.has_subscription &&
      (!child.subscribed ||
       child.subscription_hash != digest.subscription_hash)) {
    child.subscribed = true;
    child.subscription = digest.subscription;
    child.subscription_hash = digest.subscription_hash;
    this->UpdateSubtreeSubscription();
    // The parent must receive a wider subscription before the child can be
    // served.
    if (this->parent_subscription_hash != this->subtree_subscription_hash &&
        this->parent) {
      this->next_digest = std::min(this->next_digest, now);
    }
  }
  out.push_back({digest.sender, from, this->ReplyTo(now, digest, &child)});
  return out;
}

SpreadUpdate SpreadNode::ReplyTo(Millis now, const SpreadDigest& digest,
                                 Child* child) {
  SpreadUpdate reply;
  reply.sender = this->self.id;
  reply.number = digest.number;
  reply.term = this->term;
  reply.subscription_hash = digest.subscription_hash;
  if (!child->subscribed ||
      child->subscription_hash != digest.subscription_hash) {
    reply.status = SpreadStatus::kNeedSubscription;
    return reply;
  }
  const Revision revision = this->store.CurrentRevision();
  const bool starting = digest.revision == Revision();
  const Millis age = now - this->confirmed_at;
  if (!this->CanConfirm(now) || !this->covered_subscription ||
      !Covers(*this->covered_subscription, child->subscription) ||
      digest.term > this->term || digest.revision > revision ||
      // Confirmed before the child started, so the child would reject it.
      (starting && age > digest.uptime)) {
    reply.status = SpreadStatus::kCannotConfirm;
    return reply;
  }
  reply.confirmed_age = age;
  reply.update =
      digest.want_whole || starting
          ? this->store.FullUpdate(child->subscription)
          : this->store.UpdateSince(digest.revision, child->subscription,
                                    child->known_subscription);
  if (digest.revision == revision && !reply.update.whole) {
    if (digest.hash == reply.update.hash) {
      reply.update.services.clear();
      child->known_subscription = child->subscription;
    } else if (child->known_subscription == child->subscription) {
      reply.update = this->store.FullUpdate(child->subscription);
    }
  }
  child->sent_revision = revision;
  return reply;
}

std::vector<Outgoing> SpreadNode::OnUpdate(Millis now,
                                           const SpreadUpdate& update) {
  std::vector<Outgoing> out;
  if (!this->parent || this->parent->id != update.sender) {
    ++this->counters.not_parent;
    return out;
  }
  if (update.number != 0) {
    if (!this->digests_sent.contains(update.number)) return out;
    this->parent_last_heard = now;
    this->parent_replied = true;
  }
  switch (update.status) {
    case SpreadStatus::kFull:
      this->Suspect(now, update.sender);
      this->AppendDigest(now, &out);
      return out;
    case SpreadStatus::kNeedSubscription:
      this->parent_subscription_hash = 0;
      this->AppendDigest(now, &out);
      return out;
    case SpreadStatus::kCannotConfirm:
      this->parent_subscription_hash = update.subscription_hash;
      if (!this->unconfirmed_since) this->unconfirmed_since = now;
      // Another control instance may be able to confirm. A relay that cannot
      // confirm is kept, since it is the relay's own parent that has to be
      // replaced.
      if (this->parent->control && !this->self.control &&
          now - *this->unconfirmed_since > kParentTimeout) {
        this->Suspect(now, update.sender);
        this->AppendDigest(now, &out);
      }
      return out;
    case SpreadStatus::kOk:
      break;
  }
  this->unconfirmed_since.reset();
  if (update.number != 0)
    this->parent_subscription_hash = update.subscription_hash;
  if (this->ApplyUpdate(now, update)) this->AppendPushes(now, &out);
  if (this->want_whole && this->next_digest > now) {
    this->AppendDigest(now, &out);
  }
  return out;
}

bool SpreadNode::ApplyUpdate(Millis now, const SpreadUpdate& update) {
  if (update.term < this->term) {
    ++this->counters.lower_term;
    return false;
  }
  if (update.update.revision < this->store.CurrentRevision()) {
    ++this->counters.lower_revision;
    return false;
  }
  if (update.subscription_hash != this->subtree_subscription_hash) return false;
  std::optional<Millis> confirmed;
  if (update.number != 0) {
    confirmed = this->digests_sent.at(update.number) - update.confirmed_age;
  }
  if (!this->in_effect && (!confirmed || *confirmed < this->started_at)) {
    ++this->counters.unconfirmed;
    return false;
  }
  const bool gap = !update.update.whole &&
                   update.update.from > this->store.CurrentRevision();
  const Result<void> applied =
      this->store.Apply(update.update, this->subtree_subscription);
  if (!applied) {
    if (gap) {
      ++this->counters.gaps;
      this->next_digest = std::min(this->next_digest, now);
    } else {
      ++this->counters.mismatches;
      this->want_whole = true;
    }
    return false;
  }
  this->want_whole = false;
  this->in_effect = true;
  this->term = update.term;
  if (confirmed) this->confirmed_at = std::max(this->confirmed_at, *confirmed);
  this->covered_subscription = this->subtree_subscription;
  return true;
}

void SpreadNode::AppendPushes(Millis now, std::vector<Outgoing>* out) {
  if (!this->CanConfirm(now)) return;
  const Revision revision = this->store.CurrentRevision();
  for (auto& [id, child] : this->children) {
    // A child with nothing in effect accepts only replies to its digests.
    if (!child.subscribed || child.revision == Revision() ||
        std::max(child.sent_revision, child.revision) >= revision ||
        child.next_push > now || !this->covered_subscription ||
        !Covers(*this->covered_subscription, child.subscription)) {
      continue;
    }
    SpreadUpdate push;
    push.sender = this->self.id;
    push.term = this->term;
    push.confirmed_age = now - this->confirmed_at;
    push.subscription_hash = child.subscription_hash;
    push.update =
        this->store.UpdateSince(std::max(child.sent_revision, child.revision),
                                child.subscription, child.known_subscription);
    child.sent_revision = revision;
    child.next_push = now + kPushInterval;
    out->push_back({id, child.endpoint, std::move(push)});
  }
}

void SpreadNode::AppendDigest(Millis now, std::vector<Outgoing>* out) {
  const Millis period = this->in_effect ? kDigestPeriod : kStartupDigestPeriod;
  const auto tenth = static_cast<uint64_t>(period.Count() / 10);
  this->next_digest =
      now + period - Millis(static_cast<int64_t>(tenth)) +
      Millis(static_cast<int64_t>(this->random.Below(2 * tenth + 1)));
  if (!this->parent) return;
  SpreadDigest digest;
  digest.sender = this->self.id;
  digest.number = ++this->digest_number;
  digest.term = this->term;
  digest.revision = this->store.CurrentRevision();
  digest.hash = this->store.Hash(this->subtree_subscription);
  digest.subscription_hash = this->subtree_subscription_hash;
  digest.has_subscription =
      this->parent_subscription_hash != this->subtree_subscription_hash;
  if (digest.has_subscription) digest.subscription = this->subtree_subscription;
  digest.report = this->Report();
  digest.want_whole = this->want_whole;
  if (!this->in_effect) digest.uptime = now - this->started_at;
  this->digests_sent[digest.number] = now;
  if (this->digests_sent.size() > kMaxPendingDigests) {
    this->digests_sent.erase(this->digests_sent.begin());
  }
  out->push_back({this->parent->id, this->parent->endpoint, std::move(digest)});
}

std::vector<Outgoing> SpreadNode::OnTick(Millis now) {
  std::vector<Outgoing> out;
  this->last_tick = now;
  const size_t before = this->children.size();
  std::erase_if(this->children, [now](const auto& child) {
    return now - child.second.last_heard > kChildTimeout;
  });
  if (this->children.size() != before) this->UpdateSubtreeSubscription();

  const Millis silence =
      this->parent_replied ? kParentTimeout : kNewParentTimeout;
  if (this->parent && now - this->parent_last_heard > silence) {
    if (this->self.control) {
      this->parent_last_heard = now;
    } else {
      this->Suspect(now, this->parent->id);
    }
  } else if (!this->suspicions.empty()) {
    this->ChooseParent(now);
  }
  if (now >= this->next_digest) this->AppendDigest(now, &out);
  this->AppendPushes(now, &out);
  return out;
}

Millis SpreadNode::NextTick() const {
  Millis next = this->next_digest;
  for (const auto& [id, child] : this->children) {
    if (child.subscribed && child.revision != Revision() &&
        std::max(child.sent_revision, child.revision) <
            this->store.CurrentRevision()) {
      next = std::min(next, child.next_push);
    }
  }
  // A push that cannot be sent yet stays due; without a minimum interval the
  // caller would busy-loop.
  return std::max(next, this->last_tick + kMinTickInterval);
}

EffectReport SpreadNode::Report() const {
  const Revision revision = this->store.CurrentRevision();
  EffectReport report;
  report.lowest = revision;
  if (!this->self.control) report.processes = 1;
  for (const auto& [id, child] : this->children) {
    report.processes += child.report.processes;
    if (child.report.processes > 0) {
      report.lowest = std::min(report.lowest, child.report.lowest);
    }
    if (child.report.processes > 0 && child.revision < revision) {
      report.lagging.push_back({id, child.revision});
    }
    for (const Lagging& lagging : child.report.lagging) {
      if (lagging.revision < revision) report.lagging.push_back(lagging);
    }
  }
  std::sort(report.lagging.begin(), report.lagging.end(),
            [](const Lagging& a, const Lagging& b) {
              return std::pair(a.revision, a.instance) <
                     std::pair(b.revision, b.instance);
            });
  if (report.lagging.size() > kMaxLaggingProcesses)
    report.lagging.resize(kMaxLaggingProcesses);
  return report;
}

}  // namespace cornelhill
