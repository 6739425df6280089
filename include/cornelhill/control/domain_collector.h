#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/outgoing.h"

namespace cornelhill {

constexpr Millis kSummaryPeriod = Millis(1000);

// Time until the next summary while the last one is unacknowledged.
constexpr Millis kSummaryRetryPeriod = Millis(300);

// Aggregates the lease renewals of agents of one failure domain and reports
// them to the leader in one summary per period. An agent's renewal is
// acknowledged only after the leader has acknowledged a summary that contains
// it, so a collector that is partitioned from the leader extends no lease. Any
// process may be a collector at any time, and several may be at once: the
// leader keeps a separate roster for each. No state is shared between
// collectors. Not thread-safe.
class DomainCollector {
 public:
  // `epoch` must differ after each restart of the process.
  DomainCollector(Millis now, FailureDomainId failure_domain, InstanceId self,
                  uint64_t epoch);

  // Handles an announcement or renewal; ignores other messages. Returns a reply
  // only if the agent is unknown or refused. Replies and later acknowledgements
  // go to `from`, the agent's endpoint.
  std::vector<Outgoing> OnAgent(Millis now, const Endpoint& from,
                                const ControlMessage& message);

  // Returns the summary to send to the leader, if one is due. Call at
  // `NextTick` or later.
  std::optional<DomainSummary> OnTick(Millis now);
  Millis NextTick() const { return this->next_summary; }

  // Handles the leader's acknowledgement of a summary and returns
  // acknowledgements to agents.
  std::vector<Outgoing> OnSummaryAck(Millis now, const SummaryAck& ack);

 private:
  struct Slot {
    bool used = false;
    bool leaving = false;
    Announcement announcement;
    Endpoint endpoint;
    Millis last_heard;
    uint64_t version = 0;         // Roster version of the last change.
    uint64_t last_sequence = 0;   // Of the last renewal.
    uint64_t acked_sequence = 0;  // Of the last renewal that the leader acked.
  };
  struct SentRenewal {
    uint32_t slot = 0;
    Incarnation incarnation;
    uint64_t sequence = 0;
  };
  struct SentSummary {
    uint64_t roster_version = 0;
    std::vector<SentRenewal> renewals;
  };

  Slot* FindOrCreateSlot(Millis now, InstanceId instance);

  FailureDomainId failure_domain;
  InstanceId self;
  uint64_t epoch;
  std::vector<Slot> slots;
  std::map<InstanceId, uint32_t> slot_of;
  uint64_t roster_version = 0;
  uint64_t acked_version = 0;
  uint64_t number = 0;
  uint64_t acked_number = 0;
  std::map<uint64_t, SentSummary> sent;
  Millis next_summary;
};

}  // namespace cornelhill
