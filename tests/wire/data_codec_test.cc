#include "cornelhill/wire/data_codec.h"

#include <criterion/criterion.h>

#include "cornelhill/base/random.h"

namespace cornelhill {
namespace {

Forward SampleForward() {
  Forward forward;
  forward.service = {ServiceId(7), Incarnation(2), Revision(19)};
  forward.packet.flow = {
      {0x7f000001, 40000}, {0x7f000a01, 7001}, Protocol::kUdp};
  forward.packet.nonce = FlowNonce(0x1122334455667788);
  forward.packet.request = RequestNumber(3);
  forward.packet.first = true;
  forward.packet.deadline = Millis(250);
  forward.balancer = {0x7f000101, 6000};
  forward.hops = 2;
  forward.route = ForwardRoute::kOffer;
  forward.load_milli = 1500;
  forward.target_incarnation = Incarnation(4);
  forward.packet.resent = true;
  forward.class_hint = ClassHint::kLong;
  forward.sender = InstanceId(12);
  forward.sender_incarnation = Incarnation(3);
  forward.payload = "payload";
  return forward;
}

// Guards against a field that is encoded but not decoded.
Test(data_codec, messages_round_trip) {
  Return answer;
  answer.flow = SampleForward().packet.flow;
  answer.refused = true;
  answer.refusal = {Verdict::kNotRun, Reason::kOverload, Millis(40)};
  OwnerHint hint{answer.flow, FlowNonce(5), ServiceId(7), InstanceId(9),
                 Endpoint{0x7f000201, 6100}};
  OwnerReport report{answer.flow, FlowNonce(5), ServiceId(7), true,
                     Incarnation(3)};
  DirectoryQuery query;
  query.service = SampleForward().service;
  query.requester = InstanceId(3);
  query.requester_incarnation = Incarnation(8);
  query.buckets.set(0).set(77).set(255);
  DirectoryReply reply;
  reply.service = query.service;
  reply.responder = InstanceId(4);
  reply.page = 1;
  reply.page_count = 3;
  reply.entries.push_back({answer.flow, FlowNonce(5), InstanceId(9), true});
  for (const DataMessage& message :
       {DataMessage(SampleForward()), DataMessage(answer), DataMessage(hint),
        DataMessage(report), DataMessage(query), DataMessage(reply)}) {
    const Result<DataMessage> read = DecodeDataMessage(Encode(message));
    cr_assert(read.has_value());
    cr_assert(read.value() == message);
  }
}

// Guards against a crash or an out-of-bounds read on untrusted input: each
// decoder gets random bytes and mutated messages. CI runs this test under the
// sanitizers.
Test(data_codec, decoders_handle_random_and_mutated_bytes) {
  constexpr uint64_t kSeed = 20261204;
  Random random(kSeed);
  const std::string valid = Encode(DataMessage(SampleForward()));
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = valid;
    if (round % 2 == 0) {
      bytes.resize(random.Below(200));
      for (char& c : bytes) c = static_cast<char>(random.Next());
    } else {
      const uint64_t changes = 1 + random.Below(4);
      for (uint64_t i = 0; i < changes; ++i) {
        bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
      }
      if (random.Chance(0.3)) bytes.resize(random.Below(bytes.size()));
    }
    (void)DecodeDataMessage(bytes);
    (void)DecodeEncapsulated(bytes);
    (void)DecodeCallerDatagram(bytes);
  }
}

// Guards against accepting a message of another protocol version or above the
// size limit.
Test(data_codec, rejects_other_versions_and_oversized_messages) {
  const std::string empty;
  const auto no_version = DecodeDataMessage(empty);
  cr_assert(no_version.has_error());
  cr_assert(no_version.error().code == ErrorCode::kUnsupportedVersion);
  const auto large = DecodeDataMessage(std::string(kMaxDatagramBytes + 1, 'x'));
  cr_assert(large.has_error());
  cr_assert(large.error().code == ErrorCode::kTooLarge);
}

}  // namespace
}  // namespace cornelhill
