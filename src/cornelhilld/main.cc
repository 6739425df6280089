#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "cornelhill/base/log.h"
#include "cornelhill/config/node_settings.h"
#include "cornelhill/config/settings.h"
#include "cornelhill/daemon/node_roles.h"
#include "cornelhill/daemon/roles.h"

ABSL_FLAG(std::string, config, "",
          "settings file (JSON); see docs/settings.md");
ABSL_FLAG(bool, bootstrap, false,
          "control only, once in the life of a group: start a new group with "
          "this instance as its first member");
ABSL_FLAG(bool, check_config, false, "check the settings file and exit");

namespace cornelhill {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

Result<void> RunRole(const Settings& settings) {
  switch (settings.role) {
    case Role::kBalancer:
      return RunBalancer(settings);
    case Role::kAgent:
      return RunAgent(settings);
    case Role::kControl:
      return RunControl(settings, absl::GetFlag(FLAGS_bootstrap));
  }
  return Error{ErrorCode::kInvalidArgument, "unknown role"};
}

// Runs a process of a deployment that finds its members through seeds.
int NodeMain(const std::string& path) {
  const Result<NodeSettings> settings = LoadNodeSettings(path);
  if (!settings.has_value()) {
    std::cerr << "cornelhilld: " << settings.error().message << "\n";
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_check_config)) {
    std::cout << path << ": settings of " << settings.value().instance
              << " are valid\n";
    return kExitOk;
  }
  InitLogging(settings.value().instance);
  const Result<void> result = RunNode(settings.value());
  if (!result.has_value()) {
    LogLine("process_failed").Error().Add("error", result.error().message);
    return kExitFailed;
  }
  return kExitOk;
}

std::string ReadAll(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

int Main() {
  const std::string path = absl::GetFlag(FLAGS_config);
  if (path.empty()) {
    std::cerr << "cornelhilld: --config=FILE is required\n";
    return kExitUsage;
  }
  if (IsNodeSettings(ReadAll(path))) return NodeMain(path);
  const Result<Settings> settings = LoadSettings(path);
  if (!settings.has_value()) {
    std::cerr << "cornelhilld: " << settings.error().message << "\n";
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_bootstrap) &&
      settings.value().role != Role::kControl) {
    std::cerr << "cornelhilld: --bootstrap is for the role control only\n";
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_check_config)) {
    std::cout << path << ": settings of " << settings.value().instance
              << " are valid\n";
    return kExitOk;
  }
  InitLogging(settings.value().instance);
  const Result<void> result = RunRole(settings.value());
  if (!result.has_value()) {
    LogLine("process_failed").Error().Add("error", result.error().message);
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "cornelhilld --config=FILE [--check_config]\n"
      "Runs one process of cornelhill: a balancer, an agent or a control "
      "instance, as its settings say.");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("cornelhilld 0.1.0\n"); };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);
  return cornelhill::Main();
}
