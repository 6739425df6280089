#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// Decides when a queue sheds requests, from the wait of its oldest request,
// with the control law of CoDel: shedding starts once the wait has been above
// the target for a whole interval, and the time between sheds is the interval
// divided by the square root of their number until the wait is below the
// target. Not thread-safe.
class DelayShedder {
 public:
  // Returns whether to shed the oldest request now. Call repeatedly with the
  // wait of the next oldest request until it returns false. Requires
  // interval > 0.
  bool ShouldShed(Millis now, Millis oldest_wait, Millis target,
                  Millis interval);

  // Ends shedding. Call when the queue is empty.
  void OnEmpty();

 private:
  bool above = false;
  bool shedding = false;
  Millis above_since;
  Millis next_shed;
  uint32_t count = 0;
};

}  // namespace cornelhill
