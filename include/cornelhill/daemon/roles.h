#pragma once

#include "cornelhill/base/result.h"
#include "cornelhill/config/settings.h"

namespace cornelhill {

// Each runs a process of one role until it is told to stop, and fails where an
// address or a file cannot be opened. Call on the main thread, after logging is
// prepared.
Result<void> RunBalancer(const Settings& settings);
Result<void> RunAgent(const Settings& settings);
// `bootstrap` makes this instance the first member of a new group; it is given
// once in the life of a group.
Result<void> RunControl(const Settings& settings, bool bootstrap);

}  // namespace cornelhill
