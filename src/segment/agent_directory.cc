#include "cornelhill/segment/agent_directory.h"

namespace cornelhill {

bool AgentDirectory::Merge(Millis now, const AgentRecord& record) {
  const Millis reported_at = now - record.age;
  if (record.age > kAgentExpiry) return false;
  const auto [found, added] = this->entries.try_emplace(record.address);
  Entry& entry = found->second;
  if (!added && reported_at <= entry.reported_at) return false;
  const bool changed = added || entry.record.service != record.service ||
                       entry.record.incarnation != record.incarnation ||
                       entry.record.state != record.state ||
                       entry.record.slots != record.slots;
  entry.record = record;
  entry.reported_at = reported_at;
  entry.received_at = now;
  return changed;
}

void AgentDirectory::Expire(Millis now) {
  std::erase_if(this->entries, [now](const auto& item) {
    return now - item.second.reported_at > kAgentExpiry;
  });
}

void AgentDirectory::Erase(const Endpoint& address) {
  this->entries.erase(address);
}

AgentDirectory::Entry* AgentDirectory::Find(const Endpoint& address) {
  const auto found = this->entries.find(address);
  return found == this->entries.end() ? nullptr : &found->second;
}

std::vector<AgentRecord> AgentDirectory::Records(
    Millis now, std::optional<Millis> changed_since) const {
  std::vector<AgentRecord> out;
  for (const auto& [address, entry] : this->entries) {
    if (changed_since.has_value() && entry.received_at < *changed_since) {
      continue;
    }
    out.push_back(entry.record);
    out.back().age = now - entry.reported_at;
  }
  return out;
}

}  // namespace cornelhill
