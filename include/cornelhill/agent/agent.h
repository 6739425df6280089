#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cornelhill/agent/deduplication_cache.h"
#include "cornelhill/agent/flow_directory.h"
#include "cornelhill/agent/flow_table.h"
#include "cornelhill/agent/home_buckets.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/ingress/ingress.h"
#include "cornelhill/route/service_table.h"
#include "cornelhill/turn/request_scheduler.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// Identifies an agent. Each start of the process uses a new incarnation.
struct AgentIdentity {
  InstanceId instance;
  Incarnation incarnation;
  Endpoint data_address;
};

// A message to another process.
struct SendMessage {
  Endpoint to;
  DataMessage message;
};

// How the upstream handles a packet.
enum class UpstreamAction : uint8_t { kDeliver, kCancel };

struct UpstreamPacket {
  UpstreamAction action = UpstreamAction::kDeliver;
  PacketInfo packet;
  std::string payload;
};

// Events of flows and requests for the timeline. Offers and hand-backs have no
// event kind; they appear in `AgentOutput::sends`.
enum class AgentEventKind : uint8_t {
  kFlowAccepted,
  kFlowClosed,
  kFlowReset,  // By caller or upstream; kFlowClosed follows.
  kRequestQueued,
  kRequestStarted,
  kRequestCancelled,  // At the upstream; kRequestRefused may follow.
  kRequestAnswered,
  kRequestRefused,  // `refusal` is set.
  kAnswerResent,
  kDirectoryGathered,  // `key` is not set.
};

struct AgentEvent {
  AgentEventKind kind = AgentEventKind::kFlowAccepted;
  RequestKey key;
  Refusal refusal;
};

// Messages and packets to send, in order, and the events of a call.
struct AgentOutput {
  std::vector<SendMessage> sends;
  std::vector<UpstreamPacket> upstream;
  std::vector<AgentEvent> events;
};

// Counters since the start of the process.
struct AgentCounters {
  uint64_t flows_accepted = 0;
  uint64_t requests_started = 0;
  uint64_t requests_answered = 0;
  uint64_t requests_refused = 0;
  uint64_t duplicates = 0;
  uint64_t passed_to_second = 0;
  uint64_t handed_back = 0;
  uint64_t quarantined = 0;
  uint64_t held_while_gathering = 0;
  uint64_t dropped_wrong_service = 0;
  uint64_t dropped_wrong_incarnation = 0;
  uint64_t dropped_hop_limit = 0;
  uint64_t dropped_unknown_flow = 0;
  uint64_t dropped_no_lease = 0;
  uint64_t dropped_late_answer = 0;
  uint64_t dropped_pipelined = 0;
};

// The decision logic of the agent of one upstream: admits flows, schedules
// requests and answers resent packets. Performs no I/O; callers pass in the
// time. Not thread-safe: the owner serialises calls.
class Agent {
 public:
  explicit Agent(const AgentIdentity& identity);

  // Applies a view of the agent's service unless its revision is not higher
  // than that of the current view.
  void SetView(Millis now, const ServiceView& view, AgentOutput* out);

  // Allows the agent to decide on new flows until `valid_until`.
  void SetLease(Millis valid_until);

  // Sets a new incarnation after the lease has expired. Open flows stay open.
  void Rejoin(Incarnation incarnation);

  // Refuses new flows from now on. Open flows and queued requests are still
  // served.
  void Drain();

  // `from` is the data address of the sender.
  void OnMessage(Millis now, Endpoint from, DataMessage message,
                 AgentOutput* out);

  // Handles a packet from the upstream; `payload` is what the caller gets.
  void OnAnswer(Millis now, const AnswerInfo& answer, std::string payload,
                AgentOutput* out);

  // Ends all requests of the upstream: those that were started with the verdict
  // `kMayHaveRun`, the others with `kNotRun`.
  void OnUpstreamLost(Millis now, AgentOutput* out);

  // Sheds queued requests, expires state and starts due requests. Call at least
  // every 10 ms.
  void Tick(Millis now, AgentOutput* out);

  // Returns whether no request is queued or running.
  bool Idle() const;
  bool Draining() const { return this->draining; }
  size_t OpenFlows() const { return this->flows.size(); }
  const FlowTable& Flows() const { return this->flows; }
  // Returns the number of quarantined buckets whose home is this agent.
  size_t QuarantinedBuckets(Millis now) const {
    return this->homes.QuarantinedCount(now);
  }
  const AgentCounters& Counters() const { return this->counters; }
  const RequestScheduler& Scheduler() const { return this->scheduler; }
  const AgentIdentity& Identity() const { return this->identity; }

