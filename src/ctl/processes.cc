#include "cornelhill/ctl/processes.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <utility>

#include "cornelhill/observe/hybrid_clock.h"
#include "cornelhill/observe/timeline_codec.h"

ABSL_FLAG(std::string, processes, "",
          "Processes to ask, NAME=IPV4:PORT,... with the timeline_address of "
          "each, or @FILE with one on each line (no default).");
ABSL_DECLARE_FLAG(int64_t, timeout);

namespace cornelhill {

namespace {

constexpr size_t kMaxListBytes = size_t{1} << 20;

Result<ProcessAddress> ParseProcess(const std::string& entry,
                                    const std::string& source) {
  const size_t equals = entry.find('=');
  if (equals == 0 || equals == std::string::npos ||
      equals > kMaxProcessNameBytes) {
    return Error{ErrorCode::kInvalidArgument,
                 source + ": \"" + entry +
                     "\" is not accepted; expected NAME=IPV4:PORT"};
  }
  const Result<Endpoint> address = ParseEndpoint(entry.substr(equals + 1));
  if (!address.has_value()) {
    return Error{ErrorCode::kInvalidArgument,
                 source + ": " + entry.substr(0, equals) + ": " +
                     address.error().message};
  }
  return ProcessAddress{entry.substr(0, equals), address.value()};
}

Result<std::string> ReadList(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxListBytes + 1, '\0');
  if (file) file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad()) {
    return Error{ErrorCode::kIo, path + ": cannot be read"};
  }
  text.resize(static_cast<size_t>(file.gcount()));
  if (text.size() > kMaxListBytes) {
    return Error{
        ErrorCode::kTooLarge,
        path + ": larger than " + std::to_string(kMaxListBytes) + " bytes"};
  }
  return text;
}

}  // namespace

std::vector<std::string> ProcessFlagsAnd(std::vector<std::string> more) {
  std::vector<std::string> flags = {"processes", "timeout"};
  flags.insert(flags.end(), more.begin(), more.end());
  return flags;
}

Result<std::vector<ProcessAddress>> ParseProcesses(std::string_view text,
                                                   const std::string& source) {
  std::vector<ProcessAddress> processes;
  std::set<std::string> names;
  while (!text.empty()) {
    const size_t end = std::min(text.find_first_of(",\n"), text.size());
    std::string entry(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    std::erase_if(entry, [](char c) { return c == ' ' || c == '\r'; });
    if (entry.empty() || entry.starts_with("#")) continue;
    BOOST_OUTCOME_TRY(process, ParseProcess(entry, source));
    if (!names.insert(process.name).second) {
      return Error{ErrorCode::kInvalidArgument,
                   source + ": process " + process.name + " is listed twice"};
    }
    processes.push_back(std::move(process));
  }
  if (processes.empty()) {
    return Error{ErrorCode::kInvalidArgument,
                 source + ": no process is listed"};
  }
  return processes;
}

Result<std::vector<ProcessAddress>> ProcessesFromFlags() {
  const std::string value = absl::GetFlag(FLAGS_processes);
  if (value.empty()) {
    return Error{ErrorCode::kInvalidArgument,
                 "--processes is required, e.g. "
                 "--processes=agent-1=127.0.3.1:7200 or --processes=@FILE"};
  }
  if (!value.starts_with("@")) return ParseProcesses(value, "--processes");
  const std::string path = value.substr(1);
  BOOST_OUTCOME_TRY(text, ReadList(path));
  return ParseProcesses(text, path);
}

Millis ProcessTimeout() { return Millis(absl::GetFlag(FLAGS_timeout)); }

uint64_t NextQuery() {
  static uint64_t last = 0;
  return ++last;
}

ExitCode ReportUnanswered(Invocation& invocation,
                          const std::vector<ProcessAddress>& processes,
                          const std::vector<std::string>& unanswered) {
  for (const ProcessAddress& process : processes) {
    if (std::ranges::find(unanswered, process.name) == unanswered.end()) {
      continue;
    }
    ReportError(invocation,
                Error{ErrorCode::kUnavailable,
                      process.name + " at " + ToString(process.address) +
                          " did not answer within " +
                          std::to_string(ProcessTimeout().Count()) + " ms"});
  }
  return unanswered.size() < processes.size() ? ExitCode::kDone
                                              : ExitCode::kUnavailable;
}

std::string WallTime(Millis wall) {
  const std::string text = ToString(HybridTime{wall, 0});
  return text.substr(0, text.find('Z') + 1);
}

}  // namespace cornelhill
