#pragma once

#include <optional>
#include <string>

#include "cornelhill/agent/agent.h"
#include "cornelhill/observe/inspect_codec.h"

namespace cornelhill {

// Returns the reply of the agent's process to a query, or nothing where the
// message is a reply. Reads the agent on its own thread. Costs
// O(open flows * log page) for a page of flows. `wall_now` and `now` are the
// same instant.
std::optional<InspectMessage> InspectAgent(const Agent& agent,
                                           const std::string& process,
                                           const InspectMessage& query,
                                           Millis now, Millis wall_now);

}  // namespace cornelhill
