#include "cornelhill/observe/timeline.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace cornelhill {

namespace {

// Returns whether the ring may have overwritten events that the filter selects.
bool MayMissEvents(const EventFilter& filter, const EventPage& page) {
  if (page.truncated) return true;
  return page.overwritten > 0 &&
         (!filter.from || page.oldest.wall >= *filter.from);
}

auto OrderOf(const Event& event) {
  return std::tie(event.time, event.process, event.sequence);
}

}  // namespace

Timeline MergeTimeline(const EventFilter& filter,
                       const std::vector<std::string>& asked,
                       const std::vector<EventReply>& replies) {
  Timeline timeline;
  std::set<std::string> answered;
  std::set<std::string> incomplete;
  for (const EventReply& reply : replies) {
    answered.insert(reply.process);
    if (MayMissEvents(filter, reply.page)) incomplete.insert(reply.process);
    for (const Event& event : reply.page.events) {
      if (!Matches(filter, event)) continue;
      timeline.events.push_back(event);
      timeline.events.back().process = reply.process;
    }
  }
  std::sort(
      timeline.events.begin(), timeline.events.end(),
      [](const Event& a, const Event& b) { return OrderOf(a) < OrderOf(b); });
  timeline.events.erase(
      std::unique(timeline.events.begin(), timeline.events.end(),
                  [](const Event& a, const Event& b) {
                    return OrderOf(a) == OrderOf(b);
                  }),
      timeline.events.end());

  std::set<std::string> processes = answered;
  processes.insert(asked.begin(), asked.end());
  timeline.processes.assign(processes.begin(), processes.end());
  std::set_difference(processes.begin(), processes.end(), answered.begin(),
                      answered.end(), std::back_inserter(timeline.unanswered));
  timeline.incomplete.assign(incomplete.begin(), incomplete.end());
  return timeline;
}

}  // namespace cornelhill
