#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "tests/platform/stand_in/messages.h"

namespace cornelhill::soak {

// Ports that all instances of a run share.
struct Ports {
  uint16_t control = 0;
  uint16_t packets = 0;
  uint16_t ready = 0;
  uint16_t outbound = 0;
  uint16_t app = 0;
  uint16_t internal_first = 0;
};

// Picks a range of free loopback ports.
Ports PickPorts(uint64_t seed);

// One process on an instance of its own, at its own loopback address. Not
// thread-safe.
class Instance {
 public:
  // `role` is that of the deploy file: entry, sidecar or core. The files of the
  // process go into `folder`/`name`.
  Instance(std::string name, std::string role, std::string address,
           std::string failure_domain, std::string folder);

  // Writes the settings from the role's template and starts the process.
  // Requires that it is not running.
  Result<void> Start(const std::string& daemon, const std::string& templates);

  void Signal(int signal) const;
  // Sends SIGTERM, and SIGKILL after `grace`. Returns once it has ended.
  void Stop(Millis grace);
  void Kill();
  // Deletes the data directory. Requires that the process is not running.
  void LoseDisk() const;
  // Makes every write to a file fail, or succeed again.
  void SetDiskFull(bool full) const;
  // Returns the wait status of a process that ended without `Stop` or `Kill`,
  // or -1.
  int PollEnd();

  bool Running() const { return this->process > 0; }

  platform_stand_in::ProcessSettings settings;
  int incarnation = 0;

 private:
  // Path of a file of this instance.
  Result<void> WriteSettings(const std::string& templates) const;
  std::string Path(const std::string& file) const;

  std::string role;
  std::string folder;
  pid_t process = 0;
};

}  // namespace cornelhill::soak
