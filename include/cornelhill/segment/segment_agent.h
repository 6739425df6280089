#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/segment/flow_owner_directory.h"
#include "cornelhill/segment/segment.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

struct SegmentAgentSettings {
  Endpoint address;     // Of the agent's data socket.
  std::string service;  // Name of the service that its upstream belongs to.
  std::string failure_domain;
  SegmentFormat format;
  // A flow older than this need not be found again.
  Millis flow_lifetime{60000};
  // An upstream that has not reported for this long takes no new flows.
  Millis report_timeout{4000};
  // An upstream that has not reported this long after the agent's start is not
  // there.
  Millis first_report_timeout{3000};
};

// What an upstream says of itself.
struct UpstreamReport {
  std::string id;           // Of this start of the upstream.
  Incarnation incarnation;  // A later start has a higher one.
  uint64_t sequence = 0;    // Counts the reports of one start.
  std::string service;
  UpstreamState state = UpstreamState::kReady;
  uint32_t slots = 1;
};

enum class AgentDecisionKind : uint8_t {
  kFlowAccepted = 0,
  kOfferRefused = 1,
  kFlowAdopted = 2,  // Found at the upstream after the agent had restarted.
  kFlowReturned = 3,
  kFlowLost = 4,  // Its upstream has started anew; the caller got a reset.
  kMalformed = 5,
  kSearchFailed = 6,  // Some agents did not say whether they hold a flow.
};

// Number of `AgentDecisionKind` values.
constexpr uint32_t kAgentDecisionKindCount = 7;

std::string_view ToString(AgentDecisionKind kind);

struct AgentDecision {
  AgentDecisionKind kind = AgentDecisionKind::kFlowAccepted;
  SegmentFlow flow;
  OfferRefusal refusal = OfferRefusal::kNone;
  UpstreamState state = UpstreamState::kUnknown;
  uint32_t busy = 0;
  Millis report_age;
  Endpoint balancer;
  size_t unanswered = 0;  // Agents, of a failed search.
  Endpoint agent;         // One of them.
};

// What an agent wants sent, in order, and what it has decided.
struct SegmentAgentOutput {
  std::vector<PeerMessage> peers;     // To balancers and other agents.
  std::vector<std::string> upstream;  // Datagrams.
  std::vector<CallerPacket> callers;
  std::vector<AgentDecision> decisions;
  // Times from an accepted first packet to the upstream's reply, and from a
  // request's first data to the answer's.
  std::vector<Millis> first_replies;
  std::vector<Millis> answers;
};

// The decisions of the agent beside one upstream for flows of a stream
// transport. It alone takes new flows for its upstream, so an upstream that
// leaves gets none from the moment at which its report is acknowledged. After
// a restart it finds its flows again: the upstream returns each packet of a
// flow that it does not hold. Reads no clock and opens no socket. Not
// thread-safe.
class SegmentAgent {
 public:
  SegmentAgent(SegmentAgentSettings settings, Millis now);

  // Takes a report of the upstream. Returns false where it is older than one
  // taken before; it then changes nothing.
  bool OnReport(Millis now, const UpstreamReport& report);

  // The upstream has gone for good.
  void OnLeave(const std::string& id);

  // Takes no new flow from now on.
  void Drain() { this->draining = true; }

  // Handles a message from the balancer, or the other agent, at `from`.
  void OnPeer(Millis now, const Endpoint& from, SegmentMessage message,
              SegmentAgentOutput* out);

  // Handles a packet that the upstream sent or returned.
  void OnUpstream(Millis now, std::string datagram, SegmentAgentOutput* out);

  // Ends trials and searches and forgets idle flows. Call at least every 20 ms
  // while `HasPendingWork`, otherwise at least once a second.
  void Tick(Millis now, SegmentAgentOutput* out);

  bool HasPendingWork() const {
    return !this->upstream_checks.empty() ||
           this->owner_directory.HasSearches();
  }

  // What the agent says of itself; `age` is that of the last report.
  AgentRecord Record(Millis now) const;

  UpstreamState State(Millis now) const;
  // As counted within the last second, and those accepted since.
  size_t OpenFlows() const { return this->open_flows; }
  uint32_t BusyFlows() const { return this->busy_flows; }

