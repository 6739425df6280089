#include "cornelhill/segment/segment_balancer.h"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <utility>

#include "cornelhill/base/hash.h"

namespace cornelhill {

namespace {

// Maximum offers of one first packet; each costs a round trip to an agent.
constexpr uint32_t kMaxOffers = 5;
// A flow is offered to the best of the first eight agents in its ranking, so
// that a lookup need not probe the others. The best of eight is close to the
// best of all.
constexpr size_t kOfferCandidates = 8;
// The owner of a flow that was idle for longer is looked up again. Listeners
// close flows that are idle for 15 s.
constexpr Millis kFlowIdleTimeout{20000};
// A complete directory is received once a second.
constexpr Millis kDirectoryCompletePeriod{1600};
constexpr Millis kSweepPeriod{1000};
// Unanswered offers count as load for this long.
constexpr Millis kOfferReplyWindow{100};
// An agent that refused an offer is avoided for this long, or until it reports
// that it is ready.
constexpr Millis kAvoidNotReadyPeriod{1500};
constexpr Millis kAvoidFullPeriod{100};
// Penalty for an agent in another failure domain, in busy requests per slot.
// The link adds 2 to 6 ms to each round trip and its traffic is billed; bulk
// work has 100 times as much of it.
constexpr double kRemoteDomainPenalty = 0.15;
constexpr double kRemoteBulkPenalty = 0.6;
// Expected busy requests of one open flow: a caller sends about one request a
// second, which takes 13 to 26 ms; a few percent take seven times as long.
constexpr double kOpenFlowLoad = 0.03;
// Random share of the score, which decides between agents of similar load.
constexpr double kTieBreakNoise = 0.05;
constexpr double kAvoidPenalty = 1000;
// A busy agent refuses an offer only if its load exceeds that of the next
// choice by this margin, since a refused offer costs a round trip.
constexpr double kLoadMargin = 0.25;
constexpr double kMaxLoadMilli = 1e9;

}  // namespace

std::string_view ToString(BalancerEventKind kind) {
  static constexpr std::array<std::string_view, kBalancerEventKindCount>
      kNames = {"no_listener",  "no_agent",    "offer_refused", "not_held",
                "seek_started", "seek_failed", "malformed",     "flow_lost"};
  return kNames.at(static_cast<size_t>(kind));
}

SegmentBalancer::SegmentBalancer(SegmentBalancerSettings settings)
    : settings(std::move(settings)), random(this->settings.seed) {}

bool SegmentBalancer::OnUpdate(Millis now, const Update& update) {
  if (update.complete) {
    this->directory_complete_until = now + kDirectoryCompletePeriod;
    this->directory_received_at = now;
  }
  for (const AgentRecord& record : update.agents) {
    if (this->agents.Merge(now, record) &&
        record.state == UpstreamState::kReady) {
      this->offer_histories[record.address].avoid_until = now;
    }
  }
  return this->listeners.Apply(update.listeners);
}

bool SegmentBalancer::CanServe() const {
  if (this->listeners.Version() == 0) return false;
  return std::any_of(this->agents.Entries().begin(),
                     this->agents.Entries().end(), [](const auto& item) {
                       return item.second.record.state == UpstreamState::kReady;
                     });
}

void SegmentBalancer::OnPacket(Millis now, std::string_view datagram,
                               BalancerOutput* out) {
  ++this->counters.packets;
  const Result<Segment> parsed = this->settings.format.read(datagram);
  if (!parsed.has_value()) {
    out->events.push_back({BalancerEventKind::kMalformed});
    return;
  }
  const Segment& segment = parsed.value();
  const SegmentFlow flow{segment.source, segment.destination};
  if (segment.opens && !segment.accepts) {
    this->OnFirstPacket(now, flow, segment, datagram, out);
    return;
  }
  const auto found = this->flows.find(flow);
  if (found != this->flows.end()) {
    found->second.last_packet_at = now;
    SegmentMessage message;
    message.kind = SegmentMessageKind::kDeliver;
    message.datagram = datagram;
    out->agents.push_back({found->second.owner, std::move(message)});
    return;
  }
  this->LookUpOwner(now, flow, std::string(datagram), out);
}

void SegmentBalancer::OnFirstPacket(Millis now, const SegmentFlow& flow,
                                    const Segment& segment,
                                    std::string_view datagram,
                                    BalancerOutput* out) {
  const auto found = this->flows.find(flow);
  if (found != this->flows.end() &&
      found->second.first_sequence == segment.sequence &&
      this->agents.Find(found->second.owner) != nullptr) {
    found->second.last_packet_at = now;
    this->Offer(now, flow, found->second, 0, std::string(datagram),
                this->HomeAgentsOf(flow), out);
    return;
  }
  this->PlaceFlow(now, flow, segment.sequence, std::string(datagram), 0,
                  std::nullopt, out);
}

void SegmentBalancer::PlaceFlow(Millis now, const SegmentFlow& flow,
                                uint32_t first_sequence, std::string datagram,
                                uint32_t tries,
                                std::optional<Endpoint> excluded,
                                BalancerOutput* out) {
  const Listener* listener = this->listeners.Find(flow.listener);
  if (listener == nullptr) {
    if (this->listeners.Version() == 0) return;
    this->RefuseFlow(flow, {BalancerEventKind::kNoListener, flow}, out);
    return;
  }
  const ServiceKey service = ListenerTable::PickService(*listener, flow);
  Entries candidates;
  std::optional<Choice> choice;
  if (tries < kMaxOffers) {
    candidates = this->RankAgents(service, flow, kOfferCandidates);
    choice = this->ChooseAgent(now, *listener, candidates, excluded);
    if (!choice.has_value()) {
      const size_t agent_count = this->agents.Entries().size();
      choice = this->ChooseAgent(now, *listener,
                                 this->RankAgents(service, flow, agent_count),
                                 excluded);
    }
  }
  if (!choice.has_value()) {
    BalancerEvent event{BalancerEventKind::kNoAgent, flow};
    event.tries = tries;
    // Agents may have started since an outdated directory: the caller's
    // retransmission finds them.
    if (tries == 0 && now > this->directory_complete_until) {
      this->flows.erase(flow);
      out->events.push_back(event);
      return;
    }
    this->RefuseFlow(flow, event, out);
    return;
  }
  if (this->flows.size() >= this->settings.max_flows &&
      !this->flows.contains(flow)) {
    this->flows.erase(this->flows.begin());
  }
  Flow& entry = this->flows[flow];
  entry = {choice->agent, now, first_sequence, tries};
  candidates.resize(std::min(candidates.size(), kHomeAgentsPerFlow));
  this->Offer(now, flow, entry, choice->load_limit_milli, std::move(datagram),
              candidates, out);
}

std::optional<SegmentBalancer::Choice> SegmentBalancer::ChooseAgent(
    Millis now, const Listener& listener, const Entries& candidates,
    std::optional<Endpoint> excluded) {
  constexpr double kNone = std::numeric_limits<double>::max();
  std::optional<Choice> choice;
  double best = kNone;
  double best_penalty = 0;
  double second = kNone;
  for (const AgentDirectory::Entry* entry : candidates) {
    const AgentRecord& record = entry->record;
    if (record.address == excluded || record.state != UpstreamState::kReady) {
      continue;
    }
    const double penalty = this->ScorePenalty(now, listener, *entry);
    const double score = record.load_milli / 1000.0 + penalty;
    if (score < best) {
      second = best;
      best = score;
      best_penalty = penalty;
      choice = Choice{record.address};
    } else if (score < second) {
      second = score;
    }
  }
  if (!choice.has_value()) return choice;
  const double limit = std::max(second - best_penalty, 0.0) + kLoadMargin;
  choice->load_limit_milli =
      static_cast<uint32_t>(std::min(limit * 1000, kMaxLoadMilli));
  return choice;
}

double SegmentBalancer::ScorePenalty(Millis now, const Listener& listener,
                                     const AgentDirectory::Entry& entry) {
  OfferHistory& history = this->offer_histories[entry.record.address];
  if (now - history.last_offer > kOfferReplyWindow) {
    history.unanswered_offers = 0;
  }
  const double slots = entry.record.slots;
  double penalty = history.unanswered_offers / slots;
  penalty += kOpenFlowLoad * entry.record.open_flows / slots;
  penalty += kTieBreakNoise * this->random.UniformDouble();
  if (entry.record.failure_domain != this->settings.failure_domain) {
    penalty +=
        IsBulk(listener.work) ? kRemoteBulkPenalty : kRemoteDomainPenalty;
  }
  // Not excluded: an avoided agent is better than none.
  if (now < history.avoid_until) penalty += kAvoidPenalty;
  return penalty;
}

void SegmentBalancer::Offer(Millis now, const SegmentFlow& flow,
                            const Flow& entry, uint32_t load_limit_milli,
                            std::string datagram, const Entries& home_agents,
                            BalancerOutput* out) {
  const Listener* listener = this->listeners.Find(flow.listener);
  SegmentMessage message;
  message.kind = SegmentMessageKind::kOffer;
  message.datagram = std::move(datagram);
  message.listener_version = this->listeners.Version();
  if (listener != nullptr) {
    message.service = ListenerTable::PickService(*listener, flow);
    message.listener_shares = HashShares(*listener);
    message.timeout = listener->timeout;
    message.target_latency = listener->target_latency;
    message.priority = listener->priority;
  }
  message.tries = entry.tries;
  message.load_milli = load_limit_milli;
  AppendAddresses(home_agents, &message.agents);
  OfferHistory& history = this->offer_histories[entry.owner];
  ++history.unanswered_offers;
  history.last_offer = now;
  ++this->counters.offers;
  out->agents.push_back({entry.owner, std::move(message)});
}

void SegmentBalancer::RefuseFlow(const SegmentFlow& flow,
                                 const BalancerEvent& event,
                                 BalancerOutput* out) {
  this->flows.erase(flow);
  this->SendReset(event, 0, out);
}

void SegmentBalancer::SendReset(BalancerEvent event, uint32_t sequence,
                                BalancerOutput* out) {
  const SegmentFlow& flow = event.flow;
  ++this->counters.resets;
  event.reset = true;
  out->callers.push_back(
      {flow.caller,
       this->settings.format.reset(flow.listener, flow.caller, sequence)});
  out->events.push_back(event);
}

std::optional<ServiceKey> SegmentBalancer::ServiceOf(
    const SegmentFlow& flow) const {
  const Listener* listener = this->listeners.Find(flow.listener);
  if (listener == nullptr) return std::nullopt;
  return ListenerTable::PickService(*listener, flow);
}

SegmentBalancer::Entries SegmentBalancer::RankAgents(
    std::optional<ServiceKey> service, const SegmentFlow& flow,
    size_t count) const {
  const uint64_t flow_hash = std::hash<SegmentFlow>()(flow);
  std::vector<std::pair<uint64_t, const AgentDirectory::Entry*>> ranked;
  for (const auto& [address, entry] : this->agents.Entries()) {
    if (service.has_value() && entry.record.service != *service) continue;
    if (entry.record.state == UpstreamState::kGone) continue;
    const uint64_t agent_hash = HashCombine(address.address, address.port);
    ranked.emplace_back(HashCombine(flow_hash, agent_hash), &entry);
  }
  const size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<ptrdiff_t>(kept),
                    ranked.end());
  ranked.resize(kept);
  Entries out;
  out.reserve(ranked.size());
  for (const auto& [rank, entry] : ranked) out.push_back(entry);
  return out;
}

