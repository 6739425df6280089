#include "cornelhill/segment/flow_owner_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelhill {

namespace {

// An entry takes about 60 bytes.
constexpr size_t kMaxOwnerEntries = 50000;
// Covers a round trip between failure domains (5 ms) and the 25 ms in which an
// agent finds out from its upstream whether it has a flow.
constexpr Millis kProbeRoundTimeout{40};
constexpr Millis kSearchTimeout{150};

}  // namespace

void FlowOwnerDirectory::OnOwnerUpdate(Millis now, const SegmentFlow& flow,
                                       const Endpoint& owner) {
  if (this->owners.size() >= kMaxOwnerEntries && !this->owners.contains(flow)) {
    this->owners.erase(this->owners.begin());
  }
  this->owners[flow] = {owner, now};
  this->searches.erase(flow);
}

void FlowOwnerDirectory::OnLookup(Millis now, const Endpoint& balancer,
                                  SegmentMessage message,
                                  const SegmentFlow& flow,
                                  std::vector<PeerMessage>* out) {
  // A retransmission or another balancer's lookup replaces the search: only the
  // latest requester is answered.
  Search& search = this->searches[flow];
  search = {};
  search.balancer = balancer;
  search.datagram = std::move(message.datagram);
  search.agents = std::move(message.agents);
  search.silent_count = message.silent_agent_count;
  search.started = now;
  const auto known = this->owners.find(flow);
  if (known == this->owners.end()) {
    ProbeNextRound(now, &search, out);
    return;
  }
  search.round_started = now;
  search.unanswered_agents.insert(known->second.owner);
  SendProbe(known->second.owner, &search, out);
}

void FlowOwnerDirectory::SendProbe(const Endpoint& agent, Search* search,
                                   std::vector<PeerMessage>* out) {
  SegmentMessage message;
  message.kind = SegmentMessageKind::kProbe;
  message.datagram = search->datagram;
  message.requester = search->balancer;
  out->push_back({agent, std::move(message)});
}

void FlowOwnerDirectory::ProbeNextRound(Millis now, Search* search,
                                        std::vector<PeerMessage>* out) {
  const size_t end = search->probed_count == 0
                         ? std::min(search->silent_count + kLikelyOwners,
                                    search->agents.size())
                         : search->agents.size();
  search->round_started = now;
  for (; search->probed_count < end; ++search->probed_count) {
    const Endpoint& agent = search->agents[search->probed_count];
    if (search->probed_count >= search->silent_count) {
      search->unanswered_agents.insert(agent);
    }
    SendProbe(agent, search, out);
  }
}

void FlowOwnerDirectory::OnNotHeld(Millis now, const Endpoint& from,
                                   const SegmentFlow& flow,
                                   std::vector<PeerMessage>* out) {
  const auto known = this->owners.find(flow);
  if (known != this->owners.end() && known->second.owner == from) {
    this->owners.erase(known);
  }
  const auto found = this->searches.find(flow);
  if (found == this->searches.end()) return;
  Search& search = found->second;
  search.unanswered_agents.erase(from);
  if (!search.unanswered_agents.empty()) return;
  if (search.probed_count < search.agents.size()) {
    ProbeNextRound(now, &search, out);
    return;
  }
  SegmentMessage reply;
  reply.kind = SegmentMessageKind::kNoOwner;
  reply.flow = flow;
  out->push_back({search.balancer, std::move(reply)});
  this->searches.erase(found);
}

std::vector<FlowOwnerDirectory::FailedSearch> FlowOwnerDirectory::Tick(
    Millis now, std::vector<PeerMessage>* out) {
  std::vector<FailedSearch> failed;
  for (auto item = this->searches.begin(); item != this->searches.end();) {
    Search& search = item->second;
    if (now - search.started > kSearchTimeout) {
      if (!search.unanswered_agents.empty()) {
        failed.push_back({item->first, search.balancer,
                          search.unanswered_agents.size(),
                          *search.unanswered_agents.begin()});
      }
      item = this->searches.erase(item);
      continue;
    }
    if (now - search.round_started > kProbeRoundTimeout &&
        search.probed_count < search.agents.size()) {
      ProbeNextRound(now, &search, out);
    }
    ++item;
  }
  return failed;
}

void FlowOwnerDirectory::Expire(Millis now, Millis lifetime) {
  std::erase_if(this->owners, [now, lifetime](const auto& item) {
    return now - item.second.updated_at > lifetime;
  });
}

}  // namespace cornelhill
