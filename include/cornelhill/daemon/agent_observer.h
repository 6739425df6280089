#pragma once

#include <array>
#include <optional>

#include "cornelhill/agent/agent.h"
#include "cornelhill/daemon/process_observer.h"

namespace cornelhill {

// Records what the decisions of an agent were. Not thread-safe.
class AgentObserver {
 public:
  // Both outlive this object.
  AgentObserver(const Agent& agent, ProcessObserver& observer)
      : agent(agent), observer(observer) {}

  // Call after `Agent::SetView`.
  void OnView(Millis now, const ServiceView& view);

  // Call with each output of the agent. `flow` is that of the packet which the
  // agent handled, where there is one.
  void OnOutput(Millis now, const AgentOutput& out, const FlowKey& flow = {});

  // Call at each tick with whether the agent's lease lets it decide.
  void OnLease(bool may_decide);
  void OnIncarnation(Incarnation from, Incarnation to);

  // The agent was asked to drain, and its upstream has left.
  void OnDrain();
  void OnLeft();

  // Sets the gauges. Call about once a second; costs O(queued + buckets).
  void OnSecond(Millis now);

 private:
  struct DropWindow {
    uint64_t counted = 0;  // Of the agent's counter.
    uint64_t unreported = 0;
    Millis last_event = Millis(-1000000);
  };

  static constexpr size_t kDropCounters = 7;

  Event EventOf(EventKind kind) const;
  void RecordEvent(const AgentEvent& event);
  void RecordSend(const SendMessage& send);
  void RecordStart(const RequestKey& key, ServiceMetrics* metrics);
  void RecordDrops(Millis now, const FlowKey& flow);
  void FollowQuarantine(Millis now);

  const Agent& agent;
  ProcessObserver& observer;
  ServiceId service;
  Revision revision;
  bool draining = false;
  bool leaving = false;
  std::optional<bool> had_lease;  // Without value before the first lease.
  size_t quarantined = 0;
  std::array<DropWindow, kDropCounters> drops;
};

}  // namespace cornelhill
