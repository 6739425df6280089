#include <absl/flags/flag.h>

#include <string>

#include "cornelhill/base/hash.h"
#include "cornelhill/config/declaration_diff.h"
#include "cornelhill/config/declaration_json.h"
#include "cornelhill/ctl/network.h"

ABSL_FLAG(int64_t, base, -1,
          "Revision of the declaration that the change was made from (default: "
          "the one in effect).");
ABSL_FLAG(bool, wait, false,
          "Wait until the change is in effect at every process that reports.");

namespace cornelhill {

namespace {

Result<OperatorResponse> AskForDeclaration() {
  OperatorRequest request = MakeRequest(OperatorRequestKind::kDeclaration);
  request.request_id = NewRequestId();
  return Ask(request);
}

// The same change sent again must name the same base, or it is another change.
Result<Revision> BaseRevision() {
  const int64_t base = absl::GetFlag(FLAGS_base);
  if (base >= 0) return Revision(static_cast<uint64_t>(base));
  BOOST_OUTCOME_TRY(present, AskForDeclaration());
  return present.declaration_revision;
}

ExitCode RunPlan(Invocation& invocation) {
  const auto wanted = LoadDeclaration(invocation.arguments[0]);
  if (!wanted.has_value()) return ReportError(invocation, wanted.error());
  const auto present = AskForDeclaration();
  if (!present.has_value()) return ReportError(invocation, present.error());
  invocation.out << "revision " << present.value().declaration_revision.Value()
                 << " -> " << invocation.arguments[0] << "\n"
                 << RenderChanges(DiffDeclarations(present.value().declaration,
                                                   wanted.value()));
  return ExitCode::kDone;
}

ExitCode RunApply(Invocation& invocation) {
  const auto wanted = LoadDeclaration(invocation.arguments[0]);
  if (!wanted.has_value()) return ReportError(invocation, wanted.error());
  const Result<Revision> base = BaseRevision();
  if (!base.has_value()) return ReportError(invocation, base.error());
  OperatorRequest request = MakeRequest(OperatorRequestKind::kApply);
  request.base = base.value();
  request.declaration = wanted.value();
  const auto response = Ask(request);
  const ExitCode code = ReportChange(invocation, request, response);
  if (code != ExitCode::kDone || !absl::GetFlag(FLAGS_wait)) return code;
  return WaitForRevision(invocation, response.value().revision);
}

ExitCode ChangeInstance(Invocation& invocation, OperatorRequestKind kind) {
  OperatorRequest request = MakeRequest(kind);
  request.instance = InstanceId(Hash64(invocation.arguments[0]));
  Result<OperatorResponse> response = Ask(request);
  if (response.has_value() &&
      response.value().outcome == OperatorOutcome::kNotFound) {
    // Control knows the hash of the name only.
    response.value().message =
        "no upstream of the name " + invocation.arguments[0] + " is known";
  }
  const ExitCode code = ReportChange(invocation, request, response);
  if (code != ExitCode::kDone || !absl::GetFlag(FLAGS_wait)) return code;
  return WaitForRevision(invocation, response.value().revision);
}

ExitCode RunDrain(Invocation& invocation) {
  return ChangeInstance(invocation, OperatorRequestKind::kDrain);
}

ExitCode RunUndrain(Invocation& invocation) {
  return ChangeInstance(invocation, OperatorRequestKind::kUndrain);
}

const Registration<Subcommand> plan_registration(
    "plan", {.summary = "Shows what applying a declaration file would change.",
             .arguments = "DECLARATION",
             .min_arguments = 1,
             .max_arguments = 1,
             .flags = NetworkFlags(),
             .run = RunPlan});
const Registration<Subcommand> apply_registration(
    "apply",
    {.summary = "Puts a declaration file in effect.",
     .arguments = "DECLARATION",
     .min_arguments = 1,
     .max_arguments = 1,
     .flags = NetworkFlagsAnd({"base", "wait"}),
     .details = "The change is based on the declaration in effect when the "
                "call starts. Where another\nchange comes first, this one is "
                "refused and the other is named.",
     .run = RunApply});
const Registration<Subcommand> drain_registration(
    "drain", {.summary = "Gives an upstream no new work; open flows go on.",
              .arguments = "INSTANCE",
              .min_arguments = 1,
              .max_arguments = 1,
              .flags = NetworkFlagsAnd({"wait"}),
              .run = RunDrain});
const Registration<Subcommand> undrain_registration(
    "undrain", {.summary = "Ends the drain of an upstream.",
                .arguments = "INSTANCE",
                .min_arguments = 1,
                .max_arguments = 1,
                .flags = NetworkFlagsAnd({"wait"}),
                .run = RunUndrain});

}  // namespace

}  // namespace cornelhill
