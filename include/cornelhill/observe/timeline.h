#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhill/observe/event.h"
#include "cornelhill/observe/timeline_codec.h"

namespace cornelhill {

// The events of several processes in causal order.
struct Timeline {
  std::vector<Event> events;
  // All processes that were asked or answered, by name.
  std::vector<std::string> processes;
  // Processes that were asked and did not answer.
  std::vector<std::string> unanswered;
  // Processes whose earliest matching events may be missing, because their ring
  // overwrote events or the reply was truncated.
  std::vector<std::string> incomplete;
};

// Merges the replies to one query, ordered by hybrid time; equal times are
// ordered by process and sequence. Applies the filter again, so a process that
// sent too much does no harm, and drops events that were received twice.
// Thread-safe.
Timeline MergeTimeline(const EventFilter& filter,
                       const std::vector<std::string>& asked,
                       const std::vector<EventReply>& replies);

// Renders one line for each event, for a terminal. Thread-safe.
std::string RenderText(const Timeline& timeline);

// Renders a document that conforms to docs/timeline.schema.json. Thread-safe.
std::string RenderJson(const Timeline& timeline);

// Renders a page without external resources: one lane for each process, one row
// for each event, and a line that follows a flow from process to process.
// Thread-safe.
std::string RenderHtml(const Timeline& timeline);

}  // namespace cornelhill
