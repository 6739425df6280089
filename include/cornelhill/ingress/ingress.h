#pragma once

#include <string>
#include <string_view>

#include "cornelhill/base/registry.h"
#include "cornelhill/base/result.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// The fields that a delivery plug-in parses from an answer packet of an
// upstream.
struct AnswerInfo {
  FlowKey flow;     // In the original direction, caller to service.
  FlowNonce nonce;  // Zero selects the flow open under this key.
  RequestNumber request;
  bool last = false;   // Last packet of the answer to the request.
  bool reset = false;  // The upstream aborted the flow.
  // The upstream refused the request, e.g. because it sheds load.
  bool refused = false;
  Refusal refusal;

  bool operator==(const AnswerInfo&) const = default;
};

// `Encapsulated::flow` holds the key of the original direction in both
// directions of the tunnel, so the addresses of an answer need not be swapped.
// A packet whose payload contradicts `flow` is an error.
//
// All functions of a plug-in are thread-safe and stateless, and do not throw.
// A packet that cannot be parsed fails with `kMalformed`, `kTooLarge`,
// `kUnsupportedVersion` or `kInvalidArgument`; the calling code counts and
// drops it.

// Plug-in used by the balancer. Answers are sent to the caller unchanged, as
// the payload of an `Encapsulated`; only refusals have to be encoded.
struct IngressPlugin {
  // Parses a packet from a caller. `PacketInfo::nonce` is zero if the packet
  // carries none; it then belongs to the flow open under its key.
  Result<PacketInfo> (*read)(const Encapsulated& packet) = nullptr;

  // Encodes a refusal to the caller. `original_payload` is the payload of
  // the refused packet, which the agent sends back in `Return::payload`; the
  // `udp` plug-in ignores it. Of `original` only the flow, nonce and request
  // are used.
  Result<Encapsulated> (*refuse)(const PacketInfo& original,
                                 const Refusal& refusal,
                                 std::string_view original_payload) = nullptr;
};

// Plug-in used by the agent.
struct DeliveryPlugin {
  // Encapsulates a packet for the upstream. `payload` is the payload that the
  // ingress plug-in parsed. It is passed on unchanged, except that the `udp`
  // plug-in clears the `first` flag of a datagram if `packet.first` is false.
  Result<Encapsulated> (*encapsulate)(const PacketInfo& packet,
                                      std::string payload) = nullptr;

  // Parses a packet from the upstream.
  Result<AnswerInfo> (*read_answer)(const Encapsulated& packet) = nullptr;

  // Encodes a cancellation of `original` to the upstream. `original_payload` is
  // the payload of the latest packet of `original` that the upstream was sent.
  Result<Encapsulated> (*cancel)(const PacketInfo& original,
                                 std::string_view original_payload) = nullptr;
};

// Plug-ins register under the names used in the settings, "udp" and "ip".
// Programs have to link the library as a whole archive; otherwise the linker
// drops the registrations.
using IngressRegistry = Registry<IngressPlugin>;
using DeliveryRegistry = Registry<DeliveryPlugin>;

}  // namespace cornelhill
