#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "cornelhill/base/process_signals.h"
#include "cornelhill/node/daemon_mode.h"

ABSL_FLAG(std::string, config, "",
          "settings file (JSON); see docs/settings.md");
ABSL_FLAG(bool, bootstrap, false,
          "control only, once in the life of a group: start a new group with "
          "this instance as its first member");
ABSL_FLAG(bool, check_config, false, "check the settings file and exit");

namespace cornelhill {
namespace {

int Main() {
  DaemonOptions options;
  options.config = absl::GetFlag(FLAGS_config);
  options.bootstrap = absl::GetFlag(FLAGS_bootstrap);
  options.check_config = absl::GetFlag(FLAGS_check_config);
  if (options.config.empty()) {
    std::cerr << "cornelhilld: --config=FILE is required\n";
    return kExitUsage;
  }
  std::ifstream in(options.config);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  const DaemonModeRegistry& modes = DaemonModeRegistry::Global();
  for (const std::string& name : modes.Names()) {
    const DaemonMode* mode = modes.Find(name);
    if (mode->matches(text)) return mode->run(options);
  }
  std::cerr << "cornelhilld: " << options.config
            << ": the settings need roles that are not built in\n";
  return kExitUsage;
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  cornelhill::IgnoreWriteSignals();
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
