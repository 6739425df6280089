// The whole system starts for the first time. The machine that is first among
// the seeds is killed while its core process sets up its data folder, and
// starts again a second later with the same settings and the same disk. The
// first configuration must be acknowledged some time after that.

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>

#include "harness.hpp"

using namespace review;

namespace {

// The kill has to meet the set-up; a start that it misses is repeated with
// empty disks.
constexpr int kMaxStarts = 30;

bool Exists(const std::string& path) {
  struct stat info {};
  return stat(path.c_str(), &info) == 0;
}

// Kills the process as soon as its data folder has a first file. Returns
// whether the set-up was cut short.
bool KillDuringSetUp(Machine* core) {
  const long until = Now() + 3000;
  const std::string first = core->data + "/log-00000000000000000001";
  const std::string last = core->data + "/identity";
  while (Now() < until && !Exists(first)) {
  }
  Signal(*core, SIGKILL);
  WaitEnd(core, 1000);
  return Exists(first) && !Exists(last);
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  std::vector<Machine> cores = {MakeMachine("core", 1, 11, "zone-a"),
                                MakeMachine("core", 2, 12, "zone-b"),
                                MakeMachine("core", 3, 13, "zone-c")};
  const std::vector<Machine> seeds = cores;
  int starts = 0;
  for (bool met = false; !met;) {
    if (++starts > kMaxStarts) Finish(2, "the kill never met the set-up");
    for (Machine& core : cores) Start(&core, seeds, true);
    if (!Trouble()) break;
    met = KillDuringSetUp(&cores[0]);
    if (met) break;
    for (Machine& core : cores) LoseDisk(&core);
  }
  if (Trouble()) {
    Record(cores[0].name + " was killed during its first start (attempt " +
           std::to_string(starts) + ")");
    SleepFor(1000);
    Start(&cores[0], seeds, true);
  }
  const long back = Now();
  const int holder =
      Order(cores, 7, Config(7, 20), kRecoveryMs + 4 * kAckMs + 60);
  if (holder < 0) {
    Finish(1, "Acks: no acknowledgement in " + std::to_string(Now() - back) +
                  " ms of a calm core");
  }
  Finish(0, "the first configuration was acknowledged");
}
