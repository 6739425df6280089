#include <iostream>

#include "cornelhill/base/log.h"
#include "cornelhill/config/node_settings.h"
#include "cornelhill/node/daemon_mode.h"
#include "cornelhill/node/node_roles.h"

namespace cornelhill {

namespace {

// Runs a process of a deployment that discovers its members through seeds.
int RunNodeMode(const DaemonOptions& options) {
  const Result<NodeSettings> settings = LoadNodeSettings(options.config);
  if (!settings.has_value()) {
    std::cerr << "cornelhilld: " << settings.error().message << "\n";
    return kExitUsage;
  }
  if (options.check_config) {
    std::cout << options.config << ": settings of " << settings.value().instance
              << " are valid\n";
    return kExitOk;
  }
  InitLogging(settings.value().instance, settings.value().log_level);
  const Result<void> result = RunNode(settings.value());
  if (!result.has_value()) {
    LogLine("process_failed").Error().Add("error", result.error().message);
    return kExitFailed;
  }
  return kExitOk;
}

const Registration<DaemonMode> registration("node",
                                            {&IsNodeSettings, &RunNodeMode});

}  // namespace
}  // namespace cornelhill
