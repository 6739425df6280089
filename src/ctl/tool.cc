#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <optional>

#include "cornelhill/ctl/subcommand.h"

ABSL_FLAG(std::string, output, "table",
          "Form of the results: table or json (default table).");

namespace cornelhill {

namespace {

constexpr const char* kProgram = "cornelhillctl";

constexpr const char* kExitCodes =
    "exit codes:\n"
    "  0  done\n"
    "  1  diff: the declarations differ\n"
    "  2  wrong usage\n"
    "  3  a file or a request is not accepted\n"
    "  4  control or processes cannot be reached, or control cannot confirm\n"
    "  5  a file cannot be read or written\n";

std::string Padded(std::string text, size_t width) {
  text.resize(std::max(text.size() + 2, width), ' ');
  return text;
}

void PrintProgramHelp(std::ostream& out) {
  out << "usage: " << kProgram
      << " SUBCOMMAND [ARGUMENT...] [--FLAG=VALUE...]\n"
      << "       " << kProgram << " SUBCOMMAND --help\n\nsubcommands:\n";
  const auto& registry = Registry<Subcommand>::Global();
  for (const std::string& name : registry.Names()) {
    out << "  " << Padded(name, 16) << registry.Find(name)->summary << "\n";
  }
  out << "\n" << kExitCodes;
}

void PrintFlag(const std::string& name, std::ostream& out) {
  const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  if (flag == nullptr) return;
  const bool is_bool = flag->IsOfType<bool>();
  out << "  " << Padded("--" + name + (is_bool ? "" : "=VALUE"), 24)
      << flag->Help() << "\n";
}

void PrintSubcommandHelp(const std::string& name, const Subcommand& subcommand,
                         std::ostream& out) {
  out << "usage: " << kProgram << " " << name;
  if (!subcommand.arguments.empty()) out << " " << subcommand.arguments;
  out << " [--FLAG=VALUE...]\n\n" << subcommand.summary << "\n";
  if (!subcommand.details.empty()) out << "\n" << subcommand.details << "\n";
  out << "\nflags:\n";
  for (const std::string& flag : subcommand.flags) PrintFlag(flag, out);
  PrintFlag("output", out);
  out << "\n" << kExitCodes;
}

bool IsHelp(const std::string& argument) {
  return argument == "--help" || argument == "-h";
}

// Sets flags from the arguments and collects the others. The parser of Abseil
// is not used, since it ends the process on an error and accepts the flags of
// every subcommand.
class ArgumentParser {
 public:
  explicit ArgumentParser(const Subcommand& subcommand)
      : subcommand(subcommand) {}

  // Returns an error message, or nothing.
  std::optional<std::string> Parse(const std::vector<std::string>& arguments) {
    bool flags_allowed = true;
    for (size_t i = 1; i < arguments.size(); ++i) {
      const std::string& argument = arguments[i];
      if (flags_allowed && argument == "--") {
        flags_allowed = false;
      } else if (flags_allowed && IsHelp(argument)) {
        this->help = true;
      } else if (flags_allowed && argument.starts_with("-") &&
                 argument != "-") {
        const bool has_next = i + 1 < arguments.size();
        bool used_next = false;
        auto error = this->SetFlag(
            argument, has_next ? &arguments[i + 1] : nullptr, &used_next);
        if (error.has_value()) return error;
        if (used_next) ++i;
      } else {
        this->positional.push_back(argument);
      }
    }
    return std::nullopt;
  }

  bool help = false;
  std::vector<std::string> positional;

 private:
  std::string Allowed() const {
    std::string text = "--output";
    for (const std::string& flag : this->subcommand.flags) {
      text += ", --";
      text += flag;
    }
    return text;
  }

  // Returns null where the subcommand has no such flag.
  absl::CommandLineFlag* FindFlag(const std::string& name) const {
    if (name != "output" && std::ranges::find(this->subcommand.flags, name) ==
                                this->subcommand.flags.end()) {
      return nullptr;
    }
    return absl::FindCommandLineFlag(name);
  }

