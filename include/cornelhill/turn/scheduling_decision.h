#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/request_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/base/verdict.h"
#include "cornelhill/turn/fair_queue.h"
#include "cornelhill/turn/work_class.h"

namespace cornelhill {

// The rule by which one request started before another.
enum class PrecedenceRule : uint8_t {
  kArrivedFirst,     // Same caller and lane, queued earlier.
  kFairShare,        // Lower start tag.
  kShortBeforeLong,  // Short work goes before long work.
  kReservedSlot,     // The slot is one that long or unclassified work may not
                     // take.
  kStragglerLimit,   // Stragglers held all the slots they may hold.
  kLongMinimum,      // Long work was below its guaranteed share.
};

// Outcome of a scheduling decision.
enum class SchedulingOutcome : uint8_t { kStarted, kRefused, kShed };

// A request that started while the recorded one waited.
struct PrecedingRequest {
  RequestKey key;
  CallerId caller;
  PrecedenceRule rule = PrecedenceRule::kFairShare;
};

// Record of one scheduling decision, with the state it was based on.
struct SchedulingDecision {
  static constexpr size_t kMaxAhead = 4;

  RequestKey key;
  CallerId caller;
  SchedulingOutcome outcome = SchedulingOutcome::kStarted;
  Reason reason = Reason::kNone;  // Set unless started.
  WorkClass work_class = WorkClass::kShort;
  Lane lane = Lane::kShort;
  Tag start_tag = 0;
  Tag finish_tag = 0;  // From the expected cost.
  Millis queued;
  Millis decided;  // Time of the start, refusal or shed.
  Millis retry_after;
  uint32_t slots = 0;
  uint32_t reserved_slots = 0;
  uint32_t busy_when_queued = 0;
  uint32_t busy = 0;  // Slots busy at the decision, excluding its own.
  uint32_t long_busy = 0;
  // Number of requests started between its arrival and the decision.
  // `ahead` lists the last of them with the rule for each.
  uint64_t ahead_total = 0;
  uint32_t ahead_count = 0;
  std::array<PrecedingRequest, kMaxAhead> ahead{};
  Revision revision;
  // Whether the request started because of the guaranteed share of long work.
  bool by_long_minimum = false;
  // Whether long work held all the slots it may hold at the decision.
  bool long_slots_full = false;
  bool straggler_slots_full = false;
};

// Ring buffer of the latest decisions. Not thread-safe.
class DecisionRing {
 public:
  static constexpr uint64_t kCapacity = 256;

  void Add(const SchedulingDecision& decision);

  // Returns the number of decisions added so far.
  uint64_t Count() const { return this->count; }

  // Returns decision number `index`, counted from 0, or null if it has been
  // overwritten or does not exist.
  const SchedulingDecision* At(uint64_t index) const;

  // Returns the latest decision on a request, or null if the ring has none.
  const SchedulingDecision* Find(const RequestKey& key) const;

  // Returns the decisions in the ring on a flow's requests, oldest first.
  std::vector<SchedulingDecision> OfFlow(const FlowKey& flow) const;

 private:
  std::vector<SchedulingDecision> entries;
  uint64_t count = 0;
};

}  // namespace cornelhill
