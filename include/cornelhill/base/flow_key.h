#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "cornelhill/base/result.h"
#include "cornelhill/base/strong_id.h"

namespace cornelhill {

// An IPv4 address in host byte order and a port.
struct Endpoint {
  uint32_t address = 0;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

// IP protocol numbers.
enum class Protocol : uint8_t { kTcp = 6, kUdp = 17 };

// Identifies a flow. The key is unique only among concurrently open flows.
struct FlowKey {
  Endpoint caller;
  Endpoint service;
  Protocol protocol = Protocol::kUdp;

  auto operator<=>(const FlowKey&) const = default;
};

// Number of buckets in the hash space of one service.
constexpr uint16_t kBucketCount = 256;

// Returns a hash that is identical in every process. Thread-safe; does not
// allocate.
uint64_t HashFlow(const FlowKey& key);

// Returns the bucket of a flow. It depends on the key alone. Thread-safe.
BucketIndex BucketOf(const FlowKey& key);

// Formats as "127.0.0.1:7000".
std::string ToString(const Endpoint& endpoint);

// Formats as "udp/127.0.0.1:7000>127.0.0.2:80".
std::string ToString(const FlowKey& key);

// Parses "127.0.0.1:7000". Fails with `kInvalidArgument`.
Result<Endpoint> ParseEndpoint(const std::string& text);

// Parses the output of `ToString(const FlowKey&)`. Fails with
// `kInvalidArgument`.
Result<FlowKey> ParseFlowKey(const std::string& text);

}  // namespace cornelhill

template <>
struct std::hash<cornelhill::Endpoint> {
  size_t operator()(const cornelhill::Endpoint& endpoint) const noexcept {
    return std::hash<uint64_t>()(uint64_t{endpoint.address} << 16 |
                                 endpoint.port);
  }
};

template <>
struct std::hash<cornelhill::FlowKey> {
  size_t operator()(const cornelhill::FlowKey& key) const noexcept {
    return cornelhill::HashFlow(key);
  }
};
