#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cornelhill/base/random.h"
#include "tools/soak/config_judge.h"
#include "tools/soak/configurations.h"
#include "tools/soak/data_path.h"
#include "tools/soak/instance.h"
#include "tools/soak/operators.h"

namespace cornelhill::soak {

struct SoakSize {
  size_t cores = 3;
  size_t balancers = 2;
  size_t upstreams_per_service = 2;
  size_t tolerated_failures = 1;
  uint32_t idle_routes = 20;
};

struct SoakSettings {
  uint64_t seed = 1;
  SoakSize size;
  Millis duration{30000};
  std::string daemon;
  std::string templates;  // Folder of the settings templates.
  std::string folder;
  std::string only_fault;  // Empty: all kinds of faults.
};

struct SoakResult {
  uint64_t acknowledged = 0;
  uint64_t probes = 0;
  std::vector<std::string> faults;  // As they were drawn, with their times.
  std::vector<std::string> violations;
};

// One seed: the processes of a deployment, operators, readers, probes and the
// faults that the seed draws. Not thread-safe.
class SoakRun {
 public:
  explicit SoakRun(const SoakSettings& settings);
  ~SoakRun();

  SoakResult Run();

 private:
  // An instance whose operations exclude each other.
  struct Managed {
    std::unique_ptr<Instance> instance;
    std::unique_ptr<std::mutex> mutex;
  };
  using Fault = void (SoakRun::*)(Random&);
  struct NamedFault {
    const char* name;
    Fault run;
  };

  std::shared_ptr<Managed> Make(const std::string& role, uint32_t host,
                                const std::string& failure_domain,
                                const std::string& service = "");
  void Start(Managed& managed, bool bootstrap);
  void StartDeployment();
  Endpoint ControlOf(const Managed& managed) const;
  std::vector<std::shared_ptr<Managed>> Cores();
  std::vector<std::shared_ptr<Managed>> Others();
  std::shared_ptr<Managed> PickCore(Random& random);
  std::shared_ptr<Managed> AddCore(const std::string& failure_domain);
  void RemoveCore(const std::shared_ptr<Managed>& core);
  void PublishCores();

  // Load.
  void RunOperator(uint64_t seed);
  void RunReader(uint64_t seed);
  void RunProber(uint64_t seed);
  void WatchProcesses();

  void DisturbFirstStart(Random& random);

  // Faults of core members, one after another within the tolerance.
  void RunCoreFaults(uint64_t seed);
  void KillCore(Random& random);
  void StopCore(Random& random);
  void FreezeCore(Random& random);
  void LoseDiskAfterAcknowledgement(Random& random);
  void LoseDiskOfAcknowledger(Random& random);
  void ReplaceCorePlanned(Random& random);
  void ReplaceLostCore(Random& random);
  void FillDisksInTurn(Random& random);
  void KillAllCores(Random& random);
  void HangUpCores(Random& random);

  // Faults of other processes.
  void RunOtherFaults(uint64_t seed);
  void RestartOther(Random& random);
  void FreezeOther(Random& random);
  void SendOddReports(Random& random);

  void Note(const std::string& fault);
  // Sleeps, but not beyond the end of the run.
  void Sleep(Millis time) const;
  bool Ending() const { return MonotonicNow() >= this->end; }
  void RunRandomFault(const std::vector<NamedFault>& faults, Random& random);

  const SoakSettings settings;
  const Ports ports;
  const uint32_t network;  // First three octets of the addresses.
  Millis started;
  Millis end;
  ConfigJudge judge;
  CoreList core_list;
  Configurations configurations;
  Operators operators;
  std::unique_ptr<Prober> prober;
  std::vector<std::unique_ptr<UpstreamStub>> upstreams;

  std::mutex mutex;  // Guards the members below.
  std::vector<std::shared_ptr<Managed>> cores;
  std::vector<std::shared_ptr<Managed>> others;
  uint32_t next_core_host = 11;
  std::optional<Endpoint> last_acknowledged_by;
  std::vector<std::string> faults;
  std::atomic<bool> stopping = false;
};

}  // namespace cornelhill::soak
