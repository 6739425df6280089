#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cornelhill/base/millis.h"

namespace cornelhill::soak {

// Service of each routed port.
using Routes = std::map<uint16_t, std::string>;

// Bounds of the deployment that the rules refer to.
struct ConfigBounds {
  Millis propagation{3000};
  Millis stability_window{4000};
  Millis partition_max{12000};
  Millis downgrade_slack{250};
  Millis acknowledgement{5000};
  Millis acknowledgement_per_route{3};
};

// A flow that was opened directly at one balancer.
struct ProbeResult {
  std::string balancer;
  int incarnation = 0;
  Millis sent;
  Millis observed;
  uint16_t port = 0;
  std::string service;  // That received the flow; empty: the flow was reset.
};

// What a disturbance affects.
enum class Disturbed : uint8_t {
  kCoreMinority,  // Fewer than half of the core members.
  kCoreMajority,
  kBalancer,
};

// Judges what operators, readers and upstreams observe against the rules for
// configurations. Thread-safe.
class ConfigJudge {
 public:
  explicit ConfigJudge(ConfigBounds bounds) : bounds(bounds) {}

  // Records the first transmission of a configuration.
  void OnSent(Millis now, uint64_t version, const std::string& document,
              const Routes& routes, bool valid);
  // Records a clear response to an order. `status` is an HTTP status.
  void OnAnswered(Millis now, uint64_t version, uint32_t status,
                  const std::string& detail);
  // Records that the operator gave up an order without a clear response.
  void OnAbandoned(Millis now, uint64_t version);
  // Records a successful read.
  void OnRead(Millis sent, const std::string& machine,
              const std::string& document);
  void OnProbe(const ProbeResult& probe);
  // Records the start of a disturbance; `balancer` is empty for core members.
  // Returns its number for `EndDisturbance`.
  size_t BeginDisturbance(Disturbed what, const std::string& balancer,
                          Millis now);
  void EndDisturbance(size_t number, Millis now);
  // Judges the configuration that is read back at the end; null: none came.
  void OnFinalRead(Millis now, const std::string* document);
  void OnProcessEnded(Millis now, const std::string& process, int status);

  std::vector<std::string> Violations() const;
  uint64_t Acknowledged() const;
  uint64_t Probes() const;

 private:
  struct Order {
    std::string document;
    Routes routes;
    bool valid = true;
    Millis sent;
    std::optional<Millis> acknowledged;
  };

  struct Disturbance {
    Disturbed what = Disturbed::kCoreMinority;
    std::string balancer;
    Millis from;
    Millis to;
  };

  struct Effect {
    Millis observed;
    uint64_t version = 0;  // Oldest version that explains it.
  };

  void Report(Millis now, const std::string& what);
  // Whether a disturbance of this kind overlaps the interval.
  bool DisturbedBetween(Disturbed what, const std::string& balancer,
                        Millis from, Millis to) const;
  // Newest version acknowledged at or before `time`; 0 if there is none.
  uint64_t AcknowledgedBy(Millis time) const;
  // Versions whose valid configuration handles the port as observed.
  std::vector<uint64_t> VersionsThatExplain(const ProbeResult& probe) const;
  void CheckAge(const ProbeResult& probe, uint64_t newest);
  void CheckRegress(const ProbeResult& probe,
                    const std::vector<uint64_t>& versions);

  const ConfigBounds bounds;
  mutable std::mutex mutex;
  std::map<uint64_t, Order> orders;
  std::vector<Disturbance> disturbances;
  // By balancer and incarnation.
  std::map<std::pair<std::string, int>, std::vector<Effect>> effects;
  std::vector<std::string> violations;
  uint64_t acknowledged = 0;
  uint64_t probes = 0;
};

}  // namespace cornelhill::soak
