// Seeks: how a balancer finds the owner of a flow that it does not know.

#include <algorithm>
#include <iterator>
#include <utility>

#include "cornelhill/segment/segment_balancer.h"

namespace cornelhill {

namespace {

// Packets of one flow that wait while its owner is sought: a sender's window.
constexpr size_t kMaxHeldPackets = 16;
// Agents that keep the address of a flow's owner. The second one serves where
// the first has restarted, or has joined after the flow was opened.
constexpr size_t kHomes = 2;
// Three one-way trips between failure domains of 5 ms, on instances with 0.04
// of a core. A recovering owner answers 25 ms after that.
constexpr Millis kAskHome{40};
// One round trip within a failure domain.
constexpr Millis kAskBalancers{30};
// Two round trips between failure domains.
constexpr Millis kAskCandidates{30};
// A recovering agent answers 25 ms after the packet reached its upstream.
constexpr Millis kAskAll{60};
// A flow whose upstream is gone is retransmitted up to eight times; each seek
// asks every agent.
constexpr Millis kSeekPause{150};
constexpr Millis kSeekPauseMax{2400};
constexpr Millis kSeekMemory{5000};
// A flow is placed at one of eight agents that its addresses select; agents
// that joined since have moved these down.
constexpr size_t kSoughtCandidates = 12;
// With up to this many agents the first seek asks all of them; otherwise a
// repeated one does.
constexpr size_t kFewAgents = 20;

}  // namespace

void SegmentBalancer::StartSeek(Millis now, const SegmentFlow& flow,
                                std::string datagram,
                                std::optional<Endpoint> except,
                                BalancerOutput* out) {
  const auto [found, added] = this->seeks.try_emplace(flow);
  Seek& seek = found->second;
  if (seek.failed) {
    if (now - seek.stage_started < seek.pause) return;
    seek.failed = false;
    seek.pause = std::min(seek.pause * 2, kSeekPauseMax);
    this->RunSeek(now, flow, std::move(datagram), except, out);
    return;
  }
  if (!added) {
    if (seek.held.size() < kMaxHeldPackets) {
      seek.held.push_back(std::move(datagram));
    }
    return;
  }
  seek.pause = kSeekPause;
  this->RunSeek(now, flow, std::move(datagram), except, out);
}

void SegmentBalancer::RunSeek(Millis now, const SegmentFlow& flow,
                              std::string datagram,
                              std::optional<Endpoint> except,
                              BalancerOutput* out) {
  Seek& seek = this->seeks.at(flow);
  seek.held.push_back(std::move(datagram));
  seek.except = except;
  seek.unanswered.clear();
  seek.asked.clear();
  seek.homes = this->HomesOf(flow);
  seek.stage = SeekStage::kHomes;
  ++this->seeking;
  ++this->counters.seeks;
  out->events.push_back({BalancerEventKind::kSeekStarted, flow});
  this->AdvanceSeek(now, flow, &seek, out);
}

std::vector<Endpoint> SegmentBalancer::HomesOf(const SegmentFlow& flow) const {
  std::vector<Endpoint> homes;
  const Listener* listener = this->listeners.Find(flow.listener);
  if (listener == nullptr) return homes;
  const ServiceKey service = ListenerTable::PickService(*listener, flow);
  for (const AgentDirectory::Entry* entry :
       this->Candidates(service, flow, kHomes)) {
    homes.push_back(entry->record.address);
  }
  return homes;
}

void SegmentBalancer::AdvanceSeek(Millis now, const SegmentFlow& flow,
                                  Seek* seek, BalancerOutput* out) {
  seek->stage_started = now;
  if (seek->stage == SeekStage::kHomes) {
    if (this->AskHome(seek, out)) return;
    seek->stage = SeekStage::kBalancers;
    // An agent that was the owner by somebody's memory has said no already.
    if (!seek->except.has_value() && this->AskBalancers(flow, seek, out)) {
      return;
    }
  }
  if (seek->stage == SeekStage::kBalancers) {
    seek->stage = SeekStage::kCandidates;
    if (this->listeners.Find(flow.listener) != nullptr) {
      this->AskCandidates(flow, seek, out);
      return;
    }
  }
  seek->stage = SeekStage::kAll;
  for (const auto& [address, entry] : this->agents.Entries()) {
    AskAgent(entry, seek, out);
  }
}

bool SegmentBalancer::AskHome(Seek* seek, BalancerOutput* out) {
  if (!seek->homes.empty() && seek->homes.front() == seek->except) {
    seek->homes.erase(seek->homes.begin());
  }
  if (seek->homes.empty()) return false;
  SegmentMessage message;
  message.kind = SegmentMessageKind::kSeekAtHome;
  message.datagram = seek->held.front();
  out->agents.push_back({seek->homes.front(), std::move(message)});
  seek->homes.erase(seek->homes.begin());
  return true;
}

bool SegmentBalancer::AskBalancers(const SegmentFlow& flow, Seek* seek,
                                   BalancerOutput* out) {
  seek->unanswered_balancers.clear();
  for (const Endpoint& balancer : this->balancers) {
    SegmentMessage message;
    message.kind = SegmentMessageKind::kAsk;
    message.flow = flow;
    seek->unanswered_balancers.insert(balancer);
    out->agents.push_back({balancer, std::move(message)});
  }
  return !this->balancers.empty();
}

void SegmentBalancer::OnNoHolder(Millis now, const SegmentFlow& flow,
                                 BalancerOutput* out) {
  const auto found = this->seeks.find(flow);
  if (found == this->seeks.end()) return;
  Seek& seek = found->second;
  if (seek.failed || seek.stage != SeekStage::kHomes) return;
  this->AdvanceSeek(now, flow, &seek, out);
}

void SegmentBalancer::OnAsk(const Endpoint& from, const SegmentMessage& message,
                            BalancerOutput* out) {
  const auto found = this->flows.find(message.flow);
  SegmentMessage reply;
  reply.kind = SegmentMessageKind::kOwner;
  reply.flow = message.flow;
  if (found != this->flows.end()) reply.owner = found->second.owner;
  out->agents.push_back({from, std::move(reply)});
}

void SegmentBalancer::OnOwner(Millis now, const Endpoint& from,
                              const SegmentMessage& message,
                              BalancerOutput* out) {
  const auto found = this->seeks.find(message.flow);
  if (found == this->seeks.end()) return;
  Seek& seek = found->second;
  if (seek.failed || seek.stage != SeekStage::kBalancers) return;
  if (message.owner == Endpoint()) {
    seek.unanswered_balancers.erase(from);
    if (seek.unanswered_balancers.empty()) {
      this->AdvanceSeek(now, message.flow, &seek, out);
    }
    return;
  }
  this->flows[message.flow] = {message.owner, now};
  this->DeliverHeld(message.owner, 0, &seek, out);
  --this->seeking;
  this->seeks.erase(found);
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

void SegmentBalancer::AskCandidates(const SegmentFlow& flow, Seek* seek,
                                    BalancerOutput* out) {
  const Listener* listener = this->listeners.Find(flow.listener);
  for (const ListenerShare& share : listener->shares) {
    for (const AgentDirectory::Entry* entry :
         this->Candidates(share.service, flow, kSoughtCandidates)) {
      AskAgent(*entry, seek, out);
    }
  }
}

void SegmentBalancer::AskAgent(const AgentDirectory::Entry& entry, Seek* seek,
                               BalancerOutput* out) {
  const Endpoint& address = entry.record.address;
  if (address == seek->except) return;
  if (entry.record.state == UpstreamState::kGone) return;
  if (!seek->asked.insert(address).second) return;
  SegmentMessage message;
  message.kind = SegmentMessageKind::kSeek;
  message.datagram = seek->held.front();
  seek->unanswered.insert(address);
  out->agents.push_back({address, std::move(message)});
}

bool SegmentBalancer::IsThorough(const Seek& seek) const {
  return seek.pause > kSeekPause || this->agents.Entries().size() <= kFewAgents;
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
  this->StartSeek(now, flow, std::move(message.datagram), from, out);
}

// Once every living agent has said that it does not hold a flow, its upstream
// is gone: the caller gets its answer at once.
void SegmentBalancer::OnSoughtInVain(Millis now, const Endpoint& from,
                                     const SegmentMessage& message,
                                     BalancerOutput* out) {
  const auto found = this->seeks.find(message.flow);
  if (found == this->seeks.end() || found->second.failed) return;
  Seek& seek = found->second;
  if (seek.stage == SeekStage::kHomes) {
    this->AdvanceSeek(now, message.flow, &seek, out);
    return;
  }
  seek.unanswered.erase(from);
  if (!seek.unanswered.empty()) return;
  if (seek.stage == SeekStage::kCandidates && this->IsThorough(seek)) {
    this->AdvanceSeek(now, message.flow, &seek, out);
  }
  if (!seek.unanswered.empty() || seek.stage != SeekStage::kAll) return;
  if (now > this->agents_complete_until) return;
  const Result<Segment> first = this->settings.format.read(seek.held.front());
  out->callers.push_back(
      {message.flow.caller,
       this->settings.format.reset(message.flow.listener, message.flow.caller,
                                   first.value().acknowledged)});
  BalancerEvent event{BalancerEventKind::kFlowLost, message.flow};
  event.reset = true;
  out->events.push_back(event);
  ++this->counters.resets;
  this->EndSeek(now, &seek);
}

void SegmentBalancer::EndSeek(Millis now, Seek* seek) {
  --this->seeking;
  seek->failed = true;
  seek->stage_started = now;
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
    const Millis waited = now - seek.stage_started;
    if (seek.failed) {
      item = waited > kSeekMemory ? this->seeks.erase(item) : std::next(item);
      continue;
    }
    if (waited > this->TimeoutOf(seek)) {
      if (this->IsLastStage(seek)) {
        ++this->counters.seeks_failed;
        out->events.push_back({BalancerEventKind::kSeekFailed, item->first});
        this->EndSeek(now, &seek);
      } else {
        this->AdvanceSeek(now, item->first, &seek, out);
      }
    }
    ++item;
  }
}

Millis SegmentBalancer::TimeoutOf(const Seek& seek) const {
  switch (seek.stage) {
    case SeekStage::kHomes:
      return kAskHome;
    case SeekStage::kBalancers:
      return kAskBalancers;
    case SeekStage::kCandidates:
      return this->IsLastStage(seek) ? kAskAll : kAskCandidates;
    case SeekStage::kAll:
      break;
  }
  return kAskAll;
}

bool SegmentBalancer::IsLastStage(const Seek& seek) const {
  return seek.stage == SeekStage::kAll ||
         (seek.stage == SeekStage::kCandidates && !this->IsThorough(seek));
}

}  // namespace cornelhill
