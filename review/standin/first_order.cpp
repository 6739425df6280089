// The first configuration is acknowledged, and the machine that acknowledged it
// loses power and its disk. It comes back with an empty disk after three
// seconds. The configuration must still be there.

#include "harness.hpp"

using namespace review;

int main(int argc, char** argv) {
  Begin(argc, argv);
  std::vector<Machine> cores = {MakeMachine("core", 1, 11, "zone-a"),
                                MakeMachine("core", 2, 12, "zone-b"),
                                MakeMachine("core", 3, 13, "zone-c")};
  const std::vector<Machine> seeds = cores;
  for (Machine& core : cores) Start(&core, seeds, true);

  const std::string document = Config(7, 20);
  const int holder = Order(cores, 7, document, 30000);
  if (holder < 0) Finish(2, "the first configuration was not acknowledged");
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
    Order(cores, 8, Config(8, 20), 4 * kAckMs);
    Finish(1, "CONFIG: the acknowledged version 7 cannot be read back");
  }
  if (VersionOf(read.body) < 7) {
    Finish(1, "LOST: version 7 was acknowledged; version " +
                  std::to_string(VersionOf(read.body)) + " is read back");
  }
  if (read.body != document) Finish(1, "CONFIG: other content is read back");
  Finish(0, "the acknowledged configuration is read back");
}
