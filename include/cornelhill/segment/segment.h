#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/registry.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// Identifies a service by the hash of its name, as listeners and agents state
// it.
using ServiceKey = StrongId<struct ServiceKeyTag, uint64_t>;

// Returns the key of a service name. Thread-safe.
ServiceKey ServiceKeyOf(std::string_view name);

// What a balancer and an agent read from one packet of a stream transport. The
// packet itself is opaque and passes unchanged.
struct Segment {
  Endpoint source;
  Endpoint destination;
  bool opens = false;     // First packet of a flow, or a copy of it.
  bool accepts = false;   // Together with `opens`: the upstream's reply to it.
  bool closes = false;    // The sender sends no more data.
  bool resets = false;    // The sender has ended the flow.
  bool returned = false;  // Handed back by the upstream, which does not hold
                          // or take the flow.
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t data_bytes = 0;
};

// How packets look on the wire. All functions are thread-safe and keep no
// state.
struct SegmentFormat {
  // Fails with `kMalformed` or `kTooLarge`.
  Result<Segment> (*read)(std::string_view datagram) = nullptr;
  // Renders a reset from a listener to a caller. `sequence` is within the
  // caller's window.
  std::string (*reset)(const Endpoint& listener, const Endpoint& caller,
                       uint32_t sequence) = nullptr;
  // Makes a returned packet as its sender wrote it. Requires a datagram that
  // `read` accepted.
  void (*clear_returned)(std::string* datagram) = nullptr;
};

using SegmentFormatRegistry = Registry<SegmentFormat>;

// Identifies a flow: the caller's end and the listener that it wrote to.
struct SegmentFlow {
  Endpoint caller;
  Endpoint listener;

  auto operator<=>(const SegmentFlow&) const = default;
};

}  // namespace cornelhill

template <>
struct std::hash<cornelhill::SegmentFlow> {
  size_t operator()(const cornelhill::SegmentFlow& flow) const noexcept {
    return cornelhill::HashFlow(
        {flow.caller, flow.listener, cornelhill::Protocol::kTcp});
  }
};
