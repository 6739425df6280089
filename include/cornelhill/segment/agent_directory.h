#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// An agent without a report for this long is dropped: agents report once a
// second, and three core members forward the reports.
constexpr Millis kAgentExpiry{6000};

// The latest record of each agent, by address. Soft state: an agent checks each
// packet itself, so a late or missing entry adds latency but never directs a
// packet to a wrong upstream. Not thread-safe.
class AgentDirectory {
 public:
  struct Entry {
    AgentRecord record;
    Millis reported_at;  // On this process's clock.
    Millis received_at;  // Time of the merge into this directory.
  };

  // Stores a record unless it is older than the stored one or than
  // `kAgentExpiry`. Returns whether the agent is new or its service,
  // incarnation, state or number of slots has changed.
  bool Merge(Millis now, const AgentRecord& record);

  // Drops agents that have not reported for `kAgentExpiry`.
  void Expire(Millis now);

  void Erase(const Endpoint& address);

  // Returns null for an unknown agent. Valid until the next change.
  Entry* Find(const Endpoint& address);

  const std::map<Endpoint, Entry>& Entries() const { return this->entries; }

  // Returns the records with their current age; with `changed_since`, only
  // those received at or after it.
  std::vector<AgentRecord> Records(
      Millis now, std::optional<Millis> changed_since = {}) const;

 private:
  std::map<Endpoint, Entry> entries;
};

}  // namespace cornelhill
