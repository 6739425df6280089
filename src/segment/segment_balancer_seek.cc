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
// Agents that keep the address of a flow's owner. The second one serves where
// the first is gone.
constexpr size_t kHomes = 2;
// Two rounds of questions with 25 ms for the upstream of a recovering agent.
constexpr Millis kAskHome{100};
// A flow whose upstream is gone is retransmitted up to eight times.
constexpr Millis kSeekPause{150};
constexpr Millis kSeekPauseMax{2400};
constexpr Millis kSeekMemory{5000};
// A home asks this many first. A flow is placed at one of eight agents that its
// addresses select; agents that joined since have moved these down.
constexpr size_t kLikely = 12;
// Agents speak once a second and balancers hear of it within another second. An
// instance that was taken away says nothing more, and its upstream is gone.
constexpr Millis kAgentSilence{3000};

}  // namespace

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
  seek.homes = this->HomesOf(flow);
  std::stable_partition(
      seek.homes.begin(), seek.homes.end(),
      [this, now](const Endpoint& home) { return !this->IsSilent(now, home); });
  ++this->seeking;
  ++this->counters.seeks;
  out->events.push_back({BalancerEventKind::kSeekStarted, flow});
  if (!this->AskHome(now, flow, &seek, out)) {
    this->FailSeek(now, flow, &seek, out);
  }
}

std::vector<Endpoint> SegmentBalancer::HomesOf(const SegmentFlow& flow) const {
  std::optional<ServiceKey> service;
  const Listener* listener = this->listeners.Find(flow.listener);
  if (listener != nullptr) {
    service = ListenerTable::PickService(*listener, flow);
  }
  std::vector<Endpoint> homes;
  for (const AgentDirectory::Entry* entry :
       this->Candidates(service, flow, kHomes)) {
    homes.push_back(entry->record.address);
  }
  return homes;
}

bool SegmentBalancer::IsSilent(Millis now, const Endpoint& agent) const {
  const AgentDirectory::Entry* entry = this->agents.Find(agent);
  return entry == nullptr || now - entry->said_at > kAgentSilence;
}

bool SegmentBalancer::NameAgents(Millis now, const SegmentFlow& flow,
                                 SegmentMessage* message) const {
  std::vector<Endpoint> likely;
  std::vector<Endpoint> silent;
  std::vector<Endpoint> others;
  const Listener* listener = this->listeners.Find(flow.listener);
  if (listener != nullptr) {
    const ServiceKey service = ListenerTable::PickService(*listener, flow);
    for (const AgentDirectory::Entry* entry :
         this->Candidates(service, flow, kLikely)) {
      likely.push_back(entry->record.address);
    }
  }
  for (const auto& [address, entry] : this->agents.Entries()) {
    if (entry.record.state == UpstreamState::kGone) continue;
    if (this->IsSilent(now, address)) {
      std::erase(likely, address);
      silent.push_back(address);
    } else if (std::find(likely.begin(), likely.end(), address) ==
               likely.end()) {
      others.push_back(address);
    }
  }
  std::vector<Endpoint>& named = message->agents;
  named = silent;
  named.insert(named.end(), likely.begin(), likely.end());
  named.insert(named.end(), others.begin(), others.end());
  const bool all = named.size() <= kMaxNamedAgents;
  if (!all) named.resize(kMaxNamedAgents);
  message->silent_agents =
      static_cast<uint32_t>(std::min(silent.size(), named.size()));
  return all;
}

bool SegmentBalancer::AskHome(Millis now, const SegmentFlow& flow, Seek* seek,
                              BalancerOutput* out) {
  if (seek->homes.empty()) return false;
  SegmentMessage message;
  message.kind = SegmentMessageKind::kSeekAtHome;
  message.datagram = seek->held.front();
  seek->named_all = this->NameAgents(now, flow, &message);
  seek->started = now;
  out->agents.push_back({seek->homes.front(), std::move(message)});
  seek->homes.erase(seek->homes.begin());
  return true;
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
  out->callers.push_back(
      {flow.caller, this->settings.format.reset(flow.listener, flow.caller,
                                                first.value().acknowledged)});
  BalancerEvent event{BalancerEventKind::kFlowLost, flow};
  event.reset = true;
  out->events.push_back(event);
  ++this->counters.resets;
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
    if (waited > kAskHome && !this->AskHome(now, item->first, &seek, out)) {
      this->FailSeek(now, item->first, &seek, out);
    }
    ++item;
  }
}

}  // namespace cornelhill
