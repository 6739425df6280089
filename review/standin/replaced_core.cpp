// A core machine is replaced as planned: its successor starts first, has its
// catch-up time, and then the old machine is stopped for good. Later another
// core machine loses power and its disk right after it acknowledged a change,
// and comes back with an empty disk after three seconds.

#include <signal.h>

#include "harness.hpp"

using namespace review;

namespace {

// From the end of the replaced process to the change.
constexpr long kPauseMs = 1500;

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  std::vector<Machine> cores = {MakeMachine("core", 1, 11, "zone-a"),
                                MakeMachine("core", 2, 12, "zone-b"),
                                MakeMachine("core", 3, 13, "zone-c")};
  const std::vector<Machine> seeds = cores;
  for (Machine& core : cores) Start(&core, seeds, true);
  if (Order(cores, 3, Config(3, 20), 30000) < 0) {
    Finish(2, "the first configuration was not acknowledged");
  }
  SleepFor(kCatchUpMs + kStabilityWindowMs);

  // The machine that acknowledged last acts as the leader; another one goes.
  const int leader = Order(cores, 5, Config(5, 20), 30000);
  if (leader < 0) Finish(2, "the second configuration was not acknowledged");
  const int leaving = leader == 2 ? 1 : 2;

  cores.push_back(MakeMachine("core", 4, 14, cores[leaving].zone));
  Start(&cores[3], seeds, false);
  SleepFor(kCatchUpMs + 1000);
  Record("SIGTERM to " + cores[leaving].name + ", which leaves for good");
  Signal(cores[leaving], SIGTERM);
  if (!WaitEnd(&cores[leaving], kGraceMs)) Finish(2, "it did not stop");
  Record(cores[leaving].name + " has ended");
  cores.erase(cores.begin() + leaving);
  SleepFor(kPauseMs);

  const std::string document = Config(9, 20);
  const int holder = Order(cores, 9, document, 30000);
  if (holder < 0) Finish(2, "the third configuration was not acknowledged");
  if (Trouble()) {
    LoseDisk(&cores[holder]);
    Record(cores[holder].name + " lost power and its disk");
    SleepFor(3000);
    Start(&cores[holder], seeds, false);
  }
  const long back = Now();
  SleepUntil(back + kCatchUpMs + kRecoveryMs);
  const HttpAnswer read = ReadConfig(cores, kStabilityWindowMs + kAckMs);
  if (read.status != 200) {
    Order(cores, 11, Config(11, 20), 4 * kAckMs);
    Finish(1, "CONFIG: the acknowledged version 9 cannot be read back");
  }
  if (VersionOf(read.body) < 9) {
    Finish(1, "CONFIG: version 9 was acknowledged; version " +
                  std::to_string(VersionOf(read.body)) + " is read back");
  }
  if (read.body != document) Finish(1, "CONFIG: other content is read back");
  Finish(0, "the acknowledged configuration is read back");
}
