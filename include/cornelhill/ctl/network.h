#pragma once

#include <string>
#include <vector>

#include "cornelhill/control/control_messages.h"
#include "cornelhill/ctl/subcommand.h"
#include "cornelhill/daemon/operator_client.h"

namespace cornelhill {

// Flags of every subcommand that talks to the control instances.
std::vector<std::string> NetworkFlags();

// The same and some more.
std::vector<std::string> NetworkFlagsAnd(std::vector<std::string> more);

// Returns a request of this kind under --request_id or a new request id, and
// under --operator.
OperatorRequest MakeRequest(OperatorRequestKind kind);

// Sends a request to the instances of --control within --timeout. The error is
// one line that names the addresses.
Result<OperatorResponse> Ask(const OperatorRequest& request);

// Prints what became of a change and returns the exit code.
ExitCode ReportChange(Invocation& invocation, const OperatorRequest& request,
                      const Result<OperatorResponse>& response);

// Waits until every process that reports has `revision` in effect, within
// --timeout.
ExitCode WaitForRevision(Invocation& invocation, Revision revision);

}  // namespace cornelhill
