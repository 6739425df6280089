#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/segment/admission_queue.h"
#include "cornelhill/segment/flow_owner_directory.h"
#include "cornelhill/segment/segment.h"
#include "cornelhill/segment/segment_messages.h"
#include "cornelhill/segment/upstream_capacity.h"
#include "cornelhill/segment/upstream_report.h"

namespace cornelhill {

struct SegmentAgentSettings {
  // Of the agent's process, comparable with those of its upstream's starts.
  Incarnation incarnation;
  Endpoint address;     // Of the agent's data socket.
  Endpoint upstream;    // Where the upstream receives packets.
  std::string service;  // Name of the service that its upstream belongs to.
  std::string failure_domain;
  SegmentFormat format;
  // Flows older than this need not be recovered after a restart of the agent.
  // Idle flows are removed after the same time.
  Millis flow_lifetime{60000};
  // An upstream without a report for this long receives no new flows.
  Millis report_timeout{4000};
  // If the upstream has not reported this long after the agent's start, the
  // agent has no upstream.
  Millis first_report_timeout{3000};
};

enum class AgentDecisionKind : uint8_t {
  kFlowAccepted = 0,
  kOfferRefused = 1,
  kFlowAdopted = 2,  // Found at the upstream after a restart of the agent.
  kFlowReturned = 3,
  kFlowLost = 4,  // The upstream has restarted; the caller was sent a reset.
  kMalformed = 5,
  kSearchFailed = 6,  // Some agents did not answer a probe for the flow.
  kWaitEnded = 7,     // The caller gave up before the upstream had capacity.
};

// Number of `AgentDecisionKind` values.
constexpr uint32_t kAgentDecisionKindCount = 8;

std::string_view ToString(AgentDecisionKind kind);

struct AgentDecision {
  AgentDecisionKind kind = AgentDecisionKind::kFlowAccepted;
  SegmentFlow flow;
  OfferRefusal refusal = OfferRefusal::kNone;
  UpstreamState state = UpstreamState::kUnknown;
  uint32_t busy = 0;
  size_t waiting = 0;       // Flows that wait for capacity of the upstream.
  uint32_t flow_limit = 0;  // Flows to have in progress at the upstream.
  Millis expected_wait;
  Millis report_age;
  Endpoint balancer;
  // Agents that did not answer, of a failed search.
  size_t unanswered_count = 0;
  Endpoint agent;  // One of these agents.
};

// Messages and packets that an agent sends, in order, and its decisions.
struct SegmentAgentOutput {
  std::vector<PeerMessage> peers;     // To balancers and other agents.
  std::vector<std::string> upstream;  // Datagrams to the upstream.
  std::vector<CallerPacket> callers;
  std::vector<AgentDecision> decisions;
  // Times from an accepted first packet to the upstream's reply to it, and from
  // the first data of a request to the first data of its answer.
  std::vector<Millis> first_replies;
  std::vector<Millis> answers;
  // Times from the offer of a flow to its admission.
  std::vector<Millis> waits;
};

// Decision logic of the agent that runs beside one upstream, for flows of a
// stream transport. Only the agent accepts new flows for its upstream, so an
// upstream that leaves receives none once its report is acknowledged. A
// restarted agent recovers its flows by forwarding packets to the upstream,
// which returns each packet of a flow that it does not have. Reads no clock and
// opens no socket. Not thread-safe.
class SegmentAgent {
 public:
  SegmentAgent(SegmentAgentSettings settings, Millis now);

  // Applies a report if it is one of the agent's upstream. Within one start an
  // upstream goes from ready to draining and not back, in whatever order its
  // reports arrive.
  ReportVerdict OnReport(Millis now, const UpstreamReport& report);

  // Applies the departure of the upstream `id`, or of the start `incarnation`
  // of it if stated. One that drains is permanently stopped (`kGone`); one that
  // was ready drains until a further report shows that it runs. Returns false
  // and changes nothing if another upstream or start is known.
  bool OnLeave(const std::string& id,
               const std::optional<Incarnation>& incarnation);

  // Refuses new flows from now on, and sends waiting flows back to their
  // balancers.
  void Drain(Millis now, SegmentAgentOutput* out);

  // Handles a message from the balancer or agent at `from`.
  void OnPeerMessage(Millis now, const Endpoint& from, SegmentMessage message,
                     SegmentAgentOutput* out);

