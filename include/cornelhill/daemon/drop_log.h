#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cornelhill/base/millis.h"
#include "cornelhill/daemon/process_observer.h"

namespace cornelhill {

// Counts dropped messages, logs them and records them as events: at most one
// line and one event a second for each name, with the count. Not thread-safe.
class DropLog {
 public:
  explicit DropLog(ProcessObserver& observer) : observer(observer) {}

  // `name` tells more than the reason. `flow` is that of the message, where it
  // is known.
  void Count(DropReason reason, const std::string& name,
             const std::string& detail, const FlowKey& flow = {});

  // Total of all reasons.
  uint64_t Total() const { return this->total; }

 private:
  struct Window {
    uint64_t since_last_line = 0;
    Millis last_line = Millis(-1000000);
  };

  ProcessObserver& observer;
  std::map<std::string, Window> windows;
  uint64_t total = 0;
};

}  // namespace cornelhill
