#pragma once

#include <string>

#include "cornelhill/turn/scheduling_decision.h"

namespace cornelhill {

// Explains a decision in plain sentences that support staff can read to a
// caller. Does not name other callers, since the reader may be one caller's
// contact. Thread-safe.
std::string ExplainDecision(const SchedulingDecision& decision);

}  // namespace cornelhill