  // Handles a packet that the upstream sent or returned.
  void OnUpstreamPacket(Millis now, std::string datagram,
                        SegmentAgentOutput* out);

  // Admits waiting flows, ends waits, upstream checks and owner searches whose
  // deadline has passed, and removes idle flows. Call at least every 20 ms
  // while `HasPendingWork`, otherwise at least once a second.
  void Tick(Millis now, SegmentAgentOutput* out);

  bool HasPendingWork() const {
    return !this->upstream_checks.empty() || !this->waiting.Empty() ||
           this->owner_directory.HasSearches();
  }

  // Returns the agent's directory record, with `age` 0.
  AgentRecord Record(Millis now) const;

  UpstreamState State(Millis now) const;
  // Number of open flows at the last sweep, which runs once a second, plus the
  // flows accepted since.
  size_t OpenFlows() const { return this->open_flows; }
  uint32_t BusyFlows() const { return this->busy_flows; }
  size_t WaitingFlows() const { return this->waiting.Size(); }
  // Number of flows to have in progress at the upstream.
  uint32_t FlowLimit() const;
  // Mean time until a flow that is offered now is admitted.
  Millis ExpectedWait() const;

 private:
  struct Flow {
    uint32_t first_sequence = 0;
    // False for an adopted flow, which was found at the upstream after a
    // restart of the agent.
    bool first_sequence_known = false;
    // The upstream has not replied to the first packet in time, so the flow was
    // refused. Packets from the upstream are dropped.
    bool first_reply_timed_out = false;
    bool waiting = false;   // The first packet is in the admission queue.
    bool accepted = false;  // The upstream has replied to the first packet.
    // Not counted in `opening_flows`: the flow waits, was refused or adopted,
    // the caller has sent a packet after the first one, or has not done so in
    // time.
    bool opened = false;
    bool answered = false;  // The upstream has answered a request.
    bool caller_closed = false;
    bool upstream_closed = false;
    bool busy = false;  // The upstream is processing a request.
    bool data_seen = false;
    uint32_t tries = 0;     // Number of offers before the accepted one.
    uint32_t data_end = 0;  // Sequence number after the caller's last data.
    Endpoint balancer;
    Incarnation incarnation;  // Of the upstream when the flow was opened.
    Millis timeout;           // Of a request.
    // When the first packet was sent to the upstream, or was queued.
    Millis opened_at;
    Millis busy_since;
    Millis last_data_at;  // Time of the caller's last new data.
    Millis last_packet_at;
  };

  // A packet of an unknown flow was forwarded to the upstream to find out
  // whether it has the flow.
  struct UpstreamCheck {
    Endpoint balancer;
    Endpoint home_agent;  // Sender of the packet, if it was a probe.
    bool is_probe = false;
    std::string datagram;
    Millis sent_at;
    uint32_t times_sent = 0;
    // The upstream was running when the packet was sent.
    bool upstream_ran = false;
  };

  // Applies the first report of a start that was not known.
  ReportVerdict OnNewStart(Millis now, const UpstreamReport& next);
  // Applies a further report of the known start.
  ReportVerdict OnKnownStart(Millis now, const UpstreamReport& next);
  // Returns whether a start may have taken flows before the agent's process
  // ran.
  bool MayPrecedeAgent(const UpstreamReport& first) const;
  // Returns whether `next`, which is earlier than the last report by its start
  // or number, replaces it: the sender of the last one is silent, and this one
  // goes on.
  bool OutlivesLastReport(Millis now, const UpstreamReport& next);

  void OnLookup(Millis now, const Endpoint& from, SegmentMessage message,
                const Segment& segment, SegmentAgentOutput* out);
  void NotifyHomeAgents(const SegmentFlow& flow,
                        const std::vector<Endpoint>& home_agents,
                        SegmentAgentOutput* out) const;

