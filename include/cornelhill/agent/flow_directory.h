#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/hash.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// One use of a flow key.
struct FlowUse {
  FlowKey flow;
  FlowNonce nonce;

  auto operator<=>(const FlowUse&) const = default;
};

}  // namespace cornelhill

template <>
struct std::hash<cornelhill::FlowUse> {
  size_t operator()(const cornelhill::FlowUse& use) const noexcept {
    return cornelhill::HashCombine(cornelhill::HashFlow(use.flow),
                                   use.nonce.Value());
  }
};

namespace cornelhill {

// What a home agent knows of flows that other agents own. Entries of closed
// flows stay for the resend lifetime, so that a late copy of a first packet
// finds the owner that ran it. Not thread-safe.
class FlowDirectory {
 public:
  struct Entry {
    InstanceId owner;
    Incarnation owner_incarnation;
    bool closed = false;
    Millis expires;
  };

  void Record(Millis now, const FlowUse& use, InstanceId owner,
              Incarnation owner_incarnation, bool closed);

  // Returns null where nothing is known. A zero nonce finds the newest use of
  // the flow key and is set to its nonce.
  const Entry* Find(FlowUse* use) const;

  void Erase(const FlowUse& use);

  // Forgets closed flows after the resend lifetime and open ones whose owner
  // has not reported them for `kOpenEntryLifetime`.
  void Expire(Millis now);

  // Returns the entries of some buckets, in the order of their keys.
  std::vector<FlowLocation> EntriesIn(const BucketSet& buckets) const;

  size_t size() const { return this->entries.size(); }

 private:
  std::unordered_map<FlowUse, Entry> entries;
  std::unordered_map<FlowKey, FlowNonce> newest;
};

// An owner reports its open flows to their homes twice within this time.
constexpr Millis kOpenEntryLifetime(240000);

}  // namespace cornelhill
