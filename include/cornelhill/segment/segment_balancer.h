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
  // An entry takes about 120 bytes; 60,000 stay below 8 MB.
  size_t max_flows = 60000;
  // Differs between balancers, so that they do not choose the same agent.
  uint64_t seed = 1;
};

// Why a caller was refused, or a packet dropped, for logs and counters.
enum class BalancerEventKind : uint8_t {
  kNoListener = 0,
  kNoAgent = 1,
  kOfferRefused = 2,
  kNotHeld = 3,
  kSeekStarted = 4,
  kSeekFailed = 5,
  kMalformed = 6,
  kFlowLost = 7,  // No agent holds it; the caller was sent a reset.
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

// What a balancer wants sent, in order, and what it has decided.
struct BalancerOutput {
  std::vector<PeerMessage> agents;
  std::vector<CallerPacket> callers;
  std::vector<BalancerEvent> events;
  // An agent has seen a later version than this balancer.
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

// The decisions of a balancer for flows of a stream transport. It places a new
// flow at an agent and remembers who has it; what it does not remember it asks
// the agents for, so that a restart or a change of the router's hash loses no
// flow. Reads no clock and opens no socket. Not thread-safe.
class SegmentBalancer {
 public:
  explicit SegmentBalancer(SegmentBalancerSettings settings);

  // Takes listeners and agents from a core member. Returns whether the version
  // of the listeners rose.
  bool OnUpdate(Millis now, const Update& update);

  // Handles a packet from a caller.
  void OnPacket(Millis now, std::string_view datagram, BalancerOutput* out);

  // Handles a message from the agent at `from`.
  void OnAgent(Millis now, const Endpoint& from, SegmentMessage message,
               BalancerOutput* out);

  // Ends seeks and forgets idle flows. Call at least every 20 ms while
  // `HasActiveLookups`, otherwise at least once a second.
  void Tick(Millis now, BalancerOutput* out);

  bool HasActiveLookups() const { return this->active_lookups > 0; }

  // Whether a new flow could be served.
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

  // A flow whose owner a home is asked to find.
  struct OwnerLookup {
    std::vector<std::string> queued;
    Millis started;       // Since the home was asked.
    bool failed = false;  // Nobody answered; kept so that it is not repeated.
    Millis retry_delay;   // Until the next seek after a failed one.
    // Those that were not asked yet.
    std::vector<Endpoint> untried_home_agents;
    bool all_listed = false;  // The home knows of every agent.
  };

  // What this balancer knows of an agent beyond the directory.
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
  // An agent to offer a flow to, and the load above which the next best one
  // would have been better.
  struct Choice {
    Endpoint agent;
    uint32_t load_limit_milli = 0;
  };
  // Agents that keep the address of a flow's owner. The second one serves where
  // the first is gone.
  static constexpr size_t kHomeAgentsPerFlow = 2;

  using Entries = std::vector<const AgentDirectory::Entry*>;

  // The service that a flow's listener leads to; none for a removed listener.
  std::optional<ServiceKey> ServiceOf(const SegmentFlow& flow) const;
  // The agents of a service, or of all, that a flow's addresses rank first, in
  // that order: a pure function of the flow and the directory.
  Entries RankAgents(std::optional<ServiceKey> service, const SegmentFlow& flow,
                     size_t count) const;
  std::optional<Choice> ChooseAgent(Millis now, const Listener& listener,
                                    const Entries& candidates,
                                    std::optional<Endpoint> excluded);
  // Expected busy requests per slot beside those that the agent states.
  double ScorePenalty(Millis now, const Listener& listener,
                      const AgentDirectory::Entry& entry);
  void Offer(Millis now, const SegmentFlow& flow, const Flow& state,
             uint32_t load_limit_milli, std::string datagram,
             const Entries& home_agents, BalancerOutput* out);
  void LookUpOwner(Millis now, const SegmentFlow& flow, std::string datagram,
                   BalancerOutput* out);
  void StartLookup(Millis now, const SegmentFlow& flow, std::string datagram,
                   BalancerOutput* out);
  // The agents that a flow's addresses rank first. The owner tells them that it
  // holds the flow.
  Entries HomeAgentsOf(const SegmentFlow& flow) const;
  static void AppendAddresses(const Entries& entries,
                              std::vector<Endpoint>* out);
  // Names the agents that may hold a flow: those that have said nothing lately,
  // the likely ones, and all others. Returns whether none is left out.
  bool ListAgents(Millis now, const SegmentFlow& flow,
                  SegmentMessage* message) const;
  // Asks the next home to find the owner. Fails the seek where none is left.
  void QueryHomeAgent(Millis now, const SegmentFlow& flow, OwnerLookup* lookup,
                      BalancerOutput* out);
  void FailLookup(Millis now, const SegmentFlow& flow, OwnerLookup* lookup,
                  BalancerOutput* out);
  void DeliverQueued(const Endpoint& owner, size_t first, OwnerLookup* lookup,
                     BalancerOutput* out);
  void OnNoOwner(Millis now, const SegmentFlow& flow, BalancerOutput* out);
  void EndLookup(Millis now, OwnerLookup* lookup);
  // Forgets a flow that cannot be placed and resets it.
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
  Millis directory_complete_until;  // Until then no living agent is missing.
  std::map<Endpoint, OfferHistory> offer_histories;
  std::unordered_map<SegmentFlow, Flow> flows;
  std::unordered_map<SegmentFlow, OwnerLookup> lookups;
  size_t active_lookups = 0;  // Seeks that have not failed.
  Random random;
  Millis next_sweep;
  BalancerCounters counters;
};

}  // namespace cornelhill
