#pragma once

#include <string>
#include <string_view>

#include "cornelhill/base/registry.h"

namespace cornelhill {

// Exit codes of `cornelhilld`.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Command line options of `cornelhilld`.
struct DaemonOptions {
  std::string config;  // Path of the settings file.
  bool bootstrap = false;
  bool check_config = false;
};

// A type of deployment that `cornelhilld` supports. Modes register themselves
// by name; the settings file selects one.
struct DaemonMode {
  // Returns whether the settings text is for this mode. Thread-safe.
  bool (*matches)(std::string_view settings) = nullptr;
  // Runs the process and returns its exit code. Call once.
  int (*run)(const DaemonOptions& options) = nullptr;
};

using DaemonModeRegistry = Registry<DaemonMode>;

}  // namespace cornelhill
