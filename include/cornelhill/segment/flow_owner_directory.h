#pragma once

#include <set>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/segment/segment.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// What an agent does as a home of flows: it keeps the address of each flow's
// owner and finds the owner for balancers that do not know it. Agents have more
// processor time than balancers, so the questions to many agents are theirs.
// Reads no clock and opens no socket. Not thread-safe.
class FlowOwnerDirectory {
 public:
  // `owner` has said that it holds the flow. Ends a search for it.
  void OnOwnerUpdate(Millis now, const SegmentFlow& flow,
                     const Endpoint& owner);

  // Passes a balancer's packet on to the owner, or to the agents that the
  // message names: first the likely ones, then all others.
  void OnLookup(Millis now, const Endpoint& balancer, SegmentMessage message,
                const SegmentFlow& flow, std::vector<PeerMessage>* out);

  // The agent at `from` has said that it does not hold a sought flow.
  void OnNotHeld(Millis now, const Endpoint& from, const SegmentFlow& flow,
                 std::vector<PeerMessage>* out);

  // A search that ended because agents have not answered.
  struct FailedSearch {
    SegmentFlow flow;
    Endpoint balancer;
    size_t unanswered = 0;
    Endpoint agent;  // One of them.
  };

  // Goes on with searches. Call at least every 20 ms while `HasSearches`.
  // Returns those that ended without a result.
  std::vector<FailedSearch> Tick(Millis now, std::vector<PeerMessage>* out);

  // Forgets owners that were told earlier than `lifetime` ago.
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
    // Of `agents`, at the front: these need not answer.
    size_t silent_count = 0;
    size_t probed = 0;              // Of `agents`.
    std::set<Endpoint> unanswered;  // Others that have not said no.
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
