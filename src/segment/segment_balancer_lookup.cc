// Owner lookups of `SegmentBalancer`: the balancer asks a home agent of the
// flow, which forwards the packet to the owner that it knows or probes the
// agents.

#include <algorithm>
#include <iterator>
#include <utility>

#include "cornelhill/segment/segment_balancer.h"

namespace cornelhill {

namespace {

// Packets of one flow that are queued during a lookup: a sender's window.
constexpr size_t kMaxQueuedPackets = 16;
// Covers two rounds of probes, including the 25 ms in which a recovering agent
// checks its upstream.
constexpr Millis kHomeAgentTimeout{100};
// Delays between lookups of one flow: callers retransmit a packet up to eight
// times if the flow's upstream is gone.
constexpr Millis kLookupRetryDelay{150};
constexpr Millis kMaxLookupRetryDelay{2400};
constexpr Millis kFailedLookupLifetime{5000};
// Agents report once a second, and balancers receive the report within another
// second. An agent without a report for longer is probed, but its answer is not
// waited for: its instance may have been removed together with the upstream.
constexpr Millis kAgentSilence{3000};

bool IsSilent(Millis now, const AgentDirectory::Entry& entry) {
  return now - entry.reported_at > kAgentSilence;
}

}  // namespace

void SegmentBalancer::AppendAddresses(const Entries& entries,
                                      std::vector<Endpoint>* out) {
  for (const AgentDirectory::Entry* entry : entries) {
    out->push_back(entry->record.address);
  }
}

void SegmentBalancer::LookUpOwner(Millis now, const SegmentFlow& flow,
                                  std::string datagram, BalancerOutput* out) {
  const auto [found, added] = this->lookups.try_emplace(flow);
  OwnerLookup& lookup = found->second;
  if (lookup.failed) {
    if (now - lookup.waiting_since < lookup.retry_delay) return;
    lookup.failed = false;
    lookup.retry_delay = std::min(lookup.retry_delay * 2, kMaxLookupRetryDelay);
    this->StartLookup(now, flow, std::move(datagram), out);
    return;
  }
  if (!added) {
    if (lookup.queued.size() < kMaxQueuedPackets) {
      lookup.queued.push_back(std::move(datagram));
    }
    return;
  }
  lookup.retry_delay = kLookupRetryDelay;
  this->StartLookup(now, flow, std::move(datagram), out);
}

void SegmentBalancer::StartLookup(Millis now, const SegmentFlow& flow,
                                  std::string datagram, BalancerOutput* out) {
  OwnerLookup& lookup = this->lookups.at(flow);
  lookup.queued.push_back(std::move(datagram));
  Entries home_agents = this->HomeAgentsOf(flow);
  std::stable_partition(
      home_agents.begin(), home_agents.end(),
      [now](const auto* entry) { return !IsSilent(now, *entry); });
  lookup.untried_home_agents.clear();
  AppendAddresses(home_agents, &lookup.untried_home_agents);
  ++this->active_lookups;
  ++this->counters.seeks;
  out->events.push_back({BalancerEventKind::kSeekStarted, flow});
  this->QueryHomeAgent(now, flow, &lookup, out);
}

SegmentBalancer::Entries SegmentBalancer::HomeAgentsOf(
    const SegmentFlow& flow) const {
  return this->RankAgents(this->ServiceOf(flow), flow, kHomeAgentsPerFlow);
}

bool SegmentBalancer::ListAgents(Millis now, const SegmentFlow& flow,
                                 SegmentMessage* message) const {
  Entries likely;
  if (const auto service = this->ServiceOf(flow)) {
    likely = this->RankAgents(service, flow, kLikelyOwners);
  }
  Entries silent;
  Entries others;
  for (const auto& [address, entry] : this->agents.Entries()) {
    if (entry.record.state == UpstreamState::kGone) continue;
    if (IsSilent(now, entry)) {
      silent.push_back(&entry);
    } else if (std::find(likely.begin(), likely.end(), &entry) ==
               likely.end()) {
      others.push_back(&entry);
    }
  }
  std::erase_if(likely,
                [now](const auto* entry) { return IsSilent(now, *entry); });
  std::vector<Endpoint>& listed = message->agents;
  AppendAddresses(silent, &listed);
  AppendAddresses(likely, &listed);
  AppendAddresses(others, &listed);
  const bool all_agents_listed = listed.size() <= kMaxListedAgents;
  if (!all_agents_listed) listed.resize(kMaxListedAgents);
  message->silent_agent_count =
      static_cast<uint32_t>(std::min(silent.size(), listed.size()));
  return all_agents_listed;
}

void SegmentBalancer::QueryHomeAgent(Millis now, const SegmentFlow& flow,
                                     OwnerLookup* lookup, BalancerOutput* out) {
  if (lookup->untried_home_agents.empty()) {
    this->FailLookup(now, flow, lookup, out);
    return;
  }
  SegmentMessage message;
  message.kind = SegmentMessageKind::kLookup;
  message.datagram = lookup->queued.front();
  lookup->all_agents_listed = this->ListAgents(now, flow, &message);
  lookup->waiting_since = now;
  out->agents.push_back(
      {lookup->untried_home_agents.front(), std::move(message)});
  lookup->untried_home_agents.erase(lookup->untried_home_agents.begin());
}

void SegmentBalancer::DeliverQueued(const Endpoint& owner, size_t first,
                                    OwnerLookup* lookup, BalancerOutput* out) {
  for (size_t i = first; i < lookup->queued.size(); ++i) {
    SegmentMessage message;
    message.kind = SegmentMessageKind::kDeliver;
    message.datagram = std::move(lookup->queued[i]);
    out->agents.push_back({owner, std::move(message)});
  }
}

void SegmentBalancer::OnNotHeld(Millis now, const Endpoint& from,
                                SegmentMessage message, BalancerOutput* out) {
  const Result<Segment> parsed = this->settings.format.read(message.datagram);
  if (!parsed.has_value()) return;
  const SegmentFlow flow{parsed.value().source, parsed.value().destination};
  const auto found = this->flows.find(flow);
  if (found != this->flows.end()) {
    if (found->second.owner != from) return;
    this->flows.erase(found);
  }
  out->events.push_back(
      {BalancerEventKind::kNotHeld, flow, OfferRefusal::kNone, from});
  this->LookUpOwner(now, flow, std::move(message.datagram), out);
}

// Resets the connection, so that the caller does not wait for a timeout: if no
// live agent has the flow, the upstream of the flow is gone. Without a complete
// directory, or if the home agent was sent only a part of it, an agent that was
// not asked may have the flow, so the lookup fails instead.
void SegmentBalancer::OnNoOwner(Millis now, const SegmentFlow& flow,
                                BalancerOutput* out) {
  const auto found = this->lookups.find(flow);
  if (found == this->lookups.end() || found->second.failed) return;
  OwnerLookup& lookup = found->second;
  if (now > this->directory_complete_until || !lookup.all_agents_listed) {
    this->FailLookup(now, flow, &lookup, out);
    return;
  }
  const Result<Segment> first =
      this->settings.format.read(lookup.queued.front());
  this->SendReset({BalancerEventKind::kFlowLost, flow},
                  first.value().acknowledged, out);
  this->EndLookup(now, &lookup);
}

void SegmentBalancer::FailLookup(Millis now, const SegmentFlow& flow,
                                 OwnerLookup* lookup, BalancerOutput* out) {
  ++this->counters.seeks_failed;
  out->events.push_back({BalancerEventKind::kSeekFailed, flow});
  this->EndLookup(now, lookup);
}

void SegmentBalancer::EndLookup(Millis now, OwnerLookup* lookup) {
  --this->active_lookups;
  lookup->failed = true;
  lookup->waiting_since = now;
  lookup->queued.clear();
}

void SegmentBalancer::OnOwnerFound(Millis now, const Endpoint& from,
                                   const SegmentMessage& message,
                                   BalancerOutput* out) {
  const auto lookup = this->lookups.find(message.flow);
  if (this->flows.contains(message.flow) && lookup == this->lookups.end()) {
    return;
  }
  this->flows[message.flow] = {from, now};
  if (lookup == this->lookups.end()) return;
  if (!lookup->second.failed) --this->active_lookups;
  // The owner received the first queued packet with the probe.
  this->DeliverQueued(from, 1, &lookup->second, out);
  this->lookups.erase(lookup);
}

void SegmentBalancer::TickLookups(Millis now, BalancerOutput* out) {
  for (auto item = this->lookups.begin(); item != this->lookups.end();) {
    OwnerLookup& lookup = item->second;
    const Millis waited = now - lookup.waiting_since;
    if (lookup.failed) {
      item = waited > kFailedLookupLifetime ? this->lookups.erase(item)
                                            : std::next(item);
      continue;
    }
    if (waited > kHomeAgentTimeout) {
      this->QueryHomeAgent(now, item->first, &lookup, out);
    }
    ++item;
  }
}

}  // namespace cornelhill
