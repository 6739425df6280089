#pragma once

#include <string>

#include "cornelhill/turn/scheduling_decision.h"

namespace cornelhill {

// Returns an explanation of a decision in full sentences for support staff.
// Does not identify other callers, since the text may be passed on to a caller.
// Thread-safe.
std::string ExplainDecision(const SchedulingDecision& decision);

}  // namespace cornelhill
