#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"
#include "cornelhill/segment/agent_directory.h"
#include "cornelhill/segment/listener_table.h"
#include "cornelhill/segment/segment.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

struct SegmentBalancerSettings {
  std::string failure_domain;
  SegmentFormat format;
  // An entry takes about 120 bytes; 60,000 entries take less than 8 MB.
  size_t max_flows = 60000;
  // Differs between balancers, so that they do not all choose the same
  // agent.
  uint64_t seed = 1;
};

// Events for logs and counters.
enum class BalancerEventKind : uint8_t {
  kNoListener = 0,
  kNoAgent = 1,
  kOfferRefused = 2,
  kNotHeld = 3,
  kSeekStarted = 4,
  kSeekFailed = 5,
  kMalformed = 6,
  kFlowLost = 7,  // No agent owns the flow; the caller was sent a reset.
};

// Number of `BalancerEventKind` values.
constexpr uint32_t kBalancerEventKindCount = 8;

std::string_view ToString(BalancerEventKind kind);

struct BalancerEvent {
  BalancerEventKind kind = BalancerEventKind::kNoListener;
  SegmentFlow flow;
  OfferRefusal refusal = OfferRefusal::kNone;
  Endpoint agent;
  uint32_t tries = 0;
  bool reset = false;  // The caller was sent a reset.
};

// Messages and packets that a balancer sends, in order, and its events.
struct BalancerOutput {
  std::vector<PeerMessage> agents;
  std::vector<CallerPacket> callers;
  std::vector<BalancerEvent> events;
  // An agent knows a later version of the listeners than this balancer.
  bool listeners_stale = false;
};

struct BalancerCounters {
  uint64_t packets = 0;
  uint64_t offers = 0;
  uint64_t refused = 0;
  uint64_t resets = 0;
  uint64_t seeks = 0;
  uint64_t seeks_failed = 0;
};

// Decision logic of a balancer for flows of a stream transport. Places a new
// flow at an agent and caches the flow's owner. An owner that is not cached is
// looked up at the agents, so that a restart or a change of the router's hash
// loses no flow. Reads no clock and opens no socket. Not thread-safe.
class SegmentBalancer {
 public:
  explicit SegmentBalancer(SegmentBalancerSettings settings);

  // Applies listeners and agents from a core member. Returns whether the
  // version of the listeners has increased.
  bool OnUpdate(Millis now, const Update& update);

  // Handles a packet from a caller.
  void OnPacket(Millis now, std::string_view datagram, BalancerOutput* out);

  // Handles a message from the agent at `from`.
  void OnAgent(Millis now, const Endpoint& from, SegmentMessage message,
               BalancerOutput* out);

  // Advances lookups that have timed out and removes idle flows. Call at least
  // every 20 ms while `HasActiveLookups`, otherwise at least once a second.
  void Tick(Millis now, BalancerOutput* out);

  bool HasActiveLookups() const { return this->active_lookups > 0; }

  // Returns whether there are listeners and an agent that is ready.
  bool CanServe() const;

  const ListenerTable& Listeners() const { return this->listeners; }
  const AgentDirectory& Agents() const { return this->agents; }
  const BalancerCounters& Counters() const { return this->counters; }
  size_t FlowCount() const { return this->flows.size(); }

 private:
  struct Flow {
    Endpoint owner;
    Millis last_packet_at;
    uint32_t first_sequence = 0;
    uint32_t tries = 0;
  };

  // Lookup of a flow's owner through the home agents of the flow. The events
  // and counters call it a seek.
  struct OwnerLookup {
    std::vector<std::string> queued;  // Packets that wait for the owner.
    // Time of the last query to a home agent, or of the failure.
    Millis waiting_since;
    bool failed = false;  // Ended without an owner; kept to delay the next one.
    Millis retry_delay;   // From a failed lookup to the next one.
    std::vector<Endpoint> untried_home_agents;
    // The home agent was sent the list of all agents.
    bool all_agents_listed = false;
  };

  // What this balancer knows of an agent from its own offers.
  struct OfferHistory {
    Millis avoid_until;
    uint32_t unanswered_offers = 0;
    Millis last_offer;
  };

