#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/segment/segment.h"

namespace cornelhill {

// A new flow whose first packet an agent holds until its upstream has capacity.
struct WaitingFlow {
  SegmentFlow flow;
  std::string datagram;  // The latest copy of the first packet.
  Millis sent_at;        // When the caller sent the first copy.
  Millis target_latency;
  uint32_t priority = 0;  // 0 is the highest.
};

// The order in which waiting flows are admitted: first by class, then by
// priority.
enum class AdmissionClass : uint8_t {
  // Can still be answered within its target latency; the longest wait first.
  kOnTime = 0,
  // Cannot. These go last, since in a lasting overload every flow would
  // otherwise wait until it is late. The shortest wait goes first: the caller
  // of the longest one is about to give up, and capacity that is spent on a
  // flow that its caller has given up serves nobody.
  kLate = 1,
};

// Returns the class of a flow that is answered within `response_time` of its
// admission. Thread-safe.
AdmissionClass ClassOf(const WaitingFlow& waiting, Millis now,
                       Millis response_time);

// Returns whether `a` is admitted before `b`. Thread-safe.
bool GoesBefore(const WaitingFlow& a, const WaitingFlow& b, Millis now,
                Millis response_time);

// The flows that wait at one agent. Not thread-safe.
class AdmissionQueue {
 public:
  bool Empty() const { return this->flows.empty(); }
  size_t Size() const { return this->flows.size(); }

  // Requires that the flow is not in the queue.
  void Push(WaitingFlow waiting);

  // Replaces the first packet of a waiting flow by a later copy. Requires that
  // the flow is in the queue.
  void Replace(const SegmentFlow& flow, std::string datagram);

  // Removes and returns the flow to admit next. Returns none if the queue is
  // empty.
  std::optional<WaitingFlow> Pop(Millis now, Millis response_time);

  // Removes a flow that may be in the queue.
  void Remove(const SegmentFlow& flow);

  // Removes and returns the flows that were sent before `limit`.
  std::vector<WaitingFlow> TakeSentBefore(Millis limit);

  // Removes and returns all flows, in the order of arrival.
  std::vector<WaitingFlow> TakeAll();

 private:
  std::vector<WaitingFlow> flows;
};

}  // namespace cornelhill
