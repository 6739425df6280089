#pragma once

#include "cornelhill/base/result.h"
#include "cornelhill/control/control_messages.h"

namespace cornelhill {

// Sends the request to the control instances of the flag --control, which a
// subcommand that calls this lists among its flags, and waits for an answer of
// the group. Fills in the request's ID and operator. The error covers a
// request that control refused. Not thread-safe.
Result<OperatorResponse> AskControl(OperatorRequest request);

}  // namespace cornelhill