 private:
  // Packets of known flows (agent.cc).
  bool IsForThisAgent(const Forward& forward);
  void OnForward(Millis now, Forward forward, AgentOutput* out);
  void OnPacketOfFlow(Millis now, Flow& flow, Forward forward,
                      AgentOutput* out);
  void OnNextRequest(Millis now, Flow& flow, Forward forward, AgentOutput* out);
  void HoldPacket(Millis now, Flow& flow, Forward forward);
  void DeliverToUpstream(Millis now, Flow& flow, Forward forward,
                         AgentOutput* out);
  // Returns whether the flow's latest request was answered and its answer is no
  // longer stored in full.
  bool AnswerNotStored(const Flow& flow, const Forward& forward) const;
  bool AnswerDuplicate(const Forward& forward, AgentOutput* out);
  void SendOwnerHint(const FlowKey& key, const Flow& flow, AgentOutput* out);
  void CloseFlow(Millis now, const FlowKey& key, AgentOutput* out);
  void ExpireIdle(Millis now, AgentOutput* out);

  // Requests and turns (agent_requests.cc).
  SchedulerRequest SchedulerRequestFor(Millis now,
                                       const Forward& forward) const;
  void Accept(Millis now, Forward forward, AgentOutput* out);
  void Queue(Millis now, Flow& flow, Forward forward, AgentOutput* out);
  void Refuse(Millis now, const RequestKey& key, Endpoint balancer,
              const Refusal& refusal, std::string original, AgentOutput* out);
  void EndRequest(Millis now, const FlowKey& key, Flow& flow, Reason reason,
                  Millis retry_after, AgentOutput* out);
  // Ends a request after the caller has reset the flow. Sends no refusal, as
  // the caller expects none, and no cancellation, as the upstream received the
  // reset.
  void AbandonRequest(Millis now, const FlowKey& key, Flow& flow);
  void CancelAtUpstream(const FlowKey& key, const Flow& flow, AgentOutput* out);
  void FinishRequest(Millis now, const FlowKey& key, Flow& flow);
  void StartDueRequests(Millis now, AgentOutput* out);
  void RequeueOverrun(Millis now, AgentOutput* out);

  // Decisions on new flows (agent_home.cc).
  void OnUnknownFlow(Millis now, Forward forward, AgentOutput* out);
  void DecideAsHome(Millis now, Forward forward, AgentOutput* out);
  void DecideNewFlow(Millis now, Forward forward, AgentOutput* out);
  // Returns whether the first packet of a request of an unknown flow may open a
  // flow. If not, the request belongs to a flow whose owner is lost.
  bool OpensFlow(const PacketInfo& packet) const;
  void OnLostOwner(Millis now, Forward forward, AgentOutput* out);
  void OnHandBack(Millis now, Forward forward, AgentOutput* out);
  void DecideOffer(Millis now, Forward forward, AgentOutput* out);
  // Accepts a flow that no other agent has accepted, or refuses it if this
  // agent is draining.
  void AcceptUnlessDraining(Millis now, Forward forward, AgentOutput* out);
  void Offer(Millis now, const UpstreamInfo& to, ForwardRoute kind,
             uint32_t load_milli, Forward forward, AgentOutput* out);
  void HandBack(Millis now, Forward forward, AgentOutput* out);
  void ForwardToHome(Forward forward, AgentOutput* out);
  void ForwardTo(const UpstreamInfo& to, ForwardRoute kind, Forward forward,
                 AgentOutput* out);
  void ForwardTo(Endpoint to, Incarnation target, ForwardRoute kind,
                 Forward forward, AgentOutput* out);
  void OnOwnerReport(Millis now, Endpoint from, const OwnerReport& report);
  void OnDirectoryQuery(Millis now, Endpoint from, const DirectoryQuery& query,
                        AgentOutput* out);
  void OnDirectoryReply(Millis now, const DirectoryReply& reply,
                        AgentOutput* out);
  std::vector<FlowLocation> KnownFlows(const BucketSet& buckets) const;
  void SendQueries(Millis now, AgentOutput* out);
  void ReplayHeld(Millis now, AgentOutput* out);
  void ReportToHome(const FlowUse& use, bool closed, AgentOutput* out);
  void ReportOpenFlows(AgentOutput* out);
  const UpstreamInfo* UpstreamById(InstanceId instance) const;
  const UpstreamInfo* HomeOf(const FlowKey& key) const;
  const UpstreamInfo* SecondOf(const FlowKey& key) const;
  // Returns the upstream with reserved slots that gets offer number `choice` of
  // short work of the flow, or null if no other upstream has reserved slots.
  const UpstreamInfo* ReservingUpstream(const FlowKey& key,
                                        size_t choice) const;
  uint32_t OfferedLoad() const;

  // The latest reply to each requester. A repeated query gets the same pages.
  struct SentReply {
    Revision revision;
    std::vector<DirectoryReply> pages;
    Millis expires;
  };

  AgentIdentity identity;
  std::unique_ptr<const ServiceRoute> route;  // Null before the first view.
  std::vector<uint32_t> reserved;             // Slots, by index in the view.
  Millis lease_valid_until;
  bool draining = false;
  bool in_view = false;
  RequestScheduler scheduler;
  FlowTable flows;
  FlowDirectory directory;
  HomeBuckets homes;
  DeduplicationCache finished;
  std::map<InstanceId, SentReply> sent_replies;
  std::vector<Forward> held;  // Until this agent has gathered its buckets.
  Millis next_sweep;
  Millis next_report;
  AgentCounters counters;
};

}  // namespace cornelhill
