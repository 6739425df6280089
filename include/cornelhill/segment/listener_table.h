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

// Whether the requests behind a listener may run more than once.
enum class WorkKind : uint8_t {
  kIdempotent = 0,
  kNonIdempotent = 1,
  kUpload = 2
};

// Number of `WorkKind` values.
constexpr uint32_t kWorkKindCount = 3;

// A service that takes a part of a listener's new flows.
struct ListenerShare {
  ServiceKey service;
  uint32_t weight = 1;

  bool operator==(const ListenerShare&) const = default;
};

// An address that callers write to, and where its new flows go.
struct Listener {
  Endpoint address;
  std::vector<ListenerShare> shares;
  WorkKind work = WorkKind::kIdempotent;
  Millis timeout;
  Millis target;
  uint32_t priority = 0;  // 0 is the most urgent.

  bool operator==(const Listener&) const = default;
};

// Hash of where a listener's new flows go. Thread-safe.
uint64_t HashShares(const Listener& listener);

// All listeners of one version.
struct ListenerSet {
  uint64_t version = 0;
  std::vector<Listener> listeners;
};

// How operators write listeners. Thread-safe, keeps no state.
struct ListenerFormat {
  // Fails with a message that names the field, the value and what is accepted.
  Result<ListenerSet> (*read)(std::string_view document) = nullptr;
};

using ListenerFormatRegistry = Registry<ListenerFormat>;

// A changed listener in a delta.
struct ListenerChange {
  Listener listener;
  uint64_t changed = 0;  // Version that last changed it.
  bool removed = false;

  bool operator==(const ListenerChange&) const = default;
};

// What brings a table from version `base` to `to`; base 0 replaces it whole.
struct ListenerDelta {
  uint64_t base = 0;
  uint64_t to = 0;
  std::vector<ListenerChange> changes;

  bool operator==(const ListenerDelta&) const = default;
};

// The listeners in effect at one version, never an older one than before. Not
// thread-safe.
class ListenerTable {
 public:
  uint64_t Version() const { return this->version; }
  size_t Size() const { return this->entries.size(); }

  // Moves to a higher version; an equal or lower one changes nothing and
  // returns false.
  bool Apply(const ListenerSet& set);

  // Applies a delta that starts at or below the present version. Returns false,
  // and changes nothing, where it starts above it or ends at or below it.
  bool Apply(const ListenerDelta& delta);

  // Returns null where no listener has the address. Valid until the next
  // change.
  const Listener* Find(const Endpoint& address) const;

  // Returns what changed since `from`; the whole table where this one has not
  // held version `from` itself: it does not know what was removed since.
  ListenerDelta DeltaSince(uint64_t from) const;

  // Picks the service of a new flow by weight: a pure function of the flow and
  // the listener. Returns 0 where no share has a weight.
  static ServiceKey PickService(const Listener& listener,
                                const SegmentFlow& flow);

 private:
  struct Entry {
    Listener listener;
    uint64_t changed = 0;
  };

  // Versions that deltas may start from; a table further behind is sent whole.
  static constexpr size_t kMaxKnownVersions = 1024;

  void Remove(const Endpoint& address, uint64_t removed_version);
  void SetVersion(uint64_t new_version);

  uint64_t version = 0;
  std::set<uint64_t> known_versions;  // The last versions that this table held.
  std::map<Endpoint, Entry> entries;
  std::map<Endpoint, uint64_t> removed;
};

}  // namespace cornelhill
