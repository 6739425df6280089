#include "cornelhill/ctl/control_request.h"
#include "cornelhill/ctl/subcommand.h"

namespace cornelhill {

namespace {

ExitCode RunUpstreams(Invocation& invocation) {
  OperatorRequest request;
  request.kind = OperatorRequestKind::kUpstreams;
  if (!invocation.arguments.empty()) request.service = invocation.arguments[0];
  const Result<OperatorResponse> response = AskControl(std::move(request));
  if (response.has_error()) return ReportError(invocation, response.error());
  Table table{{"instance", "agent", "slots", "weight", "state"}, {}};
  for (const UpstreamInfo& upstream : response.value().upstreams) {
    table.rows.push_back(
        {std::to_string(upstream.instance.Value()), ToString(upstream.agent),
         std::to_string(upstream.slots), std::to_string(upstream.weight),
         upstream.draining ? "draining" : "serving"});
  }
  PrintTable(invocation, table);
  return ExitCode::kDone;
}

const Registration<Subcommand> registration(
    "upstreams", {.summary = "Lists the upstreams of one or all services.",
                  .arguments = "[SERVICE]",
                  .min_arguments = 0,
                  .max_arguments = 1,
                  .flags = {"control"},
                  .run = RunUpstreams});

}  // namespace

}  // namespace cornelhill