 private:
  struct Flow {
    uint32_t first_sequence = 0;
    bool first_known = false;  // False for an adopted flow.
    bool abandoned = false;  // Given back; what the upstream sends is dropped.
    bool accepted = false;   // The upstream has replied to the first packet.
    bool opened = false;     // The caller has gone on after that.
    bool caller_closed = false;
    bool upstream_closed = false;
    bool busy = false;  // The upstream works on a request.
    bool data_seen = false;
    uint32_t tries = 0;     // Offers that were made before this one.
    uint32_t data_end = 0;  // Sequence after the caller's last data.
    Endpoint balancer;
    Incarnation incarnation;  // Of the upstream that the flow opened at.
    Millis opened_at;
    Millis busy_since;
    Millis last_packet_at;
  };

  // A packet of an unknown flow that was given to the upstream to learn
  // whether it holds the flow.
  struct UpstreamCheck {
    Endpoint balancer;
    Endpoint home_agent;  // Of a sought packet.
    Millis deadline;
    bool is_probe = false;
  };

  void OnLookup(Millis now, const Endpoint& from, SegmentMessage message,
                const Segment& segment, SegmentAgentOutput* out);
  void NotifyHomeAgents(const SegmentFlow& flow,
                        const std::vector<Endpoint>& home_agents,
                        SegmentAgentOutput* out) const;

  void OnOffer(Millis now, const Endpoint& from, SegmentMessage message,
               const Segment& segment, SegmentAgentOutput* out);
  // The flow that a copy of this first packet has opened before, or null.
  const Flow* FindOpenedBy(const SegmentFlow& flow,
                           const Segment& first_packet) const;
  AgentDecision MakeOfferDecision(Millis now, const SegmentFlow& flow,
                                  OfferRefusal refusal,
                                  const Endpoint& balancer) const;
  OfferRefusal CheckOffer(Millis now, const SegmentMessage& message,
                          const Segment& segment) const;
  void OnFlowPacket(Millis now, const Endpoint& from, SegmentMessage message,
                    const Segment& segment, SegmentAgentOutput* out);
  void CheckUpstream(Millis now, const SegmentFlow& flow, const Endpoint& from,
                     SegmentMessage message, SegmentAgentOutput* out);
  void OnReturned(Millis now, const Segment& segment, std::string datagram,
                  SegmentAgentOutput* out);
  void OnReturnedFirst(Millis now, const SegmentFlow& flow,
                       std::string datagram, SegmentAgentOutput* out);
  void ReplyProbeNotHeld(Millis now, const SegmentFlow& flow,
                         const Endpoint& to, SegmentAgentOutput* out);
  // Returns a packet of a flow that this agent does not hold.
  void ReplyNotHeld(Millis now, const Endpoint& balancer, std::string datagram,
                    SegmentAgentOutput* out);
  void ReplyOwnerFound(Millis now, const SegmentFlow& flow,
                       const Endpoint& balancer, const Endpoint& home_agent,
                       SegmentAgentOutput* out);
  Flow& Adopt(Millis now, const SegmentFlow& flow, SegmentAgentOutput* out);
  void Reply(Millis now, const Endpoint& to, SegmentMessage message,
             SegmentAgentOutput* out);
  void TrackCallerPacket(Millis now, const Segment& segment, Flow* flow);
  // The flow counts no longer as one that opens.
  void MarkOpened(Flow* flow);
  void SetBusy(Flow* flow, bool is_busy);
  void RemoveFlow(const SegmentFlow& flow);
  static bool IsOpen(const Flow& flow, Millis now);
  bool Recovering(Millis now) const;
  uint32_t LoadMilli() const;

  SegmentAgentSettings settings;
  ServiceKey service;
  Millis started;
  bool draining = false;
  std::optional<UpstreamReport> report;
  // The first report heard was not the first of its upstream, so flows may be
  // open that this agent does not know.
  bool missed_first_report = false;
  Millis reported_at;
  std::unordered_map<SegmentFlow, Flow> flows;
  std::unordered_map<SegmentFlow, UpstreamCheck> upstream_checks;
  FlowOwnerDirectory owner_directory;
  // The latest version of each listener that offers stated.
  struct LatestListener {
    uint64_t version = 0;
    uint64_t shares = 0;
  };
  std::map<Endpoint, LatestListener> latest_listeners;
  uint32_t busy_flows = 0;
  uint32_t opening_flows = 0;
  size_t open_flows = 0;
  Millis next_sweep;
};

}  // namespace cornelhill
