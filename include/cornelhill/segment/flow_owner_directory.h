#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/segment/segment.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// Owners of the flows that this agent is a home agent of. Balancers look up
// here the owner of a flow that they do not know; an unknown owner is searched
// for by probing other agents. The probes are sent by agents because these have
// more processor time than balancers. Reads no clock and opens no socket. Not
// thread-safe.
class FlowOwnerDirectory {
 public:
  // Stores the owner that has announced itself and ends a search for it.
  void OnOwnerUpdate(Millis now, const SegmentFlow& flow,
                     const Endpoint& owner);

  // Forwards the packet of a balancer's lookup to the known owner, otherwise to
  // the agents listed in the message: first the likely owners, then all others.
  void OnLookup(Millis now, const Endpoint& balancer, SegmentMessage message,
                const SegmentFlow& flow, std::vector<PeerMessage>* out);

  // Handles the answer of the agent at `from` that it does not have the flow.
  // Sends `kNoOwner` to the balancer once every agent whose answer is waited
  // for has answered so.
  void OnNotHeld(Millis now, const Endpoint& from, const SegmentFlow& flow,
                 std::vector<PeerMessage>* out);

  // A search that timed out before all probed agents had answered.
  struct FailedSearch {
    SegmentFlow flow;
    Endpoint balancer;
    size_t unanswered_count = 0;
    Endpoint agent;  // One of the agents that did not answer.
  };

  // Starts further probe rounds and ends searches that timed out. Call at least
  // every 20 ms while `HasSearches`. Returns the searches that failed.
  std::vector<FailedSearch> Tick(Millis now, std::vector<PeerMessage>* out);

  // Drops owners last updated more than `lifetime` ago.
  void Expire(Millis now, Millis lifetime);

  bool HasSearches() const { return !this->searches.empty(); }

 private:
  struct OwnerEntry {
    Endpoint owner;
    Millis updated_at;
  };

  struct Search {
    Endpoint balancer;
    std::string datagram;
    std::vector<Endpoint> agents;
    // Agents at the front of `agents` whose answer is not waited for.
    size_t silent_count = 0;
    // Agents at the front of `agents` that were probed.
    size_t probed_count = 0;
    std::set<Endpoint> unanswered_agents;  // Agents whose answer is waited for.
    Millis started;
    Millis round_started;
  };

  static void SendProbe(const Endpoint& agent, Search* search,
                        std::vector<PeerMessage>* out);
  static void ProbeNextRound(Millis now, Search* search,
                             std::vector<PeerMessage>* out);

  std::unordered_map<SegmentFlow, OwnerEntry> owners;
  std::unordered_map<SegmentFlow, Search> searches;
};

}  // namespace cornelhill
