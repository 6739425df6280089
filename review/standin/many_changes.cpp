// Hundreds of changes of a large configuration. A platform that kills a process
// over the memory of its machine, and starts it again, stands beside the core
// processes. With TROUBLE=0 there are ten changes.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>

#include "harness.hpp"

using namespace review;

namespace {

constexpr int kRoutes = 240 + 1400;
constexpr long kMemoryMb = 80;
constexpr long kGapMs = 100;
constexpr long kEndAt = 110000;
constexpr int kChanges = 850;
constexpr int kCalmChanges = 10;
constexpr int kEnds = 3;

// Memory that belongs to the process alone, without mapped program files.
long MemoryKb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("RssAnon:")) return std::atol(line.c_str() + 8);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  std::vector<Machine> cores = {MakeMachine("core", 1, 11, "zone-a"),
                                MakeMachine("core", 2, 12, "zone-b"),
                                MakeMachine("core", 3, 13, "zone-c")};
  const std::vector<Machine> seeds = cores;
  for (Machine& core : cores) Start(&core, seeds, true);
  if (Order(cores, 1, Config(1, 240), 30000) < 0) {
    Finish(2, "the first configuration was not acknowledged");
  }
  SleepFor(kCatchUpMs);

  std::vector<int> ends(cores.size());
  std::vector<long> peak_kb(cores.size());
  std::atomic<bool> stop = false;
  std::atomic<bool> over = false;  // The rule is broken.
  std::mutex mutex;
  std::thread platform([&] {
    while (!stop) {
      for (size_t i = 0; i < cores.size(); ++i) {
        const std::lock_guard lock(mutex);
        const long kb = MemoryKb(cores[i].pid);
        peak_kb[i] = std::max(peak_kb[i], kb);
        if (kb <= kMemoryMb * 1024) continue;
        ++ends[i];
        over = 2 * std::count_if(ends.begin(), ends.end(),
                                 [](int n) { return n >= kEnds; }) >
               static_cast<long>(cores.size());
        Record(cores[i].name + " uses " + std::to_string(kb / 1024) +
               " MB, over the limit of " + std::to_string(kMemoryMb) +
               " MB, and is killed (" + std::to_string(ends[i]) + ")");
        Signal(cores[i], SIGKILL);
        WaitEnd(&cores[i], 1000);
        SleepFor(300);
        Start(&cores[i], seeds, false);
      }
      SleepFor(50);
    }
  });

  const int changes = Trouble() ? kChanges : kCalmChanges;
  int acknowledged = 0;
  unsigned long version = 1;
  int hint = 0;
  for (int i = 0; i < changes && Now() < kEndAt && !over; ++i) {
    const long next = Now() + kGapMs;
    version += 3;
    // The machine that acknowledged last is asked first.
    std::vector<Machine> order;
    {
      const std::lock_guard lock(mutex);
      for (size_t k = 0; k < cores.size(); ++k) {
        order.push_back(cores[(static_cast<size_t>(hint) + k) % cores.size()]);
      }
    }
    const int by = Order(order, version, Config(version, kRoutes), 10000);
    if (by >= 0) {
      ++acknowledged;
      hint = static_cast<int>((static_cast<size_t>(hint) + by) % cores.size());
    }
    SleepUntil(next);
  }
  stop = true;
  platform.join();
  int machines = 0;
  std::string text;
  for (size_t i = 0; i < cores.size(); ++i) {
    if (ends[i] >= kEnds) ++machines;
    text += " " + cores[i].name + ": " + std::to_string(ends[i]) +
            " ends, peak " + std::to_string(peak_kb[i] / 1024) + " MB;";
  }
  Record(std::to_string(acknowledged) + " changes acknowledged;" + text);
  if (acknowledged < kCalmChanges) Finish(2, "the changes were not taken");
  if (2 * machines > static_cast<int>(cores.size())) {
    Finish(1, "Fault: on half of the core, processes ended " +
                  std::to_string(kEnds) + " times, over their memory");
  }
  Finish(0, "the core processes kept to their memory");
}
