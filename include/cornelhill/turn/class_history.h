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

// Callers and flows whose class is remembered after their last request ended.
// An agent holds about 3,100 open flows at the design scale.
constexpr size_t kMaxIdleCallers = 4096;
constexpr size_t kMaxFlows = 4096;

// Evidence of the class of a flow's or caller's work. One long request among
// short ones does not make it long, and two short ones at most make it short
// again.
struct ClassEstimate {
  void Add(WorkClass work_class);
  WorkClass Class() const;

  uint8_t score = 0;  // 0 to 3; 2 or more means long.
  bool known = false;
  WorkClass last_long_class =
      WorkClass::kLong;  // Class of its last work not short.
};

// What is known of one caller.
struct CallerRecord {
  CallerQueueState queue_state;
  uint32_t queued = 0;
  uint32_t running = 0;
  // Token bucket of the caller's rate, in thousandths of a request.
  int64_t tokens = -1;  // -1: full.
  Millis refilled;
  ClassEstimate estimate;
  bool idle = false;
  std::list<CallerId>::iterator idle_position;
};

// Remembers callers and the classes of their flows. Callers with a queued or
// running request are always kept; beyond `kMaxIdleCallers` idle callers and
// `kMaxFlows` flows the least recently used one is forgotten. A remembered
// caller takes at most 256 bytes and a flow at most 112, with their hash and
// list nodes. A forgotten caller starts again with a full token bucket and no
// debt. Not thread-safe.
class ClassHistory {
 public:
  // Returns the caller's record and makes a new one where there is none. The
  // reference stays valid until `Release`.
  CallerRecord& Acquire(CallerId caller);

  // Returns null where the caller is not remembered.
  CallerRecord* Find(CallerId caller);
  const CallerRecord* Find(CallerId caller) const;

  // Lets the caller be forgotten where it has no request left.
  void Release(CallerId caller);

  // Returns the class learned from the flow or, failing that, the caller.
  std::optional<WorkClass> LearnedClass(const RequestKey& key,
                                        CallerId caller) const;

  // Learns the class that a request of the caller has shown.
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
  // By hash of flow key and nonce. Two flows with equal hashes share a class.
  std::unordered_map<uint64_t, FlowRecord> flows;
  std::list<uint64_t> flow_order;
};

}  // namespace cornelhill