  std::optional<std::string> SetFlag(const std::string& argument,
                                     const std::string* next,
                                     bool* used_next) const {
    const size_t equals = argument.find('=');
    std::string name = argument.substr(0, equals);
    name.erase(0, name.starts_with("--") ? 2 : 1);
    absl::CommandLineFlag* flag = this->FindFlag(name);
    std::optional<std::string> value;
    if (equals != argument.npos) value = argument.substr(equals + 1);
    if (flag != nullptr && flag->IsOfType<bool>() && !value.has_value()) {
      value = "true";
    } else if (flag == nullptr && name.starts_with("no") &&
               !value.has_value()) {
      flag = this->FindFlag(name.substr(2));
      if (flag != nullptr && !flag->IsOfType<bool>()) flag = nullptr;
      value = "false";
    }
    if (flag == nullptr) {
      return argument.substr(0, equals) + ": unknown flag; expected one of " +
             this->Allowed();
    }
    if (!value.has_value()) {
      if (next == nullptr) {
        return argument + ": value missing; expected " + argument + "=VALUE";
      }
      value = *next;
      *used_next = true;
    }
    std::string ignored;
    if (!flag->ParseFrom(*value, &ignored)) {
      return "--" + name + ": \"" + *value +
             "\" is not accepted; expected: " + flag->Help();
    }
    return std::nullopt;
  }

  const Subcommand& subcommand;
};

ExitCode WrongUsage(std::ostream& err, const std::string& message) {
  err << kProgram << ": " << message << "\n";
  return ExitCode::kUsage;
}

std::string ArgumentCount(const Subcommand& subcommand) {
  if (subcommand.max_arguments == 0) return "no argument";
  return subcommand.arguments;
}

}  // namespace

ExitCode RunTool(const std::vector<std::string>& arguments, std::istream& in,
                 std::ostream& out, std::ostream& err) {
  if (arguments.empty()) {
    return WrongUsage(
        err, std::string("subcommand missing; expected one of those that ") +
                 kProgram + " --help lists");
  }
  if (IsHelp(arguments[0])) {
    PrintProgramHelp(out);
    return ExitCode::kDone;
  }
  const std::string& name = arguments[0];
  const Subcommand* subcommand = Registry<Subcommand>::Global().Find(name);
  if (subcommand == nullptr) {
    return WrongUsage(err, "\"" + name +
                               "\" is not a subcommand; expected one of those "
                               "that " +
                               kProgram + " --help lists");
  }
  ArgumentParser parser(*subcommand);
  const auto fault = parser.Parse(arguments);
  if (parser.help) {
    PrintSubcommandHelp(name, *subcommand, out);
    return ExitCode::kDone;
  }
  if (fault.has_value()) return WrongUsage(err, name + ": " + *fault);
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "table" && output != "json") {
    return WrongUsage(err, name + ": --output: \"" + output +
                               "\" is not accepted; expected table or json");
  }
  if (parser.positional.size() < subcommand->min_arguments ||
      parser.positional.size() > subcommand->max_arguments) {
    const size_t given = parser.positional.size();
    return WrongUsage(err, name + ": " + std::to_string(given) +
                               (given == 1 ? " argument" : " arguments") +
                               " given; expected " +
                               ArgumentCount(*subcommand));
  }
  Invocation invocation{
      std::move(parser.positional),
      output == "json" ? OutputFormat::kJson : OutputFormat::kTable, in, out,
      err};
  return subcommand->run(invocation);
}

ExitCode ReportError(Invocation& invocation, const Error& error) {
  invocation.err << kProgram << ": " << error.message << "\n";
  switch (error.code) {
    case ErrorCode::kIo:
      return ExitCode::kIo;
    case ErrorCode::kUnavailable:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kRefused;
  }
}

}  // namespace cornelhill
