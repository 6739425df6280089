// Runs the deployed programs as processes on loopback, disturbs them from
// outside and judges what operators, callers and upstreams see.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "cornelhill/base/process_signals.h"
#include "tools/soak/soak_run.h"

ABSL_FLAG(std::string, seeds, "1..3", "seeds to run, FIRST..LAST");
ABSL_FLAG(std::string, size, "small", "small, grown or limit");
ABSL_FLAG(int64_t, seconds, 30, "duration of the faults of a seed");
ABSL_FLAG(bool, keep, false, "keep the folder of a seed that holds");
ABSL_FLAG(std::string, daemon, "build/bin/cornelhilld", "program to run");
ABSL_FLAG(std::string, templates, "deploy", "folder of the settings templates");
ABSL_FLAG(std::string, folder, "", "folder of the runs; default: temporary");
ABSL_FLAG(std::string, only, "", "one kind of fault");

namespace cornelhill::soak {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

std::optional<SoakSize> SizeOf(const std::string& name) {
  if (name == "small") return SoakSize{};
  if (name == "grown") return SoakSize{6, 6, 8, 2, 240};
  if (name == "limit") return SoakSize{6, 20, 25, 2, 400};
  return std::nullopt;
}

void WriteLines(const std::string& path,
                const std::vector<std::string>& lines) {
  std::ofstream out(path);
  for (const std::string& line : lines) out << line << '\n';
}

// Returns whether no rule was broken.
bool RunSeed(uint64_t seed, const SoakSize& size, const std::string& folder) {
  SoakSettings settings;
  settings.seed = seed;
  settings.size = size;
  settings.duration = Millis(absl::GetFlag(FLAGS_seconds) * 1000);
  settings.daemon = absl::GetFlag(FLAGS_daemon);
  settings.templates = absl::GetFlag(FLAGS_templates);
  settings.folder = folder + "/seed-" + std::to_string(seed);
  settings.only_fault = absl::GetFlag(FLAGS_only);
  std::filesystem::remove_all(settings.folder);
  SoakResult result;
  {
    SoakRun run(settings);
    result = run.Run();
  }
  const bool held = result.violations.empty();
  std::printf("seed=%lu faults=%zu acknowledged=%lu probes=%lu broken=%zu\n",
              seed, result.faults.size(), result.acknowledged, result.probes,
              result.violations.size());
  constexpr size_t kPrinted = 5;
  for (size_t i = 0; i < std::min(kPrinted, result.violations.size()); ++i) {
    std::printf("  %s\n", result.violations[i].c_str());
  }
  std::fflush(stdout);
  WriteLines(settings.folder + "/faults", result.faults);
  WriteLines(settings.folder + "/violations", result.violations);
  if (held && !absl::GetFlag(FLAGS_keep)) {
    std::filesystem::remove_all(settings.folder);
  }
  return held;
}

int Run() {
  const std::optional<SoakSize> size = SizeOf(absl::GetFlag(FLAGS_size));
  const std::string seeds = absl::GetFlag(FLAGS_seeds);
  uint64_t first = 0;
  uint64_t last = 0;
  if (!size.has_value() ||
      std::sscanf(seeds.c_str(), "%lu..%lu", &first, &last) != 2 ||
      first > last) {
    std::fprintf(stderr,
                 "soak: --seeds is FIRST..LAST, --size small, grown or "
                 "limit\n");
    return kNotRun;
  }
  std::string folder = absl::GetFlag(FLAGS_folder);
  if (folder.empty()) {
    folder = std::filesystem::temp_directory_path() / "cornelhill-soak";
  }
  IgnoreWriteSignals();
  uint64_t broken = 0;
  for (uint64_t seed = first; seed <= last; ++seed) {
    if (!RunSeed(seed, *size, folder)) ++broken;
  }
  std::printf("total: %lu seeds, %lu with a broken rule\n", last - first + 1,
              broken);
  if (broken > 0) std::printf("logs: %s\n", folder.c_str());
  return broken == 0 ? kHeld : kBroken;
}

}  // namespace
}  // namespace cornelhill::soak

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs the deployed programs under faults and judges the rules.\n"
      "Exit status: 0 held, 1 a rule broken, 2 could not run.");
  absl::ParseCommandLine(argc, argv);
  try {
    return cornelhill::soak::Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "soak: %s\n", error.what());
    return 2;
  }
}
