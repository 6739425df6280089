#pragma once

#include <filesystem>
#include <functional>
#include <string>

#include "cornelhill/config/node_settings.h"
#include "cornelhill/node/runtime.h"

namespace cornelhill {

// Reads the settings file again on SIGHUP and where the file has changed
// without a signal. Only the seeds take effect in a running process; a change
// of another field is logged and waits for the next start. A file that cannot
// be read changes nothing.
class SettingsWatch {
 public:
  // `on_seeds` is called with the seeds where they have changed.
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
