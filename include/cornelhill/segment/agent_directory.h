#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// An agent that has said nothing for this long is dropped: agents speak once a
// second, and three core members pass it on.
constexpr Millis kAgentExpiry{6000};

// What the agents have last said of themselves, by address. Soft state: an
// agent checks each packet itself, so a late or missing entry costs time and
// never reaches a wrong upstream. Not thread-safe.
class AgentDirectory {
 public:
  struct Entry {
    AgentRecord record;
    Millis reported_at;  // By this process's clock.
    Millis received_at;  // When this directory took it.
  };

  // Takes a record whose `age` states how old it is. An older one than the one
  // held changes nothing. Returns whether anything but load or age changed.
  bool Merge(Millis now, const AgentRecord& record);

  // Drops agents that have not been heard for `kAgentExpiry`.
  void Expire(Millis now);

  void Erase(const Endpoint& address);

  // Null where the agent is not known. Valid until the next change.
  Entry* Find(const Endpoint& address);

  const std::map<Endpoint, Entry>& Entries() const { return this->entries; }

  // Returns the records with their present age; `changed_since` leaves out
  // those that were stored before.
  std::vector<AgentRecord> Records(
      Millis now, std::optional<Millis> changed_since = {}) const;

 private:
  std::map<Endpoint, Entry> entries;
};

}  // namespace cornelhill
