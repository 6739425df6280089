#include "cornelhill/node/settings_watch.h"

#include <utility>

#include "cornelhill/base/log.h"

namespace cornelhill {

namespace {

constexpr Millis kCheckPeriod{5000};

}  // namespace

SettingsWatch::SettingsWatch(
    Runtime& runtime, NodeSettings settings,
    std::function<void(const std::vector<Endpoint>&)> on_seeds)
    : runtime(runtime),
      settings(std::move(settings)),
      on_seeds(std::move(on_seeds)) {
  std::error_code ignored;
  this->last_modified =
      std::filesystem::last_write_time(this->settings.path, ignored);
}

void SettingsWatch::Start() {
  if (this->settings.path.empty()) return;
  this->runtime.OnReload([this] { this->Reload(true); });
  this->runtime.Every(kCheckPeriod, [this] { this->Reload(false); });
}

void SettingsWatch::Reload(bool signaled) {
  std::error_code error;
  const auto modified =
      std::filesystem::last_write_time(this->settings.path, error);
  if (error || (!signaled && modified == this->last_modified)) return;
  this->last_modified = modified;
  const Result<NodeSettings> read = LoadNodeSettings(this->settings.path);
  if (!read.has_value()) {
    LogLine("settings_refused").Warn().Add("detail", read.error().message);
    return;
  }
  NodeSettings next = read.value();
  const bool seeds_changed = next.seeds != this->settings.seeds;
  const std::vector<Endpoint> seeds = next.seeds;
  next.seeds = this->settings.seeds;
  next.bootstrap = this->settings.bootstrap;
  LogLine("settings_read")
      .Add("signal", signaled ? 1 : 0)
      .Add("seeds_changed", seeds_changed ? 1 : 0)
      .Add("others_wait_for_start", next == this->settings ? 0 : 1);
  if (!seeds_changed) return;
  this->settings.seeds = seeds;
  this->on_seeds(seeds);
}

}  // namespace cornelhill
