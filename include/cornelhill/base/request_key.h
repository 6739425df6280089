#pragma once

#include <compare>
#include <cstddef>
#include <functional>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/hash.h"
#include "cornelhill/base/strong_id.h"

namespace cornelhill {

// Identifies a request. The nonce tells successive flows with the same key
// apart.
struct RequestKey {
  FlowKey flow;
  FlowNonce nonce;
  RequestNumber number;

  auto operator<=>(const RequestKey&) const = default;
};

}  // namespace cornelhill

template <>
struct std::hash<cornelhill::RequestKey> {
  size_t operator()(const cornelhill::RequestKey& key) const noexcept {
    return cornelhill::HashCombine(
        cornelhill::HashFlow(key.flow),
        cornelhill::HashCombine(key.nonce.Value(), key.number.Value()));
  }
};
