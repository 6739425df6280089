#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/request_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/turn/fair_queue.h"
#include "cornelhill/turn/work_class.h"

namespace cornelhill {

// Maximum callers without requests and flows whose class is kept. At the design
// scale an agent has about 3,100 open flows.
constexpr size_t kMaxIdleCallers = 4096;
constexpr size_t kMaxFlows = 4096;

// Estimates the class of a flow or caller with a saturating counter. A single
// long request among short ones does not make it long, and at most two short
// ones make it short again.
struct ClassEstimate {
  void Add(WorkClass work_class);
  WorkClass Class() const;

  uint8_t score = 0;  // Saturating counter, 0 to 3; 2 or more means long.
  bool known = false;
  // Class of the last request that was not short.
  WorkClass last_long_class = WorkClass::kLong;
};

// Scheduling state and history of one caller.
struct CallerRecord {
  CallerQueueState queue_state;
  uint32_t queued = 0;
  uint32_t running = 0;
  // Tokens in the caller's rate limiter, in thousandths of a request.
  int64_t tokens = -1;  // -1: full.
  Millis refilled;
  ClassEstimate estimate;
  bool idle = false;
  std::list<CallerId>::iterator idle_position;
};

// Stores the state of callers and the learned classes of callers and flows.
// Callers with a queued or running request are always kept. Above
// `kMaxIdleCallers` idle callers or `kMaxFlows` flows, the least recently used
// one is evicted. A caller takes at most 256 bytes and a flow at most 112,
// including their hash and list nodes. An evicted caller restarts with a full
// token bucket and no used slot time. Not thread-safe.
class ClassHistory {
 public:
  // Returns the caller's record, creating it if needed. The reference stays
  // valid until `Release`.
  CallerRecord& Acquire(CallerId caller);

  // Returns null if the caller has no record.
  CallerRecord* Find(CallerId caller);
  const CallerRecord* Find(CallerId caller) const;

  // Makes the caller evictable if it has no queued or running request. Requires
  // that the caller has a record.
  void Release(CallerId caller);

  // Returns the class learned for the flow or, if the flow is unknown, for the
  // caller.
  std::optional<WorkClass> LearnedClass(const RequestKey& key,
                                        CallerId caller) const;

  // Records the measured class of a request for its flow and caller.
  void RecordClass(const RequestKey& key, CallerId caller,
                   WorkClass work_class);

  size_t CallerCount() const { return this->callers.size(); }
  size_t FlowCount() const { return this->flows.size(); }

 private:
  struct FlowRecord {
    ClassEstimate estimate;
    std::list<uint64_t>::iterator position;
  };

  std::unordered_map<CallerId, CallerRecord> callers;
  std::list<CallerId> idle;
  // Keyed by the hash of flow key and nonce. Flows with equal hashes share a
  // class.
  std::unordered_map<uint64_t, FlowRecord> flows;
  std::list<uint64_t> flow_order;
};

}  // namespace cornelhill
