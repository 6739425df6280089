#include <tins/constants.h>
#include <tins/endianness.h>
#include <tins/ip.h>
#include <tins/tcp.h>
#include <tins/utils/checksum_utils.h>

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelhill/ingress/ingress.h"

namespace cornelhill {

namespace {

constexpr uint8_t kTimeToLive = 64;

// The fields used of a TCP segment and of the IP header around it.
struct TcpSegment {
  Endpoint source;
  Endpoint destination;
  uint32_t sequence = 0;
  uint32_t acknowledgement = 0;
  // Length in sequence space: the data plus one each for SYN and FIN (SEG.LEN
  // of RFC 9293).
  uint32_t sequence_length = 0;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
};

Error MalformedError(const std::string& message) {
  return Error{ErrorCode::kMalformed, message};
}

const uint8_t* AsUint8(std::string_view bytes) {
  return reinterpret_cast<const uint8_t*>(bytes.data());
}

uint32_t ToHostAddress(Tins::IPv4Address address) {
  return Tins::Endian::be_to_host(static_cast<uint32_t>(address));
}

Tins::IPv4Address ToTinsAddress(uint32_t address) {
  return Tins::IPv4Address(Tins::Endian::host_to_be(address));
}

// `sum` is the unfolded sum of the 16-bit words, including the checksum field.
bool IsValidChecksum(uint32_t sum) {
  while (sum >> 16 != 0) sum = (sum & 0xffff) + (sum >> 16);
  return sum == 0xffff;
}

// Parses an IPv4 packet that holds exactly one unfragmented TCP segment. May
// throw exceptions of libtins.
Result<TcpSegment> ParseTcpSegmentOrThrow(std::string_view bytes) {
  const Tins::IP ip(AsUint8(bytes), static_cast<uint32_t>(bytes.size()));
  if (ip.version() != 4) {
    return MalformedError("IP version " + std::to_string(ip.version()) +
                          " is not 4");
  }
  if (ip.tot_len() != bytes.size()) {
    return MalformedError("IP packet of " + std::to_string(bytes.size()) +
                          " bytes has a total length field of " +
                          std::to_string(ip.tot_len()));
  }
  if (ip.is_fragmented()) return MalformedError("IP packet is a fragment");
  // `find_pdu` below would also find a TCP segment inside an IP tunnel.
  if (ip.protocol() != Tins::Constants::IP::PROTO_TCP) {
    return MalformedError("IP protocol " + std::to_string(ip.protocol()) +
                          " is not TCP");
  }
  const auto* tcp = ip.find_pdu<Tins::TCP>();
  if (tcp == nullptr) return MalformedError("IP packet has no TCP header");
  if (ip.src_addr() == Tins::IPv4Address() ||
      ip.dst_addr() == Tins::IPv4Address()) {
    return MalformedError("IP packet has 0.0.0.0 as source or destination");
  }

  // libtins computes checksums when serializing but does not verify them when
  // parsing.
  const size_t header = size_t{ip.head_len()} * sizeof(uint32_t);
  const uint8_t* begin = AsUint8(bytes);
  const uint8_t* end = begin + bytes.size();
  if (!IsValidChecksum(Tins::Utils::sum_range(begin, begin + header))) {
    return MalformedError("IP header checksum is incorrect");
  }
  const uint32_t pseudo_header = Tins::Utils::pseudoheader_checksum(
      ip.src_addr(), ip.dst_addr(),
      static_cast<uint16_t>(bytes.size() - header),
      Tins::Constants::IP::PROTO_TCP);
  if (!IsValidChecksum(pseudo_header +
                       Tins::Utils::sum_range(begin + header, end))) {
    return MalformedError("TCP checksum is incorrect");
  }

  TcpSegment segment;
  segment.source = {ToHostAddress(ip.src_addr()), tcp->sport()};
  segment.destination = {ToHostAddress(ip.dst_addr()), tcp->dport()};
  segment.sequence = tcp->seq();
  segment.acknowledgement = tcp->ack_seq();
  segment.syn = tcp->get_flag(Tins::TCP::SYN) != 0;
  segment.ack = tcp->get_flag(Tins::TCP::ACK) != 0;
  segment.fin = tcp->get_flag(Tins::TCP::FIN) != 0;
  segment.rst = tcp->get_flag(Tins::TCP::RST) != 0;
  const size_t tcp_header = size_t{tcp->data_offset()} * sizeof(uint32_t);
  segment.sequence_length =
      static_cast<uint32_t>(bytes.size() - header - tcp_header) +
      (segment.syn ? 1 : 0) + (segment.fin ? 1 : 0);
  if (segment.syn && (segment.fin || segment.rst)) {
    return MalformedError("TCP segment has SYN together with FIN or RST");
  }
  if (!segment.syn && !segment.ack && !segment.rst) {
    return MalformedError("TCP segment has neither SYN, ACK nor RST");
  }
  return segment;
}

Result<TcpSegment> ParseTcpSegment(std::string_view bytes) {
  try {
    return ParseTcpSegmentOrThrow(bytes);
  } catch (const std::exception& e) {
    return MalformedError("IP packet of " + std::to_string(bytes.size()) +
                          " bytes cannot be parsed: " + e.what());
  }
}

// Parses a packet of `flow` and checks that its addresses are those of the
// direction from caller to service or, with `from_service`, from service to
// caller.
Result<TcpSegment> ParseFlowSegment(const FlowKey& flow, std::string_view bytes,
                                    bool from_service) {
  if (flow.protocol != Protocol::kTcp) {
    return Error{
        ErrorCode::kInvalidArgument,
        "ip plug-in requires TCP but got a packet of flow " + ToString(flow)};
  }
  BOOST_OUTCOME_TRY(segment, ParseTcpSegment(bytes));
  const Endpoint& source = from_service ? flow.service : flow.caller;
  const Endpoint& destination = from_service ? flow.caller : flow.service;
  if (segment.source != source || segment.destination != destination) {
    return MalformedError("packet from " + ToString(segment.source) + " to " +
                          ToString(segment.destination) +
                          " does not belong to flow " + ToString(flow));
  }
  return segment;
}

// Sets bit 32 so that a sequence number of zero does not yield the nonce zero,
// which selects the flow open under the key.
FlowNonce NonceFromInitialSequence(uint32_t initial_sequence) {
  return FlowNonce(uint64_t{1} << 32 | initial_sequence);
}

// Builds a segment without data.
Result<Encapsulated> BuildEmptySegment(const FlowKey& flow,
                                       const TcpSegment& segment) {
  try {
    Tins::TCP tcp(segment.destination.port, segment.source.port);
    tcp.seq(segment.sequence);
    tcp.ack_seq(segment.acknowledgement);
    tcp.window(0);
    tcp.flags((segment.rst ? Tins::TCP::RST : 0) |
              (segment.ack ? Tins::TCP::ACK : 0));
    Tins::IP ip = Tins::IP(ToTinsAddress(segment.destination.address),
                           ToTinsAddress(segment.source.address)) /
                  tcp;
    ip.ttl(kTimeToLive);
    // RFC 6864 permits any identification, such as zero, in an atomic datagram,
    // which has to have DF set.
    ip.flags(Tins::IP::DONT_FRAGMENT);
    ip.id(0);
    const std::vector<uint8_t> bytes = ip.serialize();
    return Encapsulated{flow, std::string(bytes.begin(), bytes.end())};
  } catch (const std::exception& e) {
    return Error{
        ErrorCode::kInvalidArgument,
        "cannot build a reset of flow " + ToString(flow) + ": " + e.what()};
  }
}

Result<PacketInfo> Read(const Encapsulated& packet) {
  BOOST_OUTCOME_TRY(segment,
                    ParseFlowSegment(packet.flow, packet.payload, false));
  PacketInfo info;
  info.flow = packet.flow;
  info.first = segment.syn && !segment.ack;
  if (info.first) info.nonce = NonceFromInitialSequence(segment.sequence);
  info.last = segment.fin;
  info.reset = segment.rst;
  return info;
}

// The sequence numbers follow RFC 9293, section 3.10.7.1 (state CLOSED). The
// refusal is unused because a TCP segment cannot carry a verdict or reason.
Result<Encapsulated> Refuse(const PacketInfo& original,
                            const Refusal& /*refusal*/,
                            std::string_view original_payload) {
  BOOST_OUTCOME_TRY(segment,
                    ParseFlowSegment(original.flow, original_payload, false));
  if (segment.rst) {
    return Error{ErrorCode::kInvalidArgument,
                 "cannot send a reset in response to a reset of flow " +
                     ToString(original.flow)};
  }
  TcpSegment reset;
  reset.source = segment.destination;
  reset.destination = segment.source;
  reset.rst = true;
  if (segment.ack) {
    reset.sequence = segment.acknowledgement;
  } else {
    reset.ack = true;
    reset.acknowledgement = segment.sequence + segment.sequence_length;
  }
  return BuildEmptySegment(original.flow, reset);
}

Result<Encapsulated> Encapsulate(const PacketInfo& packet,
                                 std::string payload) {
  return Encapsulated{packet.flow, std::move(payload)};
}

Result<AnswerInfo> ReadAnswer(const Encapsulated& packet) {
  BOOST_OUTCOME_TRY(segment,
                    ParseFlowSegment(packet.flow, packet.payload, true));
  AnswerInfo info;
  info.flow = packet.flow;
  // A SYN/ACK acknowledges the caller's initial sequence number plus one.
  if (segment.syn && segment.ack) {
    info.nonce = NonceFromInitialSequence(segment.acknowledgement - 1);
  }
  info.last = segment.fin;
  info.reset = segment.rst;
  return info;
}

// Builds a reset with the caller as its source. Its sequence number follows the
// latest segment that was passed on, since the upstream accepts no other (RFC
// 5961).
Result<Encapsulated> Cancel(const PacketInfo& original,
                            std::string_view original_payload) {
  BOOST_OUTCOME_TRY(segment,
                    ParseFlowSegment(original.flow, original_payload, false));
  TcpSegment reset = segment;
  reset.syn = false;
  reset.fin = false;
  reset.rst = true;
  reset.sequence = segment.sequence + segment.sequence_length;
  if (!segment.ack) reset.acknowledgement = 0;
  return BuildEmptySegment(original.flow, reset);
}

const Registration<IngressPlugin> ingress_registration("ip", {Read, Refuse});
const Registration<DeliveryPlugin> delivery_registration("ip",
                                                         {Encapsulate,
                                                          ReadAnswer, Cancel});

}  // namespace

}  // namespace cornelhill
