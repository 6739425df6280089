// Seeks: how a balancer finds the owner of a flow that it does not know. It
// asks a home of the flow, which asks the agents.

#include <algorithm>
#include <iterator>
#include <utility>

#include "cornelhill/segment/segment_balancer.h"

namespace cornelhill {

namespace {

// Packets of one flow that wait while its owner is sought: a sender's window.
constexpr size_t kMaxHeldPackets = 16;
// Two rounds of questions with 25 ms for the upstream of a recovering agent.
constexpr Millis kAskHome{100};
// A flow whose upstream is gone is retransmitted up to eight times.
constexpr Millis kSeekPause{150};
constexpr Millis kSeekPauseMax{2400};
constexpr Millis kSeekMemory{5000};
// Agents speak once a second and balancers hear of it within another second. An
// instance that was taken away says nothing more, and its upstream is gone.
constexpr Millis kAgentSilence{3000};

// Whether an agent has said nothing for so long that it may be gone.
bool IsSilent(Millis now, const AgentDirectory::Entry& entry) {
  return now - entry.said_at > kAgentSilence;
}

}  // namespace

void SegmentBalancer::AppendAddresses(const Entries& entries,
                                      std::vector<Endpoint>* out) {
  for (const AgentDirectory::Entry* entry : entries) {
    out->push_back(entry->record.address);
  }
}

void SegmentBalancer::StartSeek(Millis now, const SegmentFlow& flow,
                                std::string datagram, BalancerOutput* out) {
  const auto [found, added] = this->seeks.try_emplace(flow);
  Seek& seek = found->second;
  if (seek.failed) {
    if (now - seek.started < seek.pause) return;
    seek.failed = false;
    seek.pause = std::min(seek.pause * 2, kSeekPauseMax);
    this->RunSeek(now, flow, std::move(datagram), out);
    return;
  }
  if (!added) {
    if (seek.held.size() < kMaxHeldPackets) {
      seek.held.push_back(std::move(datagram));
    }
    return;
  }
  seek.pause = kSeekPause;
  this->RunSeek(now, flow, std::move(datagram), out);
}

void SegmentBalancer::RunSeek(Millis now, const SegmentFlow& flow,
                              std::string datagram, BalancerOutput* out) {
  Seek& seek = this->seeks.at(flow);
  seek.held.push_back(std::move(datagram));
  Entries homes = this->HomesOf(flow);
  std::stable_partition(homes.begin(), homes.end(), [now](const auto* entry) {
    return !IsSilent(now, *entry);
  });
  seek.homes.clear();
  AppendAddresses(homes, &seek.homes);
  ++this->seeking;
  ++this->counters.seeks;
  out->events.push_back({BalancerEventKind::kSeekStarted, flow});
  this->AskHome(now, flow, &seek, out);
}

SegmentBalancer::Entries SegmentBalancer::HomesOf(
    const SegmentFlow& flow) const {
  return this->Candidates(this->ServiceOf(flow), flow, kHomes);
}

bool SegmentBalancer::NameAgents(Millis now, const SegmentFlow& flow,
                                 SegmentMessage* message) const {
  Entries likely;
  if (const auto service = this->ServiceOf(flow)) {
    likely = this->Candidates(service, flow, kLikelyOwners);
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
  std::vector<Endpoint>& named = message->agents;
  AppendAddresses(silent, &named);
  AppendAddresses(likely, &named);
  AppendAddresses(others, &named);
  const bool all = named.size() <= kMaxListedAgents;
  if (!all) named.resize(kMaxListedAgents);
  message->silent_agents =
      static_cast<uint32_t>(std::min(silent.size(), named.size()));
  return all;
}

void SegmentBalancer::AskHome(Millis now, const SegmentFlow& flow, Seek* seek,
                              BalancerOutput* out) {
  if (seek->homes.empty()) {
    this->FailSeek(now, flow, seek, out);
    return;
  }
  SegmentMessage message;
  message.kind = SegmentMessageKind::kLookup;
  message.datagram = seek->held.front();
  seek->named_all = this->NameAgents(now, flow, &message);
  seek->started = now;
  out->agents.push_back({seek->homes.front(), std::move(message)});
  seek->homes.erase(seek->homes.begin());
}

void SegmentBalancer::DeliverHeld(const Endpoint& owner, size_t first,
                                  Seek* seek, BalancerOutput* out) {
  for (size_t i = first; i < seek->held.size(); ++i) {
    SegmentMessage deliver;
    deliver.kind = SegmentMessageKind::kDeliver;
    deliver.datagram = std::move(seek->held[i]);
    out->agents.push_back({owner, std::move(deliver)});
  }
}

void SegmentBalancer::OnNotHeld(Millis now, const Endpoint& from,
                                SegmentMessage message, BalancerOutput* out) {
  const Result<Segment> read = this->settings.format.read(message.datagram);
  if (!read.has_value()) return;
  const SegmentFlow flow{read.value().source, read.value().destination};
  const auto found = this->flows.find(flow);
  if (found != this->flows.end()) {
    if (found->second.owner != from) return;
    this->flows.erase(found);
  }
  out->events.push_back(
      {BalancerEventKind::kNotHeld, flow, OfferRefusal::kNone, from});
  this->StartSeek(now, flow, std::move(message.datagram), out);
}

// Once every living agent has said that it does not hold a flow, its upstream
// is gone: the caller gets its answer at once.
void SegmentBalancer::OnNoHolder(Millis now, const SegmentFlow& flow,
                                 BalancerOutput* out) {
  const auto found = this->seeks.find(flow);
  if (found == this->seeks.end() || found->second.failed) return;
  Seek& seek = found->second;
  if (now > this->agents_complete_until || !seek.named_all) {
    this->FailSeek(now, flow, &seek, out);
    return;
  }
  const Result<Segment> first = this->settings.format.read(seek.held.front());
  this->Reset({BalancerEventKind::kFlowLost, flow}, first.value().acknowledged,
              out);
  this->EndSeek(now, &seek);
}

void SegmentBalancer::FailSeek(Millis now, const SegmentFlow& flow, Seek* seek,
                               BalancerOutput* out) {
  ++this->counters.seeks_failed;
  out->events.push_back({BalancerEventKind::kSeekFailed, flow});
  this->EndSeek(now, seek);
}

void SegmentBalancer::EndSeek(Millis now, Seek* seek) {
  --this->seeking;
  seek->failed = true;
  seek->started = now;
  seek->held.clear();
}

void SegmentBalancer::OnHeld(Millis now, const Endpoint& from,
                             const SegmentMessage& message,
                             BalancerOutput* out) {
  const auto seek = this->seeks.find(message.flow);
  if (this->flows.contains(message.flow) && seek == this->seeks.end()) return;
  this->flows[message.flow] = {from, now};
  if (seek == this->seeks.end()) return;
  if (!seek->second.failed) --this->seeking;
  // The first packet has reached the owner with the question.
  this->DeliverHeld(from, 1, &seek->second, out);
  this->seeks.erase(seek);
}

void SegmentBalancer::TickSeeks(Millis now, BalancerOutput* out) {
  for (auto item = this->seeks.begin(); item != this->seeks.end();) {
    Seek& seek = item->second;
    const Millis waited = now - seek.started;
    if (seek.failed) {
      item = waited > kSeekMemory ? this->seeks.erase(item) : std::next(item);
      continue;
    }
    if (waited > kAskHome) this->AskHome(now, item->first, &seek, out);
    ++item;
  }
}

}  // namespace cornelhill
