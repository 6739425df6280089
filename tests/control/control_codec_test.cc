#include "cornelhill/control/control_codec.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/wire/data_codec.h"

namespace cornelhill {
namespace {

Announcement SampleAnnouncement() {
  return {InstanceId(9),
          Incarnation(4),
          "aula-app",
          {0x7f000101, 7000},
          FailureDomainId(2),
          2,
          90,
          11};
}

Declaration SampleDeclaration() {
  ServiceDeclaration service;
  service.name = "aula";
  service.address = {0x7f000a01, 80};
  service.protocol = Protocol::kTcp;
  service.application = "aula-app";
  service.rules = {Millis(1), 2, 3, 4, Millis(5), Millis(6), 7, 8, 9, 10};
  return {{service}};
}

std::vector<ControlMessage> SampleMessages() {
  const EffectReport report{7, Revision(3), {{InstanceId(1), Revision(3)}}};
  SpreadDigest digest{
      InstanceId(1), 2, 3, Revision(4), 5, 6, true, {false, {"a", "b"}, {"c"}},
      report};
  SpreadUpdate update{
      InstanceId(1), 2, SpreadStatus::kNeedSubscription, 3, Millis(4), 5, {}};
  ServiceChange change;
  change.id = ServiceId(1);
  change.incarnation = Incarnation(2);
  change.revision = Revision(3);
  change.whole = true;
  change.has_header = true;
  change.header = {Revision(2),      "aula",
                   {0x7f000a01, 80}, SampleDeclaration().services[0].rules,
                   "aula-app",       {{InstanceId(5), Incarnation(6)}},
                   Revision(1)};
  change.upstreams = {{{InstanceId(9),
                        Incarnation(4),
                        {0x7f000101, 7000},
                        FailureDomainId(2),
                        2,
                        90,
                        true},
                       Revision(3)}};
  change.removals = {{InstanceId(8), Revision(2)}};
  update.update = {Revision(1), Revision(3), true, {change}, 77};
  OperatorRequest request{"r1",   "ana",         OperatorRequestKind::kApply,
                          "aula", InstanceId(9), 5,
                          6,      Revision(7),   SampleDeclaration()};
  OperatorResponse response;
  response.request_id = "r1";
  response.outcome = OperatorOutcome::kConflict;
  response.message = "lost";
  response.term = 2;
  response.revision = Revision(3);
  response.lost_to = {Revision(3), "bob", "r0"};
  response.leader = {0x7f000001, 9};
  response.declaration_revision = Revision(3);
  response.declaration = SampleDeclaration();
  response.services = {{ServiceId(1),
                        Incarnation(2),
                        Revision(3),
                        "aula",
                        {0x7f000a01, 80},
                        "aula-app",
                        7,
                        1,
                        14}};
  response.upstreams = {change.upstreams[0].upstream};
  response.history = {{{Revision(3), "bob", "r0"}, "declaration"}};
  response.members = {{InstanceId(1), {0x7f000001, 9}, true, true}};
  response.report = report;
  return {SampleAnnouncement(),
          Renewal{InstanceId(1), Incarnation(2), 3, true},
          RenewalAck{InstanceId(1), Incarnation(2), 3, RenewalStatus::kRefused,
                     Incarnation(8)},
          DomainSummary{FailureDomainId(1),
                        InstanceId(2),
                        3,
                        4,
                        5,
                        6,
                        {{0, false, SampleAnnouncement()}, {1, true, {}}},
                        "\x03"},
          SummaryAck{FailureDomainId(1),
                     InstanceId(2),
                     3,
                     4,
                     5,
                     6,
                     {{InstanceId(9), Incarnation(4), Incarnation(5)}}},
          LossReport{InstanceId(1), InstanceId(2), Incarnation(3)},
          digest,
          update,
          request,
          response};
}

// Guards against a field that is encoded but not decoded.
Test(control_codec, messages_round_trip) {
  for (const ControlMessage& message : SampleMessages()) {
    const Result<ControlMessage> read = DecodeControlMessage(Encode(message));
    cr_assert(read.has_value());
    cr_assert(read.value() == message, "message %zu", message.index());
  }
}

Test(control_codec, commands_round_trip) {
  for (const Command& command :
       {Command{"r", "ana", PutDeclaration{Revision(2), SampleDeclaration()}},
        Command{"r", "", UpstreamJoin{SampleAnnouncement()}},
        Command{"r", "", UpstreamLeave{InstanceId(1), Incarnation(2)}},
        Command{"r", "ana", UpstreamDrain{InstanceId(1), true}},
        Command{"r", "ana", UpstreamWeight{InstanceId(1), 30}}}) {
    const Result<Command> read = DecodeCommand(Encode(command));
    cr_assert(read.has_value());
    cr_assert(read.value() == command);
  }
}

// Guards against a crash or an out-of-bounds read on malicious input.
Test(control_codec, decoders_survive_random_and_mutated_bytes) {
  constexpr uint64_t kSeed = 20261204;
  Random random(kSeed);
  std::vector<std::string> valid;
  for (const ControlMessage& message : SampleMessages()) {
    valid.push_back(Encode(message));
  }
  for (int round = 0; round < 5000; ++round) {
    std::string bytes = valid[random.Below(valid.size())];
    const uint64_t changes = 1 + random.Below(4);
    for (uint64_t i = 0; i < changes; ++i) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    if (random.Chance(0.3)) bytes.resize(random.Below(bytes.size()));
    (void)DecodeControlMessage(bytes);
    (void)DecodeCommand(bytes);
  }
}

// Guards against decoders that accept a message of another protocol version,
// one above the size limit, or one with an overlong name.
Test(control_codec, rejects_other_versions_and_oversized_messages) {
  cr_assert(DecodeControlMessage("").error().code ==
            ErrorCode::kUnsupportedVersion);
  cr_assert(DecodeCommand("").error().code == ErrorCode::kUnsupportedVersion);
  const std::string large(kMaxControlMessageBytes + 1, 'x');
  cr_assert(DecodeControlMessage(large).error().code == ErrorCode::kTooLarge);
  cr_assert(DecodeCommand(large).error().code == ErrorCode::kTooLarge);
  Announcement long_name = SampleAnnouncement();
  long_name.application = std::string(kMaxNameBytes + 1, 'x');
  cr_assert(
      DecodeControlMessage(Encode(ControlMessage(long_name))).error().code ==
      ErrorCode::kMalformed);
}

}  // namespace
}  // namespace cornelhill
