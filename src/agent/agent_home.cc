// Decisions on new flows, and the exchange of flow owners between agents.

#include <algorithm>
#include <utility>

#include "agent/agent_internal.h"
#include "cornelhill/agent/agent.h"

namespace cornelhill {

using internal::KeyOf;
using internal::kMaxHops;

namespace {

constexpr uint32_t kDrainingLoadMilli = 1000000;
ClassHint ToHint(WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kShort:
      return ClassHint::kShort;
    case WorkClass::kLong:
      return ClassHint::kLong;
    case WorkClass::kStraggler:
      return ClassHint::kStraggler;
  }
  return ClassHint::kNone;
}

// Sentinel load, above any real load, in the second offer to an agent with
// reserved slots: the agent queues the work even if no slot is free. On any
// other agent the work would wait for long work to end.
constexpr uint32_t kQueueEvenIfBusy = UINT32_MAX;

// Maximum number of packets held while this agent gathers flow owners.
constexpr size_t kMaxHeldWhileGathering = 2048;
// Keeps a page within one Ethernet frame.
constexpr size_t kEntriesPerPage = 20;

}  // namespace

void Agent::OnUnknownFlow(Millis now, Forward forward, AgentOutput* out) {
  if (forward.route == ForwardRoute::kOffer ||
      forward.route == ForwardRoute::kOfferReserve) {
    this->DecideOffer(now, std::move(forward), out);
    return;
  }
  if (forward.route == ForwardRoute::kToOwner) {
    // The sender's directory lists this agent as owner, but this agent does not
    // have the flow.
    if (forward.packet.first) {
      this->HandBack(now, std::move(forward), out);
    } else {
      ++this->counters.dropped_unknown_flow;
    }
    return;
  }
  switch (this->homes.RoleOf(BucketOf(forward.packet.flow))) {
    case HomeRole::kActive:
      this->DecideAsHome(now, std::move(forward), out);
      return;
    case HomeRole::kGathering:
      ++this->counters.held_while_gathering;
      if (this->held.size() < kMaxHeldWhileGathering) {
        this->held.push_back(std::move(forward));
      }
      return;
    case HomeRole::kOther:
      this->ForwardToHome(std::move(forward), out);
      return;
  }
}

void Agent::ForwardToHome(Forward forward, AgentOutput* out) {
  const FlowKey& key = forward.packet.flow;
  if (const BucketFence* fence = this->homes.FenceOf(BucketOf(key))) {
    this->ForwardTo(fence->address, fence->incarnation, ForwardRoute::kToHome,
                    std::move(forward), out);
    return;
  }
  const UpstreamInfo* home = this->HomeOf(key);
  if (home == nullptr || home->instance == this->identity.instance) return;
  this->ForwardTo(*home, ForwardRoute::kToHome, std::move(forward), out);
}

void Agent::DecideAsHome(Millis now, Forward forward, AgentOutput* out) {
  FlowUse use{forward.packet.flow, forward.packet.nonce};
  const FlowDirectory::Entry* known = this->directory.Find(&use);
  if (known != nullptr) {
    const UpstreamInfo* owner = this->UpstreamById(known->owner);
    if (owner == nullptr) {
      this->OnLostOwner(now, std::move(forward), out);
    } else if (owner->instance != this->identity.instance) {
      this->ForwardTo(*owner, ForwardRoute::kToOwner, std::move(forward), out);
    } else {
      // The flow is closed and its answer is no longer stored.
      ++this->counters.duplicates;
    }
    return;
  }
  if (!forward.packet.first) {
    ++this->counters.dropped_unknown_flow;
    return;
  }
  if (now >= this->lease_valid_until || !this->in_view) {
    ++this->counters.dropped_no_lease;
    return;
  }
  if (!this->OpensFlow(forward.packet)) {
    this->OnLostOwner(now, std::move(forward), out);
    return;
  }
  // TCP is exempt: a SYN runs no work, and later segments of a connection need
  // the lost upstream.
  const BucketIndex bucket = BucketOf(use.flow);
  const bool may_have_been_seen =
      (forward.packet.resent && this->homes.InQuarantine(now, bucket)) ||
      (!forward.packet.repeatable && this->homes.CopiesInTransit(now, bucket));
  if (may_have_been_seen && use.flow.protocol != Protocol::kTcp) {
    ++this->counters.quarantined;
    this->Refuse(now, KeyOf(forward.packet), forward.balancer,
                 {Verdict::kMayHaveRun, Reason::kQuarantine, Millis()},
                 std::move(forward.payload), out);
    return;
  }
  this->DecideNewFlow(now, std::move(forward), out);
}