  void OnOffer(Millis now, const Endpoint& from, SegmentMessage message,
               const Segment& segment, SegmentAgentOutput* out);
  // Returns the flow that an earlier copy of this first packet opened, or null.
  const Flow* FindOpenedBy(const SegmentFlow& flow,
                           const Segment& first_packet) const;
  AgentDecision MakeOfferDecision(Millis now, const SegmentFlow& flow,
                                  OfferRefusal refusal,
                                  const Endpoint& balancer) const;
  OfferRefusal CheckOffer(Millis now, const SegmentMessage& message,
                          const Segment& segment) const;
  // Stores an offered flow and adds it to the admission queue.
  void AddWaitingFlow(Millis now, const SegmentFlow& flow,
                      const Segment& segment, const SegmentMessage& message);
  // Sends the first packets of waiting flows to the upstream as far as it has
  // capacity, and ends the waits of flows whose caller has given up.
  void AdmitWaiting(Millis now, SegmentAgentOutput* out);
  // Sends all waiting flows back to their balancers.
  void RefuseWaiting(Millis now, SegmentAgentOutput* out);
  // Sends a flow whose offer was accepted back to its balancer.
  void RefuseAccepted(Millis now, const SegmentFlow& flow, OfferRefusal refusal,
                      std::string datagram, SegmentAgentOutput* out);
  // Removes flows from the count of opening flows that their callers have not
  // continued in time.
  void ExpireOpening(Millis now);
  void OnUpstreamRestarted();
  // Records the service time of an answered request.
  void MeasureAnswer(Millis now, Flow* flow, SegmentAgentOutput* out);
  void OnFlowPacket(Millis now, const Endpoint& from, SegmentMessage message,
                    const Segment& segment, SegmentAgentOutput* out);
  void CheckUpstream(Millis now, const SegmentFlow& flow, const Endpoint& from,
                     SegmentMessage message, SegmentAgentOutput* out);
  void SendUpstreamCheck(Millis now, UpstreamCheck* check,
                         SegmentAgentOutput* out);
  void TickUpstreamChecks(Millis now, SegmentAgentOutput* out);
  void OnReturned(Millis now, const Segment& segment, std::string datagram,
                  SegmentAgentOutput* out);
  void OnReturnedFirst(Millis now, const SegmentFlow& flow,
                       std::string datagram, SegmentAgentOutput* out);
  void ReplyProbeNotHeld(Millis now, const SegmentFlow& flow,
                         const Endpoint& to, SegmentAgentOutput* out);
  // Sends a packet of a flow that this agent does not have back to the
  // balancer.
  void ReplyNotHeld(Millis now, const Endpoint& balancer, std::string datagram,
                    SegmentAgentOutput* out);
  void ReplyOwnerFound(Millis now, const SegmentFlow& flow,
                       const Endpoint& balancer, const Endpoint& home_agent,
                       SegmentAgentOutput* out);
  Flow& Adopt(Millis now, const SegmentFlow& flow, SegmentAgentOutput* out);
  void Reply(Millis now, const Endpoint& to, SegmentMessage message,
             SegmentAgentOutput* out);
  void TrackCallerPacket(Millis now, const Segment& segment, Flow* flow);
  // Removes the flow from the count of opening flows.
  void MarkOpened(Flow* flow);
  void SetBusy(Flow* flow, bool is_busy);
  void RemoveFlow(const SegmentFlow& flow);
  static bool IsOpen(const Flow& flow, Millis now);
  bool Recovering(Millis now) const;
  Millis FirstReplyTimeout() const;
  // Time after which a request without an answer no longer counts as busy.
  Millis BusyTimeout(const Flow& flow) const;
  uint32_t Slots() const;
  uint32_t LoadMilli() const;

  SegmentAgentSettings settings;
  ServiceKey service;
  Millis started;
  bool draining = false;
  std::optional<UpstreamReport> report;
  // The upstream is said to have left without having drained.
  bool left_unannounced = false;
  // The last report that was earlier than `report` by its start or number.
  std::optional<UpstreamReport> earlier_report;
  // The known start may have open flows that this agent does not know.
  bool may_hold_unknown_flows = false;
  Millis reported_at;
  std::unordered_map<SegmentFlow, Flow> flows;
  std::unordered_map<SegmentFlow, UpstreamCheck> upstream_checks;
  // Last packet or report of the upstream.
  Millis upstream_last_heard{-1000000};
  FlowOwnerDirectory owner_directory;
  // The latest version of a listener that an offer has stated.
  struct LatestListener {
    uint64_t version = 0;
    uint64_t shares = 0;
  };
  std::map<Endpoint, LatestListener> latest_listeners;
  AdmissionQueue waiting;
  UpstreamCapacity capacity;
  // Flows whose first packet was sent to the upstream, in that order.
  std::deque<std::pair<SegmentFlow, Millis>> opening;
  uint32_t busy_flows = 0;
  uint32_t opening_flows = 0;
  size_t open_flows = 0;
  Millis next_sweep;
};

}  // namespace cornelhill
