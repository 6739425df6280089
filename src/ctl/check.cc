#include <absl/flags/flag.h>

#include "cornelhill/config/check_file.h"
#include "cornelhill/ctl/subcommand.h"

ABSL_FLAG(std::string, kind, "auto",
          "What the file is: settings, declaration, answers or auto (default "
          "auto: its fields tell).");

namespace cornelhill {

namespace {

// Reports every file, so that one bad file does not hide the next.
ExitCode RunCheck(Invocation& invocation) {
  const std::string name = absl::GetFlag(FLAGS_kind);
  const std::optional<FileKind> kind = ParseFileKind(name);
  if (!kind.has_value() && name != "auto") {
    invocation.err << "cornelhillctl: check: --kind: \"" << name
                   << "\" is not accepted; expected settings, declaration, "
                      "answers or auto\n";
    return ExitCode::kUsage;
  }
  Table table{{"file", "kind", "content"}, {}};
  ExitCode code = ExitCode::kDone;
  for (const std::string& file : invocation.arguments) {
    const Result<CheckedFile> checked = CheckFile(file, kind);
    if (checked.has_error()) {
      code = std::max(code, ReportError(invocation, checked.error()));
      continue;
    }
    table.rows.push_back({file, std::string(ToString(checked.value().kind)),
                          checked.value().summary});
  }
  if (!table.rows.empty() || invocation.output == OutputFormat::kJson) {
    PrintTable(invocation, table);
  }
  return code;
}

const Registration<Subcommand> registration(
    "check",
    {.summary = "Checks settings, declaration and answers files.",
     .arguments = "FILE...",
     .min_arguments = 1,
     .max_arguments = 1000,
     .flags = {"kind"},
     .details = "Lists the accepted files. A file that is not accepted is "
                "reported in one line\nthat names the file, the field, its "
                "value and what is accepted.",
     .run = RunCheck});

}  // namespace

}  // namespace cornelhill
