#include "cornelhill/config/questionnaire.h"

#include <absl/flags/flag.h>

#include <cstdio>
#include <fstream>

#include "cornelhill/config/declaration_json.h"
#include "cornelhill/ctl/subcommand.h"

ABSL_FLAG(std::string, answers, "",
          "Answers file to generate from; without it the questions are asked.");
ABSL_FLAG(std::string, out, "",
          "File for the declaration; without it, it is printed.");
ABSL_FLAG(std::string, save_answers, "",
          "File for the answers, to be kept in version control.");
ABSL_FLAG(bool, explain, false,
          "Print for each setting its answer and the reason, in place of the "
          "declaration.");

namespace cornelhill {

namespace {

// Replaces the file as a whole, so that a full disk leaves the old one.
Result<void> WriteFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".tmp";
  std::ofstream file(temporary, std::ios::binary);
  file << text;
  file.close();
  if (file.fail() || std::rename(temporary.c_str(), path.c_str()) != 0) {
    std::remove(temporary.c_str());
    return Fail(ErrorCode::kIo, path + ": cannot be written");
  }
  return boost::outcome_v2::success();
}

void PrintReasons(Invocation& invocation,
                  const GeneratedDeclaration& generated) {
  if (invocation.output == OutputFormat::kTable) {
    invocation.out << RenderReasons(generated);
    return;
  }
  Table table{{"service", "setting", "value", "answer", "reason"}, {}};
  for (const DerivedSetting& setting : generated.settings) {
    table.rows.push_back({setting.service, setting.setting, setting.value,
                          setting.answer, setting.reason});
  }
  PrintTable(invocation, table);
}

Result<void> Run(Invocation& invocation) {
  const std::string file = absl::GetFlag(FLAGS_answers);
  BOOST_OUTCOME_TRY(answers, file.empty() ? Ask(invocation.in, invocation.err)
                                          : LoadAnswers(file));
  const std::string saved = absl::GetFlag(FLAGS_save_answers);
  if (!saved.empty()) {
    BOOST_OUTCOME_TRY(WriteFile(saved, WriteAnswers(answers)));
  }
  const GeneratedDeclaration generated = Generate(answers);
  const std::string declaration = WriteDeclaration(generated.declaration);
  const std::string out = absl::GetFlag(FLAGS_out);
  if (!out.empty()) {
    BOOST_OUTCOME_TRY(WriteFile(out, declaration));
  }
  if (absl::GetFlag(FLAGS_explain)) {
    PrintReasons(invocation, generated);
  } else if (out.empty()) {
    invocation.out << declaration;
  }
  return boost::outcome_v2::success();
}

ExitCode RunQuestionnaire(Invocation& invocation) {
  const Result<void> result = Run(invocation);
  return result.has_value() ? ExitCode::kDone
                            : ReportError(invocation, result.error());
}

const Registration<Subcommand> registration(
    "questionnaire",
    {.summary = "Generates a declaration from answers about callers and "
                "traffic.",
     .flags = {"answers", "out", "save_answers", "explain"},
     .details = "Without --answers it asks the questions; \"?\" prints the "
                "help of a question.",
     .run = RunQuestionnaire});

}  // namespace

}  // namespace cornelhill
