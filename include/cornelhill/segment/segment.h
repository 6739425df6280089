#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/registry.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// Hash of a service name; identifies the service in listeners and agent
// records.
using ServiceKey = StrongId<struct ServiceKeyTag, uint64_t>;

// Returns the key of a service name. Thread-safe.
ServiceKey ServiceKeyOf(std::string_view name);

// The header fields that balancers and agents read from one packet of a stream
// transport. The packet itself is forwarded unchanged.
struct Segment {
  Endpoint source;
  Endpoint destination;
  bool opens = false;     // First packet of a flow, or a retransmission of it.
  bool accepts = false;   // With `opens`: the upstream's reply to the first
                          // packet.
  bool closes = false;    // The sender has no more data.
  bool resets = false;    // The sender has aborted the flow.
  bool returned = false;  // Returned by the upstream, which does not have the
                          // flow or does not accept it.
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t data_bytes = 0;
  // Of a caller's first packet: time since the caller sent the first copy of
  // it, when it sent this one.
  Millis age;
};

// Codec of the packets on the wire. All functions are thread-safe and
// stateless.
struct SegmentFormat {
  // Fails with `kMalformed` or `kTooLarge`.
  Result<Segment> (*read)(std::string_view datagram) = nullptr;
  // Encodes a reset from a listener to a caller. Requires a `sequence` within
  // the caller's window.
  std::string (*reset)(const Endpoint& listener, const Endpoint& caller,
                       uint32_t sequence) = nullptr;
  // Restores a returned packet to the form in which its sender wrote it.
  // Requires a datagram that `read` accepted.
  void (*clear_returned)(std::string* datagram) = nullptr;
  // A caller sends the first copy of an unanswered first packet after this.
  Millis retransmission_delay{200};
  // A caller gives up opening a flow after this.
  Millis opening_timeout{1400};
};

using SegmentFormatRegistry = Registry<SegmentFormat>;

// Identifies a flow by the caller's endpoint and the listener's address.
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