bool Agent::OpensFlow(const PacketInfo& packet) const {
  if (packet.flow.protocol == Protocol::kTcp || packet.request.Value() <= 1) {
    return true;
  }
  // A caller whose previous request was refused here as not run continues with
  // the next request number.
  RequestKey earlier = KeyOf(packet);
  earlier.number = RequestNumber(packet.request.Value() - 1);
  const FinishedRequest* known = this->finished.Find(earlier);
  return known != nullptr && known->outcome == Outcome::kRefused &&
         known->refusal.verdict == Verdict::kNotRun;
}

void Agent::OnLostOwner(Millis now, Forward forward, AgentOutput* out) {
  if (!forward.packet.first) {
    ++this->counters.dropped_unknown_flow;
    return;
  }
  // Applies to repeatable work too: the owner may only be paused, and a flow
  // with two owners would alternate between them. The caller opens a new flow.
  this->Refuse(now, KeyOf(forward.packet), forward.balancer,
               {Verdict::kMayHaveRun, Reason::kUpstreamLost, Millis()},
               std::move(forward.payload), out);
}

void Agent::DecideNewFlow(Millis now, Forward forward, AgentOutput* out) {
  const UpstreamInfo* second = this->SecondOf(forward.packet.flow);
  const SchedulerRequest request = this->SchedulerRequestFor(now, forward);
  const bool busy = this->draining || !this->scheduler.WouldStart(request);
  const bool likely_short = this->scheduler.LikelyShort(request);
  const UpstreamInfo* reserve = this->ReservingUpstream(forward.packet.flow, 0);
  if (busy && reserve != nullptr && likely_short) {
    ++this->counters.passed_to_second;
    this->Offer(now, *reserve, ForwardRoute::kOfferReserve, 0,
                std::move(forward), out);
    return;
  }
  // Long work stays on its upstream, so an extra hop to the less loaded of two
  // upstreams pays off even if this one could start it.
  const bool better_spread =
      !likely_short && this->scheduler.RunningCount() > 0;
  if ((busy || better_spread) && second != nullptr) {
    ++this->counters.passed_to_second;
    this->Offer(now, *second, ForwardRoute::kOffer, this->OfferedLoad(),
                std::move(forward), out);
    return;
  }
  this->AcceptUnlessDraining(now, std::move(forward), out);
}

void Agent::AcceptUnlessDraining(Millis now, Forward forward,
                                 AgentOutput* out) {
  if (this->draining) {
    this->Refuse(now, KeyOf(forward.packet), forward.balancer,
                 {Verdict::kNotRun, Reason::kDraining, Millis()},
                 std::move(forward.payload), out);
    return;
  }
  this->Accept(now, std::move(forward), out);
}

void Agent::Offer(Millis now, const UpstreamInfo& to, ForwardRoute kind,
                  uint32_t load_milli, Forward forward, AgentOutput* out) {
  // Recorded before the packet is sent, so that copies go to the same agent.
  this->directory.Record(now, {forward.packet.flow, forward.packet.nonce},
                         to.instance, to.incarnation, false);
  const SchedulerRequest request = this->SchedulerRequestFor(now, forward);
  const auto learned =
      this->scheduler.History().LearnedClass(request.key, request.caller);
  if (learned.has_value()) {
    forward.class_hint = ToHint(*learned);
  } else if (kind == ForwardRoute::kOfferReserve) {
    forward.class_hint = ClassHint::kShort;
  }
  forward.load_milli = load_milli;
  this->ForwardTo(to, kind, std::move(forward), out);
}

uint32_t Agent::OfferedLoad() const {
  return this->draining ? kDrainingLoadMilli : this->scheduler.LoadMilli();
}

void Agent::DecideOffer(Millis now, Forward forward, AgentOutput* out) {
  const FinishedRequest* known = this->finished.Find(KeyOf(forward.packet));
  const bool declined =
      known != nullptr && known->outcome == Outcome::kDeclined;
  bool has_room = this->scheduler.LoadMilli() < forward.load_milli;
  if (forward.route == ForwardRoute::kOfferReserve) {
    has_room = this->scheduler.HasSlotForShort() ||
               forward.load_milli == kQueueEvenIfBusy;
  }
  if (declined || this->draining || !this->in_view || !has_room ||
      now >= this->lease_valid_until) {
    this->HandBack(now, std::move(forward), out);
    return;
  }
  this->Accept(now, std::move(forward), out);
}

