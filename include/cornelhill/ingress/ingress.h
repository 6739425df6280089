#pragma once

#include <string>
#include <string_view>

#include "cornelhill/base/registry.h"
#include "cornelhill/base/result.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// What a delivery plug-in reads from an answer packet of the upstream.
struct AnswerInfo {
  FlowKey flow;     // Of the original direction: caller to service.
  FlowNonce nonce;  // Zero: the flow open under this key.
  RequestNumber request;
  bool last = false;   // The answer to the request ends with this packet.
  bool reset = false;  // The upstream aborted the flow.
  // The upstream refused the request, e.g. because it sheds load.
  bool refused = false;
  Refusal refusal;

  bool operator==(const AnswerInfo&) const = default;
};

// `Encapsulated::flow` names the flow in the original direction in both
// directions of the tunnel, so an answer needs no address to be exchanged in
// it. A packet whose content contradicts its envelope is an error.
//
// All functions of a plug-in are thread-safe, keep no state and throw nothing.
// A packet that cannot be read fails with `kMalformed`, `kTooLarge`,
// `kUnsupportedVersion` or `kInvalidArgument`; the caller counts and drops it.

// The balancer's side. The answer of a flow goes to the caller as the payload
// of an `Encapsulated`, unchanged; only a refusal has to be rendered.
struct IngressPlugin {
  // Reads a packet from a caller. `PacketInfo::nonce` is zero where the packet
  // carries none and belongs to the flow open under its key.
  Result<PacketInfo> (*read)(const Encapsulated& packet) = nullptr;

  // Renders a refusal towards the caller. `original_payload` is the payload of
  // the refused packet, which the agent sends back in `Return::payload`; the
  // `udp` plug-in ignores it. Of `original` only the flow, nonce and request
  // are used.
  Result<Encapsulated> (*refuse)(const PacketInfo& original,
                                 const Refusal& refusal,
                                 std::string_view original_payload) = nullptr;
};

// The agent's side.
struct DeliveryPlugin {
  // Wraps a packet for the upstream. `payload` is the payload that the ingress
  // plug-in read; it reaches the upstream unchanged.
  Result<Encapsulated> (*encapsulate)(const PacketInfo& packet,
                                      std::string payload) = nullptr;

  // Reads a packet from the upstream.
  Result<AnswerInfo> (*read_answer)(const Encapsulated& packet) = nullptr;

  // Renders a request to the upstream to stop working on `original`, of which
  // `original_payload` is the latest packet passed to it.
  Result<Encapsulated> (*cancel)(const PacketInfo& original,
                                 std::string_view original_payload) = nullptr;
};

// Plug-ins register under the name that settings use: "udp" and "ip". Programs
// link the library as a whole archive, otherwise the linker drops them.
using IngressRegistry = Registry<IngressPlugin>;
using DeliveryRegistry = Registry<DeliveryPlugin>;

}  // namespace cornelhill
