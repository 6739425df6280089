#include "cornelhill/segment/segment_messages.h"

#include <criterion/criterion.h>

#include "cornelhill/base/random.h"

namespace cornelhill {
namespace {

SegmentMessage MakeMessage() {
  SegmentMessage message;
  message.kind = SegmentMessageKind::kOfferRefused;
  message.datagram = std::string("\0packet", 7);
  message.service = ServiceKey(77);
  message.listener_version = 9;
  message.listener_shares = 123456789012345;
  message.tries = 2;
  message.refusal = OfferRefusal::kBusy;
  message.flow = {{1, 2}, {3, 4}};
  message.load_milli = 1500;
  message.open_flows = 40;
  message.agents = {{0x0a000201, 7081}, {0x0a000202, 7081}};
  message.silent_agent_count = 1;
  message.requester = {0x0a000101, 7081};
  message.state = UpstreamState::kDraining;
  message.timeout = Millis(2000);
  message.target_latency = Millis(250);
  message.priority = 3;
  return message;
}

NodeMessage MakeUpdate() {
  Update update;
  Listener listener;
  listener.address = {5, 6};
  listener.shares = {{ServiceKey(1), 2}, {ServiceKey(3), 4}};
  listener.work = WorkKind::kUpload;
  listener.timeout = Millis(500);
  listener.target_latency = Millis(120);
  listener.priority = 2;
  update.listeners = {3, 8, {{listener, 8, false}}};
  AgentRecord record;
  record.address = {7, 8};
  record.failure_domain = "a";
  record.slots = 2;
  record.age = Millis(33);
  update.agents.push_back(record);
  update.members = {"10.1.0.10:7720#a#1"};
  return update;
}

Test(segment_messages, read_back) {
  const SegmentMessage message = MakeMessage();
  cr_assert(DecodeSegmentMessage(Encode(message)).value() == message);
  const NodeMessage update = MakeUpdate();
  const NodeMessage read = DecodeNodeMessage(Encode(update)).value();
  const auto& in = std::get<Update>(update);
  const auto& out = std::get<Update>(read);
  cr_assert(in.listeners == out.listeners);
  cr_assert(in.agents == out.agents);
  cr_assert(in.members == out.members);
}

// Fails, under the sanitizers, if a decoder does not validate its input.
Test(segment_messages, mutated_bytes_are_refused_or_read) {
  const uint64_t seed = 20261204;
  Random random(seed);
  const std::string first = Encode(MakeMessage());
  const std::string second = Encode(MakeUpdate());
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = random.Chance(0.5) ? first : second;
    const uint64_t changes = 1 + random.Below(4);
    for (uint64_t j = 0; j < changes; ++j) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    if (random.Chance(0.3)) bytes.resize(random.Below(bytes.size() + 1));
    (void)DecodeSegmentMessage(bytes);
    (void)DecodeNodeMessage(bytes);
  }
}

Test(segment_messages, out_of_range_values_are_refused) {
  SegmentMessage message = MakeMessage();
  message.kind = static_cast<SegmentMessageKind>(99);
  cr_assert_not(DecodeSegmentMessage(Encode(message)).has_value());
  message = MakeMessage();
  message.state = static_cast<UpstreamState>(9);
  cr_assert_not(DecodeSegmentMessage(Encode(message)).has_value());
  message = MakeMessage();
  message.datagram.assign(5000, 'x');
  cr_assert_not(DecodeSegmentMessage(Encode(message)).has_value());
}

}  // namespace
}  // namespace cornelhill
