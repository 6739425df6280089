#include <absl/flags/reflection.h>
#include <criterion/criterion.h>

#include <algorithm>
#include <sstream>

#include "cornelhill/ctl/subcommand.h"
#include "tests/common/golden.h"

namespace cornelhill {
namespace {

constexpr const char* kPrompt = "$ cornelhillctl";

// Runs "ARGUMENT... [< FILE]" and returns its output, its errors marked by "! "
// and its exit code.
std::string RunLine(const std::string& line) {
  const absl::FlagSaver saver;
  std::istringstream words(line);
  std::vector<std::string> arguments;
  std::string input;
  for (std::string word; words >> word;) {
    if (word == "<") {
      words >> word;
      input = ReadFile(word);
    } else {
      arguments.push_back(word);
    }
  }
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunTool(arguments, in, out, err);
  std::string text = out.str();
  std::istringstream errors(err.str());
  for (std::string error; std::getline(errors, error);) {
    text += "! " + error + "\n";
  }
  return text + "[exit " + std::to_string(static_cast<int>(code)) + "]\n";
}

// Guards against a changed output or exit code of the tool, which scripts of
// operators depend on. Each line that starts with the prompt is run again.
Test(session, each_session_is_golden) {
  for (const char* name : {"usage", "check", "diff", "questionnaire"}) {
    const std::string path = std::string("tests/ctl/") + name + ".session";
    std::istringstream lines(ReadFile(path));
    std::string actual;
    for (std::string line; std::getline(lines, line);) {
      if (!line.starts_with(kPrompt)) continue;
      if (!actual.empty()) actual += "\n";
      actual += line + "\n" + RunLine(line.substr(std::string(kPrompt).size()));
    }
    cr_expect_neq(actual, "", "%s is empty", path.c_str());
    ExpectGoldenFile(path, actual);
  }
}

// Guards against a subcommand that lists a flag which does not exist, and
// against one without help.
Test(session, each_subcommand_is_complete) {
  const auto& registry = Registry<Subcommand>::Global();
  for (const std::string& name : registry.Names()) {
    const Subcommand& subcommand = *registry.Find(name);
    cr_expect(subcommand.run != nullptr && !subcommand.summary.empty());
    cr_expect_leq(subcommand.min_arguments, subcommand.max_arguments);
    cr_expect_eq(subcommand.arguments.empty(), subcommand.max_arguments == 0);
    for (const std::string& flag : subcommand.flags) {
      cr_expect(absl::FindCommandLineFlag(flag) != nullptr, "%s: --%s",
                name.c_str(), flag.c_str());
    }
    cr_expect(RunLine(name + " --help").ends_with("[exit 0]\n"));
  }
}

// Guards against files that differ from what is printed.
Test(session, questionnaire_writes_files) {
  std::filesystem::create_directories("out");
  const std::string text = RunLine(
      "questionnaire --answers=examples/sideline-vision.answers.json "
      "--out=out/ctl_test.declaration.json "
      "--save_answers out/ctl_test.answers.json");
  cr_assert_str_eq(text.c_str(), "[exit 0]\n");
  cr_assert(ReadFile("out/ctl_test.declaration.json") ==
            ReadFile("examples/sideline-vision.declaration.json"));
  cr_assert(ReadFile("out/ctl_test.answers.json") ==
            ReadFile("examples/sideline-vision.answers.json"));
}

}  // namespace
}  // namespace cornelhill
