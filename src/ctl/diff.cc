#include "cornelhill/config/declaration_diff.h"
#include "cornelhill/config/declaration_json.h"
#include "cornelhill/ctl/subcommand.h"

namespace cornelhill {

namespace {

ExitCode RunDiff(Invocation& invocation) {
  const auto before = LoadDeclaration(invocation.arguments[0]);
  if (before.has_error()) return ReportError(invocation, before.error());
  const auto after = LoadDeclaration(invocation.arguments[1]);
  if (after.has_error()) return ReportError(invocation, after.error());
  const auto changes = DiffDeclarations(before.value(), after.value());
  if (invocation.output == OutputFormat::kTable) {
    invocation.out << RenderChanges(changes);
  } else {
    Table table{{"change", "service", "field", "from", "to"}, {}};
    for (const DeclarationChange& change : changes) {
      table.rows.push_back({std::string(ToString(change.kind)), change.service,
                            change.field, change.from, change.to});
    }
    PrintTable(invocation, table);
  }
  return changes.empty() ? ExitCode::kDone : ExitCode::kDifferences;
}

const Registration<Subcommand> registration(
    "diff",
    {.summary = "Shows what changes from one declaration file to another.",
     .arguments = "BEFORE AFTER",
     .min_arguments = 2,
     .max_arguments = 2,
     .details = "Exits with 1 where the declarations differ. The order of "
                "services and fields in\nthe files does not matter.",
     .run = RunDiff});

}  // namespace

}  // namespace cornelhill