void Agent::HandBack(Millis now, Forward forward, AgentOutput* out) {
  // A later copy of this offer must not be accepted either: by then the home
  // agent may have assigned the flow elsewhere.
  this->finished.Add(now, KeyOf(forward.packet),
                     FinishedRequest{Outcome::kDeclined, {}, {}, false});
  ++this->counters.handed_back;
  const UpstreamInfo* sender = this->UpstreamById(forward.sender);
  if (sender == nullptr) return;
  const Incarnation sender_incarnation = forward.sender_incarnation;
  this->ForwardTo(sender->agent, sender_incarnation, ForwardRoute::kHandBack,
                  std::move(forward), out);
}

void Agent::OnHandBack(Millis now, Forward forward, AgentOutput* out) {
  FlowUse use{forward.packet.flow, forward.packet.nonce};
  const auto open = this->flows.find(use.flow);
  if ((open != this->flows.end() && open->second.nonce == use.nonce) ||
      this->AnswerDuplicate(forward, out)) {
    // The flow was decided in the meantime; copies are answered from its state.
    return;
  }
  const FlowDirectory::Entry* known = this->directory.Find(&use);
  if (known == nullptr || known->owner != forward.sender) {
    // A late copy of an earlier hand-back; the flow was offered elsewhere. If
    // the entry has expired, the flow is decided when the caller resends.
    return;
  }
  if (known->owner_incarnation != forward.sender_incarnation ||
      !this->OpensFlow(forward.packet)) {
    // The owner has restarted or has closed the flow. Only the incarnation to
    // which a flow was offered can tell that it did not accept it.
    this->OnLostOwner(now, std::move(forward), out);
    return;
  }
  this->directory.Erase(use);
  if (this->homes.RoleOf(BucketOf(use.flow)) != HomeRole::kActive) {
    forward.route = ForwardRoute::kToHome;
    this->OnUnknownFlow(now, std::move(forward), out);
    return;
  }
  if (now >= this->lease_valid_until) {
    ++this->counters.dropped_no_lease;
    return;
  }
  const UpstreamInfo* second = this->SecondOf(use.flow);
  const UpstreamInfo* reserve = this->ReservingUpstream(use.flow, 0);
  const UpstreamInfo* other = this->ReservingUpstream(use.flow, 1);
  if (reserve != nullptr && reserve->instance == forward.sender &&
      !this->scheduler.WouldStart(this->SchedulerRequestFor(now, forward))) {
    if (other != reserve) {
      this->Offer(now, *other, ForwardRoute::kOfferReserve, kQueueEvenIfBusy,
                  std::move(forward), out);
      return;
    }
    if (second != nullptr && second != reserve) {
      this->Offer(now, *second, ForwardRoute::kOffer, this->OfferedLoad(),
                  std::move(forward), out);
      return;
    }
  }
  this->AcceptUnlessDraining(now, std::move(forward), out);
}

void Agent::ForwardTo(const UpstreamInfo& to, ForwardRoute kind,
                      Forward forward, AgentOutput* out) {
  this->ForwardTo(to.agent, to.incarnation, kind, std::move(forward), out);
}

void Agent::ForwardTo(Endpoint to, Incarnation target, ForwardRoute kind,
                      Forward forward, AgentOutput* out) {
  if (++forward.hops > kMaxHops) {
    ++this->counters.dropped_hop_limit;
    return;
  }
  forward.route = kind;
  forward.target_incarnation = target;
  forward.sender = this->identity.instance;
  forward.sender_incarnation = this->identity.incarnation;
  forward.service.revision = this->route->view.revision;
  out->sends.push_back({to, std::move(forward)});
}

void Agent::OnOwnerReport(Millis now, Endpoint from,
                          const OwnerReport& report) {
  if (this->route == nullptr || report.service != this->route->view.id) return;
  for (const UpstreamInfo& upstream : this->route->view.upstreams) {
    if (upstream.agent != from) continue;
    this->directory.Record(now, {report.flow, report.nonce}, upstream.instance,
                           report.owner_incarnation, report.closed);
  }
}

void Agent::OnDirectoryQuery(Millis now, Endpoint from,
                             const DirectoryQuery& query, AgentOutput* out) {
  if (this->route != nullptr &&
      (query.service.id != this->route->view.id ||
       query.service.incarnation != this->route->view.incarnation)) {
    ++this->counters.dropped_wrong_service;
    return;
  }
  SentReply& reply = this->sent_replies[query.requester];
  if (reply.revision > query.service.revision) return;
  if (reply.revision < query.service.revision) {
    // The promise is recorded before the flows are listed, so that no flow is
    // decided in between.
    this->homes.Promise(query, from);
    reply.revision = query.service.revision;
    reply.pages.clear();
    const std::vector<FlowLocation> known = this->KnownFlows(query.buckets);
    const size_t count = std::max<size_t>(
        1, (known.size() + kEntriesPerPage - 1) / kEntriesPerPage);
    for (size_t page = 0; page < count; ++page) {
      DirectoryReply message;
      message.service = query.service;
      message.responder = this->identity.instance;
      message.responder_incarnation = this->identity.incarnation;
      message.page = static_cast<uint32_t>(page);
      message.page_count = static_cast<uint32_t>(count);
      const size_t begin = page * kEntriesPerPage;
      const size_t end = std::min(known.size(), begin + kEntriesPerPage);
      message.entries.assign(known.begin() + static_cast<ptrdiff_t>(begin),
                             known.begin() + static_cast<ptrdiff_t>(end));
      reply.pages.push_back(std::move(message));
    }
  }
  reply.expires = now + kResendLifetime;
  for (const DirectoryReply& page : reply.pages) {
    out->sends.push_back({from, page});
  }
}

