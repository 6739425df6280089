#include "cornelhill/node/settings_watch.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace cornelhill {
namespace {

class SettingsFile {
 public:
  SettingsFile()
      : path((std::filesystem::temp_directory_path() /
              ("cornelhill-settings-" + std::to_string(getpid())))
                 .string()) {}
  ~SettingsFile() { std::filesystem::remove(this->path); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  void Write(const std::string& text) const {
    std::ofstream(this->path) << text;
  }

  static std::string Text(const std::string& seeds) {
    return R"({"platform": "platform", "role": "core", "instance": "a",
               "failure_domain": "z", "address": "127.0.0.1",
               "base_port": 7000, "operators": "127.0.0.1:7005",
               "seeds": [)" +
           seeds + "]}";
  }

  const std::string path;
};

// Guards against new seeds that take effect only after a restart, and against
// an invalid file that clears the current seeds.
Test(settings_watch, sighup_loads_new_seeds, .timeout = 60) {
  const SettingsFile file;
  file.Write(SettingsFile::Text(R"("127.0.0.1:1")"));
  Runtime runtime;
  std::vector<std::vector<Endpoint>> seen;
  SettingsWatch watch(
      runtime, LoadNodeSettings(file.path).value(),
      [&](const std::vector<Endpoint>& seeds) { seen.push_back(seeds); });
  watch.Start();
  int step = 0;
  runtime.Every(Millis(20), [&] {
    ++step;
    if (step == 1) file.Write("{ not json");
    if (step == 5) cr_assert(seen.empty(), "an invalid file changed the seeds");
    if (step == 5) {
      file.Write(SettingsFile::Text(R"("127.0.0.1:1", "127.0.0.1:2")"));
    }
    if (!seen.empty()) {
      runtime.Stop();
    } else {
      std::raise(SIGHUP);
    }
  });
  runtime.Run();
  const std::vector<Endpoint> expected = {{0x7f000001, 1}, {0x7f000001, 2}};
  cr_assert(seen.front() == expected);
}

}  // namespace
}  // namespace cornelhill