void SegmentBalancer::OnAgent(Millis now, const Endpoint& from,
                              SegmentMessage message, BalancerOutput* out) {
  this->UpdateLoad(now, from, message);
  switch (message.kind) {
    case SegmentMessageKind::kOfferRefused:
      this->OnRefused(now, from, std::move(message), out);
      break;
    case SegmentMessageKind::kNotHeld:
      this->OnNotHeld(now, from, std::move(message), out);
      break;
    case SegmentMessageKind::kOwnerFound:
      this->OnOwnerFound(now, from, message, out);
      break;
    case SegmentMessageKind::kNoOwner:
      this->OnNoOwner(now, message.flow, out);
      break;
    case SegmentMessageKind::kOfferAccepted:
    case SegmentMessageKind::kOffer:
    case SegmentMessageKind::kDeliver:
    case SegmentMessageKind::kProbe:
    case SegmentMessageKind::kLookup:
    case SegmentMessageKind::kOwnerUpdate:
      break;
  }
}

void SegmentBalancer::UpdateLoad(Millis now, const Endpoint& from,
                                 const SegmentMessage& message) {
  AgentDirectory::Entry* entry = this->agents.Find(from);
  if (entry == nullptr) return;
  entry->record.load_milli = message.load_milli;
  entry->record.open_flows = message.open_flows;
  entry->record.state = message.state;
  entry->reported_at = now;
  OfferHistory& history = this->offer_histories[from];
  if (history.unanswered_offers > 0) --history.unanswered_offers;
}

