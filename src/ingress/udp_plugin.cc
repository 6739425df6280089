#include <string>
#include <string_view>
#include <utility>

#include "cornelhill/ingress/ingress.h"
#include "cornelhill/wire/data_codec.h"

namespace cornelhill {

namespace {

// Decodes a datagram and performs the checks common to both directions.
Result<CallerDatagram> ReadHeader(const Encapsulated& packet) {
  if (packet.flow.protocol != Protocol::kUdp) {
    return Error{ErrorCode::kInvalidArgument,
                 "udp plug-in requires UDP but got a packet of flow " +
                     ToString(packet.flow)};
  }
  BOOST_OUTCOME_TRY(datagram, DecodeCallerDatagram(packet.payload));
  // A zero nonce selects the flow open under the key, but every datagram has to
  // carry the nonce of its flow.
  if (datagram.nonce == FlowNonce()) {
    return Error{
        ErrorCode::kMalformed,
        "datagram of flow " + ToString(packet.flow) + " has nonce zero"};
  }
  return datagram;
}

Result<PacketInfo> Read(const Encapsulated& packet) {
  BOOST_OUTCOME_TRY(datagram, ReadHeader(packet));
  if (datagram.refused) {
    return Error{ErrorCode::kMalformed, "datagram from caller of flow " +
                                            ToString(packet.flow) +
                                            " carries a refusal"};
  }
  PacketInfo info;
  info.flow = packet.flow;
  info.nonce = datagram.nonce;
  info.request = datagram.request;
  info.first = datagram.first;
  info.last = datagram.last;
  info.repeatable = datagram.repeatable;
  info.cancel = datagram.cancel;
  info.resent = datagram.resent;
  info.deadline = datagram.deadline;
  return info;
}

Result<Encapsulated> Refuse(const PacketInfo& original, const Refusal& refusal,
                            std::string_view /*original_payload*/) {
  CallerDatagram datagram;
  datagram.nonce = original.nonce;
  datagram.request = original.request;
  datagram.last = true;
  datagram.refused = true;
  datagram.refusal = refusal;
  return Encapsulated{original.flow, Encode(datagram)};
}

Result<Encapsulated> Encapsulate(const PacketInfo& packet,
                                 std::string payload) {
  if (packet.first) return Encapsulated{packet.flow, std::move(payload)};
  BOOST_OUTCOME_TRY(header, DecodeCallerDatagram(payload));
  if (header.first) {
    // A copy of a first packet that is forwarded as a continuation must not
    // start a new request at the upstream.
    header.first = false;
    payload = Encode(header);
  }
  return Encapsulated{packet.flow, std::move(payload)};
}

Result<AnswerInfo> ReadAnswer(const Encapsulated& packet) {
  BOOST_OUTCOME_TRY(datagram, ReadHeader(packet));
  AnswerInfo info;
  info.flow = packet.flow;
  info.nonce = datagram.nonce;
  info.request = datagram.request;
  info.last = datagram.last || datagram.refused;
  info.refused = datagram.refused;
  info.refusal = datagram.refusal;
  return info;
}

Result<Encapsulated> Cancel(const PacketInfo& original,
                            std::string_view /*original_payload*/) {
  CallerDatagram datagram;
  datagram.nonce = original.nonce;
  datagram.request = original.request;
  datagram.cancel = true;
  return Encapsulated{original.flow, Encode(datagram)};
}

const Registration<IngressPlugin> ingress_registration("udp", {Read, Refuse});
const Registration<DeliveryPlugin> delivery_registration("udp",
                                                         {Encapsulate,
                                                          ReadAnswer, Cancel});

}  // namespace

}  // namespace cornelhill
