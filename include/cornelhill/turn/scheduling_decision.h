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

// The rule that put one request ahead of another.
enum class PrecedenceRule : uint8_t {
  kArrivedFirst,     // Same caller and lane, queued earlier.
  kFairShare,        // Lower start tag.
  kShortBeforeLong,  // Short work goes before long work.
  kReservedSlot,     // The slot is one that long or unclassified work may not
                     // take.
  kStragglerLimit,   // Stragglers held all the slots they may hold.
  kLongMinimum,      // Long work was below its guaranteed share.
};

// What became of a request.
enum class SchedulingOutcome : uint8_t { kStarted, kRefused, kShed };

// A request that started while the recorded one waited.
struct PrecedingRequest {
  RequestKey key;
  CallerId caller;
  PrecedenceRule rule = PrecedenceRule::kFairShare;
};

// The evidence of one decision.
struct SchedulingDecision {
  static constexpr size_t kMaxAhead = 4;

  RequestKey key;
  CallerId caller;
  SchedulingOutcome outcome = SchedulingOutcome::kStarted;
  Reason reason = Reason::kNone;  // Set unless started.
  WorkClass work_class = WorkClass::kShort;
  Lane lane = Lane::kShort;
  Tag start_tag = 0;
  Tag finish_tag = 0;  // By the expected cost.
  Millis queued;
  Millis decided;  // Instant of the start, refusal or shed.
  Millis retry_after;
  uint32_t slots = 0;
  uint32_t reserved_slots = 0;
  uint32_t busy_when_queued = 0;
  uint32_t busy = 0;  // Slots busy when decided, without its own.
  uint32_t long_busy = 0;
  // Requests started between its arrival and the decision, and the last of
  // them with the rule for each.
  uint64_t ahead_total = 0;
  uint32_t ahead_count = 0;
  std::array<PrecedingRequest, kMaxAhead> ahead{};
  Revision revision;
  // Whether the guaranteed share of long work decided for this request.
  bool by_long_minimum = false;
  // Whether long work had no slot left that it may hold at the decision.
  bool long_slots_full = false;
  bool straggler_slots_full = false;
};

// The last decisions, oldest overwritten first. Not thread-safe.
class DecisionRing {
 public:
  static constexpr uint64_t kCapacity = 256;

  void Add(const SchedulingDecision& decision);

  // Decisions ever added.
  uint64_t Count() const { return this->count; }

  // Returns decision number `index`, or null where it is overwritten or was
  // never made.
  const SchedulingDecision* At(uint64_t index) const;

  // Returns the latest decision on a request, or null.
  const SchedulingDecision* Find(const RequestKey& key) const;

  // Returns the decisions on a flow's requests, oldest first.
  std::vector<SchedulingDecision> OfFlow(const FlowKey& flow) const;

 private:
  std::vector<SchedulingDecision> entries;
  uint64_t count = 0;
};

}  // namespace cornelhill
