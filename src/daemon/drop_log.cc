#include "cornelhill/daemon/drop_log.h"

#include <utility>

#include "cornelhill/base/log.h"

namespace cornelhill {

namespace {

constexpr Millis kDropLinePeriod(1000);

}  // namespace

void DropLog::Count(DropReason reason, const std::string& name,
                    const std::string& detail, const FlowKey& flow) {
  ++this->total;
  this->observer.CountDrop(reason);
  Window& entry = this->windows[name];
  ++entry.since_last_line;
  const Millis now = MonotonicNow();
  if (now - entry.last_line < kDropLinePeriod) return;
  LogLine("message_dropped")
      .Warn()
      .Add("reason", name)
      .Add("count", entry.since_last_line)
      .Add("detail", detail);
  // The event has no `detail`: an error's text may quote what was received.
  Event event;
  event.kind = EventKind::kPacketDropped;
  event.flow = flow;
  AddReason(reason, &event.detail);
  event.detail.Add("count", entry.since_last_line);
  this->observer.Record(std::move(event));
  entry = Window{0, now};
}

}  // namespace cornelhill
