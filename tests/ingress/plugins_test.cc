#include <criterion/criterion.h>
#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/ingress/ingress.h"
#include "cornelhill/wire/data_codec.h"

namespace cornelhill {
namespace {

constexpr Endpoint kCaller{0x0a000005, 40001};
constexpr Endpoint kService{0x0a00ff01, 443};
constexpr FlowKey kTcpFlow{kCaller, kService, Protocol::kTcp};
constexpr FlowKey kUdpFlow{kCaller, kService, Protocol::kUdp};

const IngressPlugin& Ingress(const std::string& name) {
  const IngressPlugin* plugin = IngressRegistry::Global().Find(name);
  cr_assert_not_null(plugin);
  return *plugin;
}

const DeliveryPlugin& Delivery(const std::string& name) {
  const DeliveryPlugin* plugin = DeliveryRegistry::Global().Find(name);
  cr_assert_not_null(plugin);
  return *plugin;
}

// Passes a packet through the tunnel's encoding.
Encapsulated EncodeAndDecode(const Encapsulated& packet) {
  return DecodeEncapsulated(Encode(packet)).value();
}

std::string Serialize(Tins::IP* ip) {
  const std::vector<uint8_t> bytes = ip->serialize();
  return {bytes.begin(), bytes.end()};
}

Tins::IP IpHeader(bool from_service) {
  const Tins::IPv4Address caller("10.0.0.5");
  const Tins::IPv4Address service("10.0.255.1");
  return from_service ? Tins::IP(caller, service) : Tins::IP(service, caller);
}

Tins::IP ParseIp(const std::string& bytes) {
  return {reinterpret_cast<const uint8_t*>(bytes.data()),
          static_cast<uint32_t>(bytes.size())};
}

std::string TcpPacket(bool from_service, int flags, uint32_t sequence,
                      uint32_t acknowledgement, const std::string& data = "") {
  Tins::TCP tcp = from_service ? Tins::TCP(kCaller.port, kService.port)
                               : Tins::TCP(kService.port, kCaller.port);
  tcp.flags(flags);
  tcp.seq(sequence);
  tcp.ack_seq(acknowledgement);
  tcp.mss(1460);
  Tins::IP ip = IpHeader(from_service) / tcp;
  if (!data.empty()) ip = ip / Tins::RawPDU(data);
  return Serialize(&ip);
}

constexpr int kSyn = Tins::TCP::SYN;
constexpr int kAck = Tins::TCP::ACK;
constexpr int kFin = Tins::TCP::FIN;
constexpr int kRst = Tins::TCP::RST;

// Guards against packets whose flow key, nonce or `first`, `last` and `reset`
// flags are parsed wrongly in either direction, and against a packet that is
// modified on its way to the upstream.
Test(ip_plugin, tcp_flow_keeps_key_and_nonce_in_both_directions) {
  struct Step {
    bool from_service;
    std::string bytes;
    FlowNonce nonce;
    bool first, last;
  };
  const FlowNonce nonce(uint64_t{1} << 32 | 1000);
  const FlowNonce no_nonce;
  for (const Step& step : {
           Step{false, TcpPacket(false, kSyn, 1000, 0), nonce, true, false},
           Step{true, TcpPacket(true, kSyn | kAck, 7000, 1001), nonce, false,
                false},
           Step{false, TcpPacket(false, kAck, 1001, 7001), no_nonce, false,
                false},
           Step{false, TcpPacket(false, kAck, 1001, 7001, "odd"), no_nonce,
                false, false},
           Step{true, TcpPacket(true, kAck, 7001, 1004, "even"), no_nonce,
                false, false},
           Step{true, TcpPacket(true, kFin | kAck, 7005, 1004), no_nonce, false,
                true},
           Step{false, TcpPacket(false, kFin | kAck, 1004, 7006), no_nonce,
                false, true},
       }) {
    const Encapsulated packet = EncodeAndDecode({kTcpFlow, step.bytes});
    if (step.from_service) {
      const Result<AnswerInfo> answer = Delivery("ip").read_answer(packet);
      cr_assert(answer.has_value());
      const AnswerInfo expected{
          .flow = kTcpFlow, .nonce = step.nonce, .last = step.last};
      cr_assert(answer.value() == expected);
      continue;
    }
    const Result<PacketInfo> read = Ingress("ip").read(packet);
    cr_assert(read.has_value());
    const PacketInfo expected{.flow = kTcpFlow,
                              .nonce = step.nonce,
                              .first = step.first,
                              .last = step.last};
    cr_assert(read.value() == expected);
    const Encapsulated encapsulated =
        Delivery("ip").encapsulate(read.value(), packet.payload).value();
    cr_assert(EncodeAndDecode(encapsulated) == packet);
  }
  cr_assert(Ingress("ip")
                .read({kTcpFlow, TcpPacket(false, kRst, 1004, 0)})
                .value()
                .reset);
  cr_assert(Delivery("ip")
                .read_answer({kTcpFlow, TcpPacket(true, kRst, 7005, 0)})
                .value()
                .reset);
}

// Guards against two successive flows with the same key being treated as one,
// and against an initial sequence number of zero yielding the nonce zero.
Test(ip_plugin, nonce_depends_on_initial_sequence_number) {
  const auto read = [](uint32_t sequence) {
    return Ingress("ip")
        .read({kTcpFlow, TcpPacket(false, kSyn, sequence, 0)})
        .value()
        .nonce;
  };
  cr_assert(read(0) != FlowNonce());
  cr_assert(read(0) != read(1));
  cr_assert(read(1) == read(1));
}

// Guards against a refusal that the caller's TCP stack ignores: it accepts a
// reset in response to a SYN only if the reset acknowledges the SYN and comes
// from the service's address.
Test(ip_plugin, refusal_of_a_syn_is_an_acceptable_reset) {
  // The SYN carries data, as with TCP Fast Open, and its sequence number wraps
  // around.
  const std::string syn = TcpPacket(false, kSyn, 0xfffffffe, 0, "abc");
  const PacketInfo original = Ingress("ip").read({kTcpFlow, syn}).value();
  const Refusal refusal{Verdict::kNotRun, Reason::kOverload, Millis(40)};
  const Encapsulated packet =
      EncodeAndDecode(Ingress("ip").refuse(original, refusal, syn).value());
  cr_assert(packet.flow == kTcpFlow);
  const Result<AnswerInfo> read = Delivery("ip").read_answer(packet);
  cr_assert(read.has_value(), "the reset has a wrong checksum or address");
  cr_assert(read.value().reset);
  const Tins::IP ip = ParseIp(packet.payload);
  const auto& tcp = ip.rfind_pdu<Tins::TCP>();
  cr_assert_eq(tcp.flags(), kRst | kAck);
  cr_assert_eq(tcp.seq(), 0);
  cr_assert_eq(tcp.ack_seq(), 2);

  // A segment with ACK is answered with the sequence number that its sender
  // expects next. A reset is not answered, since two sides could otherwise
  // exchange resets indefinitely.
  const std::string data = TcpPacket(false, kAck, 1001, 7001, "abc");
  const Encapsulated ack_reset =
      Ingress("ip").refuse(original, refusal, data).value();
  const Tins::IP ack_reset_ip = ParseIp(ack_reset.payload);
  cr_assert_eq(ack_reset_ip.rfind_pdu<Tins::TCP>().flags(), kRst);
  cr_assert_eq(ack_reset_ip.rfind_pdu<Tins::TCP>().seq(), 7001);
  cr_assert(Ingress("ip")
                .refuse(original, refusal, TcpPacket(false, kRst, 1, 0))
                .has_error());
}

// Guards against a cancellation that the upstream's TCP stack ignores: it
// accepts a reset only with the sequence number that it expects next.
Test(ip_plugin, cancel_resets_at_the_next_sequence_number) {
  const std::string data = TcpPacket(false, kAck, 1001, 7001, "abc");
  const PacketInfo original = Ingress("ip").read({kTcpFlow, data}).value();
  const Encapsulated packet =
      EncodeAndDecode(Delivery("ip").cancel(original, data).value());
  cr_assert(Ingress("ip").read(packet).value().reset);
  const Tins::IP ip = ParseIp(packet.payload);
  cr_assert_eq(ip.rfind_pdu<Tins::TCP>().seq(), 1004);
}

// Guards against accepting a packet that the upstream would parse differently
// or reject, or that belongs to another flow or service.
Test(ip_plugin, rejects_packets_that_are_not_one_whole_segment_of_the_flow) {
  const std::string valid = TcpPacket(false, kAck, 1001, 7001, "payload");
  struct Case {
    const char* description;
    std::string bytes;
  };
  std::vector<Case> cases = {{"empty", ""},
                             {"truncated", valid.substr(0, valid.size() - 1)},
                             {"header only", valid.substr(0, 20)},
                             {"trailing byte", valid + "x"}};
  const auto add_corrupted = [&](const char* description, size_t at,
                                 char value) {
    Case result{description, valid};
    result.bytes[at] = value;
    cases.push_back(result);
  };
  add_corrupted("IP header length below 5", 0, 0x44);
  add_corrupted("IP header length beyond the packet", 0, 0x4f);
  add_corrupted("IP version 6", 0, 0x65);
  add_corrupted("IP checksum", 10, static_cast<char>(valid[10] ^ 1));
  add_corrupted("TCP checksum", 36, static_cast<char>(valid[36] ^ 1));
  add_corrupted("TCP data", valid.size() - 1, '!');
  add_corrupted("TCP header length below 5", 32, 0x40);
  add_corrupted("TCP header length beyond the packet", 32,
                static_cast<char>(0xf0));
  const auto add_built = [&](const char* description, Tins::IP ip) {
    cases.push_back({description, Serialize(&ip)});
  };
  const Tins::TCP ack = [] {
    Tins::TCP tcp(kService.port, kCaller.port);
    tcp.flags(kAck);
    return tcp;
  }();
  Tins::IP fragment = IpHeader(false) / ack;
  fragment.flags(Tins::IP::MORE_FRAGMENTS);
  add_built("first fragment", fragment);
  fragment.flags(Tins::IP::FLAG_RESERVED);
  fragment.fragment_offset(8);
  add_built("later fragment", fragment);
  add_built("UDP", IpHeader(false) / Tins::UDP(kService.port, kCaller.port));
  add_built("ICMP", IpHeader(false) / Tins::ICMP());
  add_built("TCP in an IP tunnel", IpHeader(false) / IpHeader(false) / ack);
  cases.push_back({"SYN and FIN", TcpPacket(false, kSyn | kFin, 1, 0)});
  cases.push_back({"SYN and RST", TcpPacket(false, kSyn | kRst, 1, 0)});
  cases.push_back({"no flag", TcpPacket(false, 0, 1, 0)});
  cases.push_back({"other direction", TcpPacket(true, kAck, 1, 0)});
  cr_assert(Ingress("ip").read({kTcpFlow, valid}).has_value());
  for (const Case& c : cases) {
    cr_assert(Ingress("ip").read({kTcpFlow, c.bytes}).has_error(),
              "%s was accepted", c.description);
  }
  FlowKey other = kTcpFlow;
  other.service.address += 1;
  cr_assert(Ingress("ip").read({other, valid}).has_error());
  cr_assert(Ingress("ip").read({kUdpFlow, valid}).has_error());
  cr_assert(Delivery("ip").read_answer({kTcpFlow, valid}).has_error());
}

// Guards against a header field that the plug-in loses, and against a datagram
// that is modified on its way to the upstream.
Test(udp_plugin, request_answer_and_refusal_round_trip) {
  CallerDatagram datagram;
  datagram.nonce = FlowNonce(77);
  datagram.request = RequestNumber(3);
  datagram.first = true;
  datagram.last = true;
  datagram.repeatable = true;
  datagram.cancel = true;
  datagram.deadline = Millis(250);
  datagram.payload = "answer 4";
  const Encapsulated packet = EncodeAndDecode({kUdpFlow, Encode(datagram)});
  const PacketInfo info = Ingress("udp").read(packet).value();
  const PacketInfo expected{.flow = kUdpFlow,
                            .nonce = FlowNonce(77),
                            .request = RequestNumber(3),
                            .first = true,
                            .last = true,
                            .repeatable = true,
                            .cancel = true,
                            .deadline = Millis(250)};
  cr_assert(info == expected);
  cr_assert(Delivery("udp").encapsulate(info, packet.payload).value() ==
            packet);

  const AnswerInfo answer = Delivery("udp").read_answer(packet).value();
  const AnswerInfo expected_answer{.flow = kUdpFlow,
                                   .nonce = FlowNonce(77),
                                   .request = RequestNumber(3),
                                   .last = true};
  cr_assert(answer == expected_answer);

  const Refusal refusal{Verdict::kNotRun, Reason::kDeadline, Millis(40)};
  const Encapsulated refused =
      EncodeAndDecode(Ingress("udp").refuse(info, refusal, "").value());
  const CallerDatagram read = DecodeCallerDatagram(refused.payload).value();
  cr_assert(read.refused && read.refusal == refusal);
  cr_assert(read.nonce == info.nonce && read.request == info.request);
  // A refusal is valid from an upstream but not from a caller.
  cr_assert(Delivery("udp").read_answer(refused).value().refusal == refusal);
  cr_assert(Ingress("udp").read(refused).has_error());

  const Encapsulated cancelled = Delivery("udp").cancel(info, "").value();
  cr_assert(Ingress("udp").read(cancelled).value().cancel);

  datagram.nonce = FlowNonce();
  cr_assert(Ingress("udp").read({kUdpFlow, Encode(datagram)}).has_error());
  cr_assert(Ingress("udp").read({kTcpFlow, packet.payload}).has_error());
}

void RecomputeChecksums(std::string* bytes) {
  try {
    Tins::IP ip = ParseIp(*bytes);
    *bytes = Serialize(&ip);
  } catch (const std::exception&) {
    // Input that libtins cannot parse is left unchanged.
  }
}

// Guards against a crash, an out-of-bounds read or an exception on malicious
// input. CI runs this test under the sanitizers.
Test(plugins, random_and_mutated_input_does_not_crash) {
  constexpr uint64_t kSeed = 20261204;
  cr_log_info("seed %llu", static_cast<unsigned long long>(kSeed));
  Random random(kSeed);
  CallerDatagram datagram;
  datagram.nonce = FlowNonce(5);
  datagram.payload = "payload";
  const std::vector<std::string> valid = {
      Encode(datagram), TcpPacket(false, kSyn, 1000, 0),
      TcpPacket(false, kAck, 1001, 7001, "payload"),
      TcpPacket(true, kFin | kAck, 7001, 1004)};
  const Refusal refusal{Verdict::kNotRun, Reason::kOverload, Millis(1)};
  for (int round = 0; round < 40000; ++round) {
    std::string bytes = valid[random.Below(valid.size())];
    if (round % 4 == 0) {
      bytes.resize(random.Below(120));
      for (char& c : bytes) c = static_cast<char>(random.Next());
    } else {
      const uint64_t changes = 1 + random.Below(4);
      for (uint64_t i = 0; i < changes; ++i) {
        bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
      }
      if (random.Chance(0.3)) bytes.resize(random.Below(bytes.size()));
    }
    // With correct checksums a mutated packet reaches the checks behind them.
    if (random.Chance(0.5)) RecomputeChecksums(&bytes);
    for (const char* name : {"udp", "ip"}) {
      for (const FlowKey& flow : {kTcpFlow, kUdpFlow}) {
        (void)Ingress(name).read({flow, bytes});
        (void)Delivery(name).read_answer({flow, bytes});
        (void)Ingress(name).refuse({.flow = flow}, refusal, bytes);
        (void)Delivery(name).cancel({.flow = flow}, bytes);
      }
    }
  }
}

// Guards against an upstream that runs a request twice because a copy of its
// first packet, forwarded as a continuation, still has the `first` flag set.
Test(udp_plugin, continuation_is_not_marked_as_first) {
  CallerDatagram datagram;
  datagram.nonce = FlowNonce(7);
  datagram.request = RequestNumber(1);
  datagram.first = true;
  datagram.payload = "work";
  PacketInfo packet;
  packet.flow = kUdpFlow;
  const Result<Encapsulated> encapsulated =
      Delivery("udp").encapsulate(packet, Encode(datagram));
  cr_assert(encapsulated.has_value());
  const Result<CallerDatagram> read =
      DecodeCallerDatagram(encapsulated.value().payload);
  cr_assert(read.has_value());
  cr_assert_not(read.value().first);
  cr_assert_eq(read.value().payload, "work");
}

}  // namespace
}  // namespace cornelhill