std::vector<FlowLocation> Agent::KnownFlows(const BucketSet& buckets) const {
  std::vector<FlowLocation> known = this->directory.EntriesIn(buckets);
  for (const auto& [key, flow] : this->flows) {
    if (!buckets[BucketOf(key).Value()]) continue;
    known.push_back({key, flow.nonce, this->identity.instance, false,
                     this->identity.incarnation});
  }
  return known;
}

void Agent::OnDirectoryReply(Millis now, const DirectoryReply& reply,
                             AgentOutput* out) {
  if (this->route == nullptr || reply.service.id != this->route->view.id ||
      reply.service.incarnation != this->route->view.incarnation) {
    return;
  }
  for (const FlowLocation& entry : reply.entries) {
    if (entry.owner == this->identity.instance) continue;
    this->directory.Record(now, {entry.flow, entry.nonce}, entry.owner,
                           entry.owner_incarnation, entry.closed);
  }
  if (!this->homes.OnReply(reply)) return;
  out->events.push_back({AgentEventKind::kDirectoryGathered, {}, {}});
  this->ReplayHeld(now, out);
}

void Agent::SendQueries(Millis now, AgentOutput* out) {
  for (auto& [instance, query] : this->homes.DueQueries(now)) {
    const UpstreamInfo* upstream = this->UpstreamById(instance);
    if (upstream == nullptr) continue;
    out->sends.push_back({upstream->agent, query});
  }
}

void Agent::ReplayHeld(Millis now, AgentOutput* out) {
  std::vector<Forward> packets;
  packets.swap(this->held);
  for (Forward& forward : packets) {
    this->OnForward(now, std::move(forward), out);
  }
}

void Agent::ReportToHome(const FlowUse& use, bool closed, AgentOutput* out) {
  const UpstreamInfo* home = this->HomeOf(use.flow);
  if (home == nullptr || home->instance == this->identity.instance) return;
  out->sends.push_back(
      {home->agent, OwnerReport{use.flow, use.nonce, this->route->view.id,
                                closed, this->identity.incarnation}});
}

void Agent::ReportOpenFlows(AgentOutput* out) {
  if (this->route == nullptr) return;
  std::vector<FlowUse> open;
  for (const auto& [key, flow] : this->flows) open.push_back({key, flow.nonce});
  std::sort(open.begin(), open.end());
  for (const FlowUse& use : open) this->ReportToHome(use, false, out);
}

const UpstreamInfo* Agent::UpstreamById(InstanceId instance) const {
  if (this->route == nullptr) return nullptr;
  const auto index = this->route->IndexOf(instance);
  return index.has_value() ? &this->route->view.upstreams[*index] : nullptr;
}

const UpstreamInfo* Agent::HomeOf(const FlowKey& key) const {
  const uint16_t home = this->route->buckets.home[BucketOf(key).Value()];
  return home == kNoUpstream ? nullptr : &this->route->view.upstreams[home];
}

const UpstreamInfo* Agent::SecondOf(const FlowKey& key) const {
  const uint16_t second = this->route->buckets.second[BucketOf(key).Value()];
  if (second == kNoUpstream) return nullptr;
  const UpstreamInfo* upstream = &this->route->view.upstreams[second];
  return upstream->instance == this->identity.instance ? nullptr : upstream;
}

const UpstreamInfo* Agent::ReservingUpstream(const FlowKey& key,
                                             size_t choice) const {
  std::vector<const UpstreamInfo*> reserving;
  for (size_t i = 0; i < this->reserved.size(); ++i) {
    const UpstreamInfo& upstream = this->route->view.upstreams[i];
    if (this->reserved[i] == 0 ||
        upstream.instance == this->identity.instance) {
      continue;
    }
    reserving.push_back(&upstream);
  }
  if (reserving.empty()) return nullptr;
  return reserving[(HashFlow(key) / kBucketCount + choice) % reserving.size()];
}

}  // namespace cornelhill