  void OnFirstPacket(Millis now, const SegmentFlow& flow,
                     const Segment& segment, std::string_view datagram,
                     BalancerOutput* out);
  void PlaceFlow(Millis now, const SegmentFlow& flow, uint32_t first_sequence,
                 std::string datagram, uint32_t tries,
                 std::optional<Endpoint> excluded, BalancerOutput* out);
  // An agent to offer a flow to, and the load above which the second-best agent
  // is the better choice.
  struct Choice {
    Endpoint agent;
    uint32_t load_limit_milli = 0;
  };
  // Number of agents that store the owner of a flow. The second one is queried
  // if the first does not answer.
  static constexpr size_t kHomeAgentsPerFlow = 2;

  using Entries = std::vector<const AgentDirectory::Entry*>;

  // Returns the service of a flow; none if its listener was removed.
  std::optional<ServiceKey> ServiceOf(const SegmentFlow& flow) const;
  // Returns the first `count` agents in the flow's ranking of the agents of
  // `service`, or of all agents without one. The ranking is a rendezvous hash
  // of the flow and the agents in the directory.
  Entries RankAgents(std::optional<ServiceKey> service, const SegmentFlow& flow,
                     size_t count) const;
  std::optional<Choice> ChooseAgent(Millis now, const Listener& listener,
                                    const Entries& candidates,
                                    std::optional<Endpoint> excluded);
  // Returns what is added to the load that the agent reported, in busy requests
  // per slot: expected load and preferences.
  double ScorePenalty(Millis now, const Listener& listener,
                      const AgentDirectory::Entry& entry);
  void Offer(Millis now, const SegmentFlow& flow, const Flow& entry,
             uint32_t load_limit_milli, std::string datagram,
             const Entries& home_agents, BalancerOutput* out);
  void LookUpOwner(Millis now, const SegmentFlow& flow, std::string datagram,
                   BalancerOutput* out);
  void StartLookup(Millis now, const SegmentFlow& flow, std::string datagram,
                   BalancerOutput* out);
  // Returns the home agents of a flow: the agents that rank first for it. The
  // owner announces itself to them.
  Entries HomeAgentsOf(const SegmentFlow& flow) const;
  static void AppendAddresses(const Entries& entries,
                              std::vector<Endpoint>* out);
  // Lists the agents that may own a flow: silent agents, likely owners, and all
  // others. Returns whether the list is complete.
  bool ListAgents(Millis now, const SegmentFlow& flow,
                  SegmentMessage* message) const;
  // Asks the next home agent for the owner. Fails the lookup if none is left.
  void QueryHomeAgent(Millis now, const SegmentFlow& flow, OwnerLookup* lookup,
                      BalancerOutput* out);
  void FailLookup(Millis now, const SegmentFlow& flow, OwnerLookup* lookup,
                  BalancerOutput* out);
  void DeliverQueued(const Endpoint& owner, size_t first, OwnerLookup* lookup,
                     BalancerOutput* out);
  void OnNoOwner(Millis now, const SegmentFlow& flow, BalancerOutput* out);
  void EndLookup(Millis now, OwnerLookup* lookup);
  // Removes a flow that cannot be placed and resets it.
  void RefuseFlow(const SegmentFlow& flow, const BalancerEvent& event,
                  BalancerOutput* out);
  void SendReset(BalancerEvent event, uint32_t sequence, BalancerOutput* out);
  void OnRefused(Millis now, const Endpoint& from, SegmentMessage message,
                 BalancerOutput* out);
  void OnNotHeld(Millis now, const Endpoint& from, SegmentMessage message,
                 BalancerOutput* out);
  void TickLookups(Millis now, BalancerOutput* out);
  void OnOwnerFound(Millis now, const Endpoint& from,
                    const SegmentMessage& message, BalancerOutput* out);
  void UpdateLoad(Millis now, const Endpoint& from,
                  const SegmentMessage& message);

  SegmentBalancerSettings settings;
  ListenerTable listeners;
  AgentDirectory agents;
  // Until then the directory contains every live agent.
  Millis directory_complete_until;
  // When the last complete directory was received.
  Millis directory_received_at;
  std::map<Endpoint, OfferHistory> offer_histories;
  std::unordered_map<SegmentFlow, Flow> flows;
  std::unordered_map<SegmentFlow, OwnerLookup> lookups;
  size_t active_lookups = 0;  // Lookups that have not failed.
  Random random;
  Millis next_sweep;
  BalancerCounters counters;
};

}  // namespace cornelhill
