#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/request_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/base/verdict.h"
#include "cornelhill/turn/turn_rules.h"

namespace cornelhill {

// What work has proved to be, by the slot time and bytes it has used.
enum class WorkClass : uint8_t { kShort, kLong, kStraggler };

// A request that waits for a slot.
struct TurnRequest {
  RequestKey key;
  CallerId caller;
  uint32_t bytes = 0;
  Millis deadline;  // Instant; 0 means none.
  bool repeatable = false;
  // Set where the service's rules or an earlier refusal say what the work is.
  std::optional<WorkClass> hint;
};

// A request that will not be run, with the reason.
struct TurnRefusal {
  RequestKey key;
  Reason reason = Reason::kNone;
  Millis retry_after;
};

// The rules in force for one upstream of one service.
struct TurnConfig {
  Revision revision;
  TurnRules rules;
  uint32_t slots = 1;
  // Slots of this upstream that long work may not hold.
  uint32_t reserved_slots = 0;
};

// Decides which waiting request gets the next free slot of one upstream. Makes
// no call to a clock. Not thread-safe: the owner serialises calls.
class TurnScheduler {
 public:
  explicit TurnScheduler(const TurnConfig& config);

  // Applies new rules to waiting and later requests; running ones go on.
  void Configure(const TurnConfig& config);

  // Queues a request. Returns the refusal where a limit or the deadline
  // forbids it; nothing is kept of a refused request. Requires that the key is
  // neither queued nor running.
  std::optional<TurnRefusal> Enqueue(Millis now, const TurnRequest& request);

  // Takes a free slot for the request whose turn it is and returns its key, or
  // nothing. Call again until it returns nothing.
  std::optional<RequestKey> StartNext(Millis now);

  // Adds bytes that the caller sent for a queued or running request.
  void OnBytes(Millis now, const RequestKey& key, uint32_t bytes);

  // Frees the slot of a running request and learns from its service time.
  // Ignores an unknown key.
  void Finish(Millis now, const RequestKey& key);

  // Forgets a queued or running request without learning from it. Returns
  // whether it was queued, i.e. had not been started.
  bool Cancel(Millis now, const RequestKey& key);

  // Removes and returns the queued requests that waited too long or cannot
  // meet their deadline.
  std::vector<TurnRefusal> Shed(Millis now);

  // Returns running repeatable requests that hold a reserved slot beyond the
  // short quantum. Each is reported once; its owner cancels it at the upstream,
  // calls `Cancel` and queues it again with `hint` set to `kLong`.
  std::vector<RequestKey> Overrun(Millis now);

  // Queued and running requests for each slot, times 1000.
  uint32_t LoadMilli() const;

  // Whether a request known to be short would start at once.
  bool HasSlotForShort() const;

  size_t QueuedCount() const;
  size_t RunningCount() const;

 private:
  struct Running {
    TurnRequest request;
    Millis started;
  };

  TurnConfig config;
  std::deque<TurnRequest> queue;
  std::unordered_map<RequestKey, Millis> enqueued;
  std::unordered_map<RequestKey, Running> running;
};

}  // namespace cornelhill
