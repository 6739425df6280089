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

// One use of a flow key. A caller may reuse the key with a new nonce.
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

// Maps flows to their owners on the home agent. Entries of closed flows are
// kept for the resend lifetime, so that a late copy of a first packet is
// forwarded to the owner that ran the request. Not thread-safe.
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

  // Returns null if there is no entry. A zero nonce matches the newest use of
  // the flow key and is replaced by its nonce.
  const Entry* Find(FlowUse* use) const;

  void Erase(const FlowUse& use);

  // Removes closed flows after the resend lifetime, and open flows that their
  // owner has not reported for `kOpenEntryLifetime`.
  void Expire(Millis now);

  // Returns the entries of `buckets`, sorted by key.
  std::vector<FlowLocation> EntriesIn(const BucketSet& buckets) const;

  size_t size() const { return this->entries.size(); }

 private:
  std::unordered_map<FlowUse, Entry> entries;
  std::unordered_map<FlowKey, FlowNonce> newest;
};

// Owners report their open flows to the home agents twice within this time.
constexpr Millis kOpenEntryLifetime(240000);

}  // namespace cornelhill