void SegmentBalancer::OnRefused(Millis now, const Endpoint& from,
                                SegmentMessage message, BalancerOutput* out) {
  ++this->counters.refused;
  const Result<Segment> parsed = this->settings.format.read(message.datagram);
  if (!parsed.has_value()) return;
  const SegmentFlow flow{parsed.value().source, parsed.value().destination};
  BalancerEvent event{BalancerEventKind::kOfferRefused, flow, message.refusal,
                      from, message.tries};
  out->events.push_back(event);
  OfferHistory& history = this->offer_histories[from];
  switch (message.refusal) {
    case OfferRefusal::kStale:
      // The caller retransmits the packet after 200 ms.
      out->listeners_stale = true;
      this->flows.erase(flow);
      return;
    case OfferRefusal::kWrongService:
      this->agents.Erase(from);
      break;
    case OfferRefusal::kNotReady:
    case OfferRefusal::kUnresponsive:
      history.avoid_until = now + kAvoidNotReadyPeriod;
      break;
    case OfferRefusal::kFull:
      history.avoid_until = now + kAvoidFullPeriod;
      break;
    case OfferRefusal::kBusy:
    case OfferRefusal::kNone:
      break;
  }
  const auto found = this->flows.find(flow);
  // The flow has been offered to another agent in the meantime.
  if (found != this->flows.end() && found->second.owner != from) return;
  // A busy agent may still be the best choice.
  const bool exclude = message.refusal != OfferRefusal::kBusy;
  this->PlaceFlow(now, flow, parsed.value().sequence,
                  std::move(message.datagram), message.tries + 1,
                  exclude ? std::optional(from) : std::nullopt, out);
}

void SegmentBalancer::Tick(Millis now, BalancerOutput* out) {
  this->TickLookups(now, out);
  if (now < this->next_sweep) return;
  this->next_sweep = now + kSweepPeriod;
  // Silence since the last directory is that of the core or of this process.
  this->agents.Expire(this->directory_received_at);
  std::erase_if(this->offer_histories, [this](const auto& item) {
    return this->agents.Find(item.first) == nullptr;
  });
  std::erase_if(this->flows, [now](const auto& item) {
    return now - item.second.last_packet_at > kFlowIdleTimeout;
  });
}

}  // namespace cornelhill
