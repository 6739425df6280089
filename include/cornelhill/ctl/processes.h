#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/ctl/subcommand.h"
#include "cornelhill/daemon/inspect_client.h"
#include "cornelhill/observe/inspect_codec.h"
#include "cornelhill/observe/metrics.h"
#include "cornelhill/observe/timeline.h"

namespace cornelhill {

// Flags of every subcommand that asks processes, and some more.
std::vector<std::string> ProcessFlagsAnd(std::vector<std::string> more);

// Parses NAME=IPV4:PORT entries, separated by commas or line ends. Empty lines
// and lines that start with "#" are skipped. `source` is named in errors.
Result<std::vector<ProcessAddress>> ParseProcesses(std::string_view text,
                                                   const std::string& source);

// Returns the processes of --processes, and the time to wait of --timeout.
Result<std::vector<ProcessAddress>> ProcessesFromFlags();
Millis ProcessTimeout();

// Returns a number for a query; replies to earlier queries differ in it.
uint64_t NextQuery();

// Prints an error for each process that did not answer, with its address.
// Returns `kUnavailable` where none answered, otherwise `kDone`.
ExitCode ReportUnanswered(Invocation& invocation,
                          const std::vector<ProcessAddress>& processes,
                          const std::vector<std::string>& unanswered);

// Print what processes answered.
void PrintTimeline(Invocation& invocation, const Timeline& timeline);
void PrintFlows(Invocation& invocation, const std::vector<FlowReply>& replies);
void PrintDecisions(Invocation& invocation,
                    const std::vector<WhyReply>& replies);

// Formats as "2026-12-04T07:02:00.123Z".
std::string WallTime(Millis wall);

}  // namespace cornelhill
