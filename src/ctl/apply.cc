#include <absl/flags/flag.h>

#include "cornelhill/config/declaration_json.h"
#include "cornelhill/ctl/control_request.h"
#include "cornelhill/ctl/subcommand.h"

ABSL_FLAG(bool, wait, false,
          "Wait until the change is in effect. Without function so far: "
          "control does not report what is in effect.");

namespace cornelhill {

namespace {

Result<OperatorResponse> Apply(const std::string& file) {
  BOOST_OUTCOME_TRY(declaration, LoadDeclaration(file));
  OperatorRequest present;
  present.kind = OperatorRequestKind::kDeclaration;
  BOOST_OUTCOME_TRY(current, AskControl(present));
  OperatorRequest request;
  request.kind = OperatorRequestKind::kApply;
  request.base = current.declaration_revision;
  request.declaration = std::move(declaration);
  return AskControl(std::move(request));
}

ExitCode RunApply(Invocation& invocation) {
  const Result<OperatorResponse> response = Apply(invocation.arguments[0]);
  if (response.has_error()) return ReportError(invocation, response.error());
  const bool unchanged =
      response.value().outcome == OperatorOutcome::kUnchanged;
  PrintTable(invocation, {{"revision", "result"},
                          {{std::to_string(response.value().revision.Value()),
                            unchanged ? "unchanged" : "accepted"}}});
  return ExitCode::kDone;
}

const Registration<Subcommand> registration(
    "apply", {.summary = "Puts a declaration in place of the present one.",
              .arguments = "FILE",
              .min_arguments = 1,
              .max_arguments = 1,
              .flags = {"control", "wait"},
              .run = RunApply});

}  // namespace

}  // namespace cornelhill
