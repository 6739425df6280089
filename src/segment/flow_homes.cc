#include "cornelhill/segment/flow_homes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelhill {

namespace {

// Flows with this agent as a home; an entry takes about 60 bytes.
constexpr size_t kMaxHolders = 50000;
// A round trip between failure domains of 5 ms, and the 25 ms that an agent
// takes to learn from its upstream whether it holds a flow.
constexpr Millis kRound{40};
constexpr Millis kSearchLifetime{150};

}  // namespace

void FlowHomes::OnHolds(Millis now, const SegmentFlow& flow,
                        const Endpoint& owner) {
  if (this->holders.size() >= kMaxHolders && !this->holders.contains(flow)) {
    this->holders.erase(this->holders.begin());
  }
  this->holders[flow] = {owner, now};
  this->searches.erase(flow);
}

void FlowHomes::OnSeek(Millis now, const Endpoint& balancer,
                       SegmentMessage message, const SegmentFlow& flow,
                       std::vector<PeerMessage>* out) {
  // A copy of the packet, or another balancer: the newest one is answered.
  Search& search = this->searches[flow];
  search = {};
  search.balancer = balancer;
  search.datagram = std::move(message.datagram);
  search.agents = std::move(message.agents);
  search.silent = message.silent_agents;
  search.started = now;
  const auto holder = this->holders.find(flow);
  if (holder == this->holders.end()) {
    NextRound(now, &search, out);
    return;
  }
  search.round_started = now;
  search.unanswered.insert(holder->second.owner);
  Ask(holder->second.owner, &search, out);
}

void FlowHomes::Ask(const Endpoint& agent, Search* search,
                    std::vector<PeerMessage>* out) {
  SegmentMessage message;
  message.kind = SegmentMessageKind::kProbe;
  message.datagram = search->datagram;
  message.requester = search->balancer;
  out->push_back({agent, std::move(message)});
}

void FlowHomes::NextRound(Millis now, Search* search,
                          std::vector<PeerMessage>* out) {
  const size_t end =
      search->asked == 0
          ? std::min(search->silent + kLikelyOwners, search->agents.size())
          : search->agents.size();
  search->round_started = now;
  for (; search->asked < end; ++search->asked) {
    const Endpoint& agent = search->agents[search->asked];
    if (search->asked >= search->silent) search->unanswered.insert(agent);
    Ask(agent, search, out);
  }
}

void FlowHomes::OnNotHeld(Millis now, const Endpoint& from,
                          const SegmentFlow& flow,
                          std::vector<PeerMessage>* out) {
  const auto holder = this->holders.find(flow);
  if (holder != this->holders.end() && holder->second.owner == from) {
    this->holders.erase(holder);
  }
  const auto found = this->searches.find(flow);
  if (found == this->searches.end()) return;
  Search& search = found->second;
  search.unanswered.erase(from);
  if (!search.unanswered.empty()) return;
  if (search.asked < search.agents.size()) {
    NextRound(now, &search, out);
    return;
  }
  SegmentMessage reply;
  reply.kind = SegmentMessageKind::kNoOwner;
  reply.flow = flow;
  out->push_back({search.balancer, std::move(reply)});
  this->searches.erase(found);
}

std::vector<FlowHomes::FailedSearch> FlowHomes::Tick(
    Millis now, std::vector<PeerMessage>* out) {
  std::vector<FailedSearch> failed;
  for (auto item = this->searches.begin(); item != this->searches.end();) {
    Search& search = item->second;
    if (now - search.started > kSearchLifetime) {
      if (!search.unanswered.empty()) {
        failed.push_back({item->first, search.balancer,
                          search.unanswered.size(),
                          *search.unanswered.begin()});
      }
      item = this->searches.erase(item);
      continue;
    }
    if (now - search.round_started > kRound &&
        search.asked < search.agents.size()) {
      NextRound(now, &search, out);
    }
    ++item;
  }
  return failed;
}

void FlowHomes::Expire(Millis now, Millis lifetime) {
  std::erase_if(this->holders, [now, lifetime](const auto& item) {
    return now - item.second.told_at > lifetime;
  });
}

}  // namespace cornelhill
