#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// Decides when a queue sheds by the time its oldest request has waited, in the
// manner of CoDel: a wait above the target for a whole interval starts
// shedding, and the time between two sheds falls with the square root of their
// number until the wait is below the target. Not thread-safe.
class DelayShedder {
 public:
  // Returns whether to shed the oldest request now. Call again with the wait of
  // the next oldest one until it returns false. Requires interval > 0.
  bool ShouldShed(Millis now, Millis oldest_wait, Millis target,
                  Millis interval);

  // Reports an empty queue.
  void OnEmpty();

 private:
  bool above = false;
  bool shedding = false;
  Millis above_since;
  Millis next_shed;
  uint32_t count = 0;
};

}  // namespace cornelhill
