#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/registry.h"
#include "cornelhill/base/result.h"
#include "cornelhill/segment/segment.h"

namespace cornelhill {

// Whether the requests to a listener may run more than once, and in which
// direction most of their bytes go.
enum class WorkKind : uint8_t {
  kIdempotent = 0,
  kNonIdempotent = 1,
  kUpload = 2,    // Many bytes to the upstream; may run once only.
  kDownload = 3,  // Many bytes to the caller; may run more than once.
};

// Number of `WorkKind` values.
constexpr uint32_t kWorkKindCount = 4;

// Returns whether the requests carry many bytes in either direction.
// Thread-safe.
inline bool IsBulk(WorkKind work) {
  return work == WorkKind::kUpload || work == WorkKind::kDownload;
}

// A service that receives a weighted share of a listener's new flows.
struct ListenerShare {
  ServiceKey service;
  uint32_t weight = 1;

  bool operator==(const ListenerShare&) const = default;
};

// A virtual address for callers and the services that its new flows go to.
struct Listener {
  Endpoint address;
  std::vector<ListenerShare> shares;
  WorkKind work = WorkKind::kIdempotent;
  Millis timeout;
  Millis target_latency;
  uint32_t priority = 0;  // 0 is the highest.

  bool operator==(const Listener&) const = default;
};

// Returns a hash of the listener's shares. Thread-safe.
uint64_t HashShares(const Listener& listener);

// All listeners of one version.
struct ListenerSet {
  uint64_t version = 0;
  std::vector<Listener> listeners;
};

// Parser of the operators' listener documents. Thread-safe, stateless.
struct ListenerFormat {
  // Fails with a message that states the field, its value and the accepted
  // values.
  Result<ListenerSet> (*read)(std::string_view document) = nullptr;
};

using ListenerFormatRegistry = Registry<ListenerFormat>;

// A changed listener in a delta.
struct ListenerChange {
  Listener listener;
  uint64_t changed = 0;  // Version of the last change.
  bool removed = false;

  bool operator==(const ListenerChange&) const = default;
};

// The changes from version `base` to `to`; with base 0 they replace the whole
// table.
struct ListenerDelta {
  uint64_t base = 0;
  uint64_t to = 0;
  std::vector<ListenerChange> changes;

  bool operator==(const ListenerDelta&) const = default;
};

// The listeners in effect. The version never decreases. Not thread-safe.
class ListenerTable {
 public:
  uint64_t Version() const { return this->version; }
  size_t Size() const { return this->entries.size(); }

  // Applies a set with a higher version. Otherwise returns false and changes
  // nothing.
  bool Apply(const ListenerSet& set);

  // Applies a whole table, or a delta with the current version as its `base`,
  // if `to` is above the current version. Otherwise returns false and changes
  // nothing: a sender that never had the current version does not know what to
  // change back.
  bool Apply(const ListenerDelta& delta);

  // Returns null if no listener has the address. Valid until the next change.
  const Listener* Find(const Endpoint& address) const;

  // Returns the changes since version `from`, or the whole table if this table
  // never had version `from` and thus does not know the removals since.
  ListenerDelta DeltaSince(uint64_t from) const;

  // Picks the service of a new flow by weight; a pure function of the flow and
  // the listener. Returns 0 if all weights are 0.
  static ServiceKey PickService(const Listener& listener,
                                const SegmentFlow& flow);

 private:
  struct Entry {
    Listener listener;
    uint64_t changed = 0;
  };

  // Versions that a delta may start from; for an older one the whole table is
  // sent.
  static constexpr size_t kMaxKnownVersions = 1024;

  void Remove(const Endpoint& address, uint64_t removed_version);
  void SetVersion(uint64_t new_version);

  uint64_t version = 0;
  std::set<uint64_t> known_versions;  // The latest versions of this table.
  std::map<Endpoint, Entry> entries;
  std::map<Endpoint, uint64_t> removed;
};

}  // namespace cornelhill
