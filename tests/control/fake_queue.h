#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"
#include "cornelhill/base/strong_id.h"

namespace cornelhill::fake {

// Probabilities and delays of the faults that a `FakeQueue` injects.
struct Faults {
  double loss = 0.05;
  double duplication = 0.01;
  // A reordered message is delayed by up to `max_reorder_delay` more, so that
  // later ones overtake it.
  double reordering = 0.05;
  Millis max_reorder_delay = Millis(200);
  Millis min_delay = Millis(3);
  Millis max_delay = Millis(5);
};

// Delivers encoded messages between processes with delay, loss, duplication and
// reordering, on the simulated clock of the test and reproducibly for its seed.
// Processes in different groups cannot reach each other.
class FakeQueue {
 public:
  struct Delivery {
    Millis at;
    InstanceId from;
    InstanceId to;
    std::string bytes;
  };
  struct Traffic {
    uint64_t sent = 0;
    uint64_t received = 0;
  };

  FakeQueue(uint64_t seed, const Faults& faults)
      : random(seed), faults(faults) {}

  void SetGroup(InstanceId id, int group) { this->groups[id] = group; }

  void Send(Millis now, InstanceId from, InstanceId to,
            const std::string& bytes) {
    this->traffic[from].sent += bytes.size();
    if (this->GroupOf(from) != this->GroupOf(to)) return;
    const int copies = this->random.Chance(this->faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (this->random.Chance(this->faults.loss)) continue;
      const int64_t least = this->faults.min_delay.Count();
      const int64_t range = this->faults.max_delay.Count() - least + 1;
      Millis at = now + Millis(least + static_cast<int64_t>(this->random.Below(
                                           static_cast<uint64_t>(range))));
      if (this->random.Chance(this->faults.reordering)) {
        at += Millis(static_cast<int64_t>(this->random.Below(
            static_cast<uint64_t>(this->faults.max_reorder_delay.Count()))));
      }
      this->pending.push({at, this->order++, {at, from, to, bytes}});
    }
  }

  // Returns the time of the next delivery, if any is pending.
  std::optional<Millis> Next() const {
    if (this->pending.empty()) return std::nullopt;
    return this->pending.top().at;
  }

  // Requires a pending delivery.
  Delivery Pop() {
    Delivery delivery = this->pending.top().delivery;
    this->pending.pop();
    this->traffic[delivery.to].received += delivery.bytes.size();
    return delivery;
  }

  const std::map<InstanceId, Traffic>& TrafficByInstance() const {
    return this->traffic;
  }
  void ClearTraffic() { this->traffic.clear(); }

 private:
  struct Entry {
    Millis at;
    uint64_t order;
    Delivery delivery;
    bool operator>(const Entry& other) const {
      return std::pair(this->at, this->order) >
             std::pair(other.at, other.order);
    }
  };

  int GroupOf(InstanceId id) const {
    const auto found = this->groups.find(id);
    return found == this->groups.end() ? 0 : found->second;
  }

  Random random;
  Faults faults;
  uint64_t order = 0;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> pending;
  std::map<InstanceId, int> groups;
  std::map<InstanceId, Traffic> traffic;
};

}  // namespace cornelhill::fake
