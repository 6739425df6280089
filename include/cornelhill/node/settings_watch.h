#pragma once

#include <filesystem>
#include <functional>
#include <string>

#include "cornelhill/config/node_settings.h"
#include "cornelhill/node/runtime.h"

namespace cornelhill {

// Reloads the settings file on SIGHUP and when its modification time changes.
// Only changed seeds take effect in a running process; changes to other fields
// are logged and take effect at the next start. An invalid file changes
// nothing.
class SettingsWatch {
 public:
  // `on_seeds` is called with the new seeds when they have changed.
  SettingsWatch(Runtime& runtime, NodeSettings settings,
                std::function<void(const std::vector<Endpoint>&)> on_seeds);

  void Start();

 private:
  void Reload(bool signaled);

  Runtime& runtime;
  NodeSettings settings;
  std::function<void(const std::vector<Endpoint>&)> on_seeds;
  std::filesystem::file_time_type last_modified;
};

}  // namespace cornelhill
