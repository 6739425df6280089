// What the cases of this review share: the processes that a case starts, the
// operator's HTTP calls, and the record of what was sent and answered.

#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

// Milliseconds of a steady clock since the case started.
long Now();
void SleepUntil(long time_ms);
void SleepFor(long duration_ms);

// Appends a line with the time to the record and to standard output.
void Record(const std::string& line);

// Ends the case: stops all processes, removes the temporary folder and exits.
// 0: the rule held, 1: it was broken, 2: the case could not run.
[[noreturn]] void Finish(int status, const std::string& verdict);

// Settings of the small deployment that the cases run, with the bounds of a
// site with one disk to lose.
constexpr long kStabilityWindowMs = 4000;
constexpr long kCatchUpMs = 4000;
constexpr long kAckMs = 5000;
constexpr long kRecoveryMs = 12000;
constexpr long kPropagationMs = 3000;
constexpr long kGraceMs = 6000;
constexpr long kHeartbeatMs = 1200;
constexpr long kFlowMaxMs = 60000;
constexpr int kFirstRoutePort = 8000;

// The ports of a day: the same on all machines.
struct Ports {
  int control = 0;
  int packets = 0;
  int ready = 0;
  int outbound = 0;
  int app = 0;
  int base = 0;  // First of the ports between processes.
  int metrics = 0;
};

// One process of the system on one machine, i.e. at one loopback address.
struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string role;  // core, entry or sidecar.
  std::string service;
  std::string data;  // Data folder of a core.
  std::string settings;
  pid_t pid = 0;
  int starts = 0;
};

// Reads the arguments (daemon, folder of the record), makes the temporary
// folder and picks free ports.
void Begin(int argc, char** argv);
// Whether the disruption takes place: false with TROUBLE=0.
bool Trouble();

const Ports& DayPorts();
std::string Address(int host);
std::string TemporaryFolder();

Machine MakeMachine(const std::string& role, int number, int host,
                    const std::string& zone, const std::string& service = "");
// Writes the settings and starts the process.
void Start(Machine* machine, const std::vector<Machine>& seeds, bool bootstrap);
// Has `Finish` end this process too.
void Adopt(pid_t pid);
// Kills a process that was started or adopted, and waits for its end.
void Kill(pid_t pid);
void Signal(const Machine& machine, int signal);
// Waits until the process has ended; returns false after `timeout_ms`.
bool WaitEnd(Machine* machine, long timeout_ms);
// A kill and the loss of the disk.
void LoseDisk(Machine* machine);

struct HttpAnswer {
  int status = 0;  // 0: no response.
  std::string location;
  std::string body;
};

// One HTTP/1.1 call to IP:PORT; gives up after `timeout_ms`.
HttpAnswer Call(const std::string& address, const std::string& method,
                const std::string& path, const std::string& body,
                long timeout_ms = 1000);

// A configuration with `routes` routes under the version. All routes have the
// host Address(200), the first one the port `kFirstRoutePort`.
std::string Config(unsigned long version, int routes);

// Sends the order until it is acknowledged, as the operator does: to the
// machines by turns, following redirects twice. Returns the index of the
// machine that acknowledged it, or -1 after `timeout_ms`.
int Order(const std::vector<Machine>& cores, unsigned long version,
          const std::string& body, long timeout_ms, long* sent_ms = nullptr);

// Reads the configuration; returns the first clear response, or status 0.
HttpAnswer ReadConfig(const std::vector<Machine>& cores, long timeout_ms);

// Version stated in a configuration document; 0 if there is none.
unsigned long VersionOf(const std::string& document);

}  // namespace review
