#include "cornelhill/base/hash.h"
#include "cornelhill/ctl/control_request.h"
#include "cornelhill/ctl/subcommand.h"

namespace cornelhill {

namespace {

ExitCode RunDrain(Invocation& invocation) {
  OperatorRequest request;
  request.kind = OperatorRequestKind::kDrain;
  request.instance = InstanceId(Hash64(invocation.arguments[0]));
  const Result<OperatorResponse> response = AskControl(std::move(request));
  if (response.has_error()) {
    // Control knows the instance by its hash only.
    const Error& error = response.error();
    return ReportError(invocation, {error.code, invocation.arguments[0] + ": " +
                                                    error.message});
  }
  PrintTable(invocation, {{"revision", "instance"},
                          {{std::to_string(response.value().revision.Value()),
                            invocation.arguments[0]}}});
  return ExitCode::kDone;
}

const Registration<Subcommand> registration(
    "drain", {.summary = "Gives an upstream no new flows.",
              .arguments = "INSTANCE",
              .min_arguments = 1,
              .max_arguments = 1,
              .flags = {"control"},
              .details = "INSTANCE is the instance name in the settings of the "
                         "upstream's agent.",
              .run = RunDrain});

}  // namespace

}  // namespace cornelhill
