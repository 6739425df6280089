#include <iostream>

#include "cornelhill/base/log.h"
#include "cornelhill/config/node_settings.h"
#include "cornelhill/config/settings.h"
#include "cornelhill/daemon/roles.h"
#include "cornelhill/node/daemon_mode.h"

namespace cornelhill {

namespace {

Result<void> RunRole(const Settings& settings, bool bootstrap) {
  switch (settings.role) {
    case Role::kBalancer:
      return RunBalancer(settings);
    case Role::kAgent:
      return RunAgent(settings);
    case Role::kControl:
      return RunControl(settings, bootstrap);
  }
  return Error{ErrorCode::kInvalidArgument, "unknown role"};
}

bool IsStaticSettings(std::string_view text) { return !IsNodeSettings(text); }

// Runs a process of a deployment whose settings list the control instances.
int RunStaticMode(const DaemonOptions& options) {
  const Result<Settings> settings = LoadSettings(options.config);
  if (!settings.has_value()) {
    std::cerr << "cornelhilld: " << settings.error().message << "\n";
    return kExitUsage;
  }
  if (options.bootstrap && settings.value().role != Role::kControl) {
    std::cerr << "cornelhilld: --bootstrap applies to the control role only\n";
    return kExitUsage;
  }
  if (options.check_config) {
    std::cout << options.config << ": settings of " << settings.value().instance
              << " are valid\n";
    return kExitOk;
  }
  InitLogging(settings.value().instance);
  const Result<void> result = RunRole(settings.value(), options.bootstrap);
  if (!result.has_value()) {
    LogLine("process_failed").Error().Add("error", result.error().message);
    return kExitFailed;
  }
  return kExitOk;
}

const Registration<DaemonMode> registration("static", {&IsStaticSettings,
                                                       &RunStaticMode});

}  // namespace
}  // namespace cornelhill
