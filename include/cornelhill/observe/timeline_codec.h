#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cornelhill/base/result.h"
#include "cornelhill/observe/event.h"
#include "cornelhill/observe/event_ring.h"
#include "cornelhill/observe/hybrid_clock.h"

namespace cornelhill {

// Limits of a message that fetches events. 10,000 events of about 200 bytes fit
// into the size.
constexpr size_t kMaxTimelineBytes = size_t{4} * 1024 * 1024;
constexpr uint32_t kMaxTimelineEvents = 10000;
constexpr size_t kMaxProcessNameBytes = 64;

// Asks a process for events.
struct EventQuery {
  uint64_t query = 0;  // Chosen by the sender, copied into the reply.
  EventFilter filter;
  uint32_t limit = kMaxTimelineEvents;

  bool operator==(const EventQuery&) const = default;
};

// What a process answers.
struct EventReply {
  uint64_t query = 0;
  std::string process;
  EventPage page;

  bool operator==(const EventReply&) const = default;
};

struct TimelineMessage {
  HybridTime clock;  // Of the sender; the receiver merges it.
  std::variant<EventQuery, EventReply> body;

  bool operator==(const TimelineMessage&) const = default;
};

// Returns the reply to a query from the ring of this process. Thread-safe.
EventReply Answer(const EventQuery& query, const EventRing& ring);

// The encoder never fails; it leaves out the earliest events beyond
// `kMaxTimelineEvents` and marks the reply as truncated. The decoder fails with
// `kTooLarge`, `kMalformed` or `kUnsupportedVersion`. Both are thread-safe.
std::string Encode(const TimelineMessage& message);
Result<TimelineMessage> DecodeTimelineMessage(std::string_view bytes);

}  // namespace cornelhill
