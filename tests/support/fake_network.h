#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// Probabilities of network faults for each message.
struct NetworkFaults {
  double loss = 0;
  double duplicate = 0;  // The copy arrives up to `late` after the original.
  double reorder = 0;    // Delayed by up to `late`.
  Millis jitter;
  Millis late = Millis(200);
};

// A simulated network with a clock that only `RunUntil` advances. Runs with the
// same seed are identical. Not thread-safe.
class FakeNetwork {
 public:
  using Receive = std::function<void(Endpoint from, DataMessage message)>;

  // Failure domain of callers, 1 ms from every process.
  static constexpr uint32_t kCallerDomain = 0;

  explicit FakeNetwork(uint64_t seed) : random(seed) {}

  Millis Now() const { return this->now; }
  void SetFaults(const NetworkFaults& new_faults) { this->faults = new_faults; }

  // Delivers messages sent to `address` from now on to `receive`.
  void Attach(Endpoint address, uint32_t domain, Receive receive);

  // Drops messages in flight to the address and messages sent to it later.
  void Detach(Endpoint address);

  // Queues messages for the address until `Continue`.
  void Freeze(Endpoint address) { this->frozen[address]; }
  void Continue(Endpoint address);

  // Drops messages in one direction until `HealCuts`.
  void Cut(Endpoint from, Endpoint to) { this->cuts.insert({from, to}); }
  void HealCuts() { this->cuts.clear(); }

  void Send(Endpoint from, Endpoint to, DataMessage message);
  void At(Millis when, std::function<void()> run);
  void RunUntil(Millis until);

 private:
  struct Event {
    Millis at;
    uint64_t order = 0;
    std::function<void()> run;
    // Inverted, so that the front of the heap is the earliest event.
    bool operator<(const Event& other) const {
      return this->at != other.at ? this->at > other.at
                                  : this->order > other.order;
    }
  };
  struct Process {
    uint32_t domain = 0;
    uint64_t generation = 0;
    Receive receive;
  };

  Millis Delay(uint32_t from, uint32_t to);
  void Deliver(Endpoint from, Endpoint to, uint64_t generation,
               DataMessage message);

  Random random;
  NetworkFaults faults;
  Millis now;
  uint64_t order = 0;
  uint64_t generations = 0;
  std::vector<Event> events;
  std::unordered_map<Endpoint, Process> processes;
  std::map<Endpoint, std::vector<std::pair<Endpoint, DataMessage>>> frozen;
  std::set<std::pair<Endpoint, Endpoint>> cuts;
};

}  // namespace cornelhill
