#pragma once

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/control_state.h"
#include "tests/control/fake_queue.h"

namespace cornelhill::naive {

// Baseline that distributes configuration by polling: every daemon polls a
// control instance once a second and receives the full configuration. It has no
// tree, subscriptions or deltas.
class PollingConfig {
 public:
  PollingConfig(uint64_t seed, uint64_t daemons, uint64_t control,
                const fake::Faults& faults)
      : queue(seed, faults), control(control), random(seed) {
    for (uint64_t i = 0; i < daemons; ++i) {
      this->next_poll.push_back(
          Millis(static_cast<int64_t>(this->random.Below(1000))));
    }
    this->in_effect.resize(daemons);
  }

  // Runs for `span` or, with `until_equal`, at most until every daemon has the
  // revision of `state`.
  void Run(const ControlState& state, Millis span, bool until_equal) {
    SpreadUpdate update;
    update.update = state.Store().FullUpdate({true, {}, {}});
    // The revision is prepended, so that a reply from before a change is not
    // counted as one from after it and replies need not be decoded.
    const uint64_t revision = state.CurrentRevision().Value();
    std::string reply(sizeof(revision), '\0');
    std::memcpy(reply.data(), &revision, sizeof(revision));
    reply += Encode(ControlMessage(update));
    const std::string poll = Encode(ControlMessage(SpreadDigest{}));
    for (const Millis end = this->now + span; this->now <= end;
         this->now += Millis(1)) {
      if (until_equal &&
          std::all_of(this->in_effect.begin(), this->in_effect.end(),
                      [&state](Revision revision) {
                        return revision == state.CurrentRevision();
                      })) {
        return;
      }
      for (uint64_t i = 0; i < this->next_poll.size(); ++i) {
        if (this->next_poll[i] > this->now) continue;
        this->next_poll[i] = this->now + Millis(1000);
        this->queue.Send(this->now, InstanceId(kFirstDaemon + i),
                         InstanceId(1 + i % this->control), poll);
      }
      while (this->queue.Next() && *this->queue.Next() <= this->now) {
        const fake::FakeQueue::Delivery delivery = this->queue.Pop();
        if (delivery.to.Value() <= this->control) {
          this->queue.Send(this->now, delivery.to, delivery.from, reply);
        } else {
          uint64_t received = 0;
          std::memcpy(&received, delivery.bytes.data(), sizeof(received));
          this->in_effect[delivery.to.Value() - kFirstDaemon] =
              Revision(received);
        }
      }
    }
  }

  static constexpr uint64_t kFirstDaemon = 100;
  Millis now;
  fake::FakeQueue queue;

 private:
  uint64_t control;
  Random random;
  std::vector<Millis> next_poll;
  std::vector<Revision> in_effect;
};

}  // namespace cornelhill::naive
