#include <criterion/criterion.h>

#include "cornelhill/base/random.h"
#include "cornelhill/consensus/consensus_codec.h"
#include "cornelhill/consensus/replica.h"

namespace cornelhill {
namespace {

Membership SampleMembership() {
  return {{{MemberId(1), true, 1, "127.0.0.1:7000"},
           {MemberId(2), true, 5, "127.0.0.2:7000"},
           {MemberId(9), false, 0, ""}},
          MemberId(9)};
}

std::vector<ConsensusMessage> SampleMessages() {
  const MemberId from(2);
  const MemberId to(1);
  const Term term(7);
  const SnapshotMeta meta{12, Term(6), SampleMembership(), 300, 0x1234};
  Append append{1, Term(1), 3, 8, 0, {}};
  append.entries = {
      {2, Term(6), EntryKind::kCommand, "command"},
      {3, Term(7), EntryKind::kMembership, Encode(SampleMembership())},
      {4, Term(7), EntryKind::kNoop, ""}};
  return {{from, to, term, VoteRequest{true, 12, Term(6), 1}},
          {from, to, term, VoteReply{true, true}},
          {from, to, term, append},
          {from, to, term, AppendReply{true, 9, 11, 4, 8}},
          {from, to, term, SnapshotChunk{meta, 64, "data", 1}},
          {from, to, term, SnapshotReply{12, 68}}};
}

// Guards against a field that is encoded but not decoded.
Test(consensus_codec, messages_read_back) {
  for (const ConsensusMessage& message : SampleMessages()) {
    const auto read = DecodeConsensusMessage(Encode(message));
    cr_assert(read.has_value());
    cr_assert(read.value() == message);
  }
  const SnapshotMeta meta{12, Term(6), SampleMembership(), 300, 0x1234};
  cr_assert(DecodeSnapshotMeta(Encode(meta)).value() == meta);
}

// Guards against accepting entries, members or messages beyond the limits, and
// gaps between entries.
Test(consensus_codec, rejects_messages_beyond_limits) {
  cr_assert(
      DecodeConsensusMessage(std::string(kMaxConsensusMessageBytes + 1, 'x'))
          .error()
          .code == ErrorCode::kTooLarge);
  cr_assert(DecodeConsensusMessage("").error().code ==
            ErrorCode::kUnsupportedVersion);
  ConsensusMessage message = SampleMessages()[2];
  auto& append = std::get<Append>(message.body);
  const auto refused = [&message] {
    const auto read = DecodeConsensusMessage(Encode(message));
    return read.has_error() && read.error().code == ErrorCode::kMalformed;
  };
  append.entries[1].index = 9;
  cr_assert(refused());
  append.entries = {{2, Term(6), EntryKind::kCommand,
                     std::string(kMaxLogCommandBytes + 1, 'x')}};
  cr_assert(refused());
  append.entries = {{2, Term(0), EntryKind::kCommand, ""}};
  cr_assert(refused());
  append.entries = {{2, Term(6), EntryKind::kMembership, "\xff"}};
  cr_assert(refused());
  Membership membership;
  membership.highest_id = MemberId(kMaxMembers + 1);
  for (uint64_t id = 1; id <= kMaxMembers + 1; ++id) {
    membership.members.push_back({MemberId(id), true, 0, ""});
  }
  cr_assert(DecodeMembership(Encode(membership)).has_error());
}

// Guards against crashes and out-of-bounds reads on malicious input, in the
// decoder or in a replica that processes a decoded message. CI runs it under
// the sanitizers.
Test(consensus_codec, handles_random_and_mutated_bytes) {
  constexpr uint64_t kSeed = 20261204;
  Random random(kSeed);
  const std::vector<ConsensusMessage> samples = SampleMessages();
  std::vector<std::string> valid;
  for (const auto& sample : samples) valid.push_back(Encode(sample));
  StoredState state;
  state.self = MemberId(1);
  state.hard_state.term = Term(1);
  state.entries = {
      {1, Term(1), EntryKind::kMembership, Encode(SampleMembership())}};
  std::optional<Replica> replica;
  size_t decoded = 0;
  for (int round = 0; round < 30000; ++round) {
    const Millis now(round);
    if (round % 100 == 0) {
      replica.emplace(Replica::Start({}, state, kSeed, now).value());
    }
    std::string bytes = valid[random.Below(valid.size())];
    if (round % 3 == 0) {
      bytes.resize(random.Below(200));
      for (char& c : bytes) c = static_cast<char>(random.Next());
    } else {
      for (uint64_t i = random.Below(4); i > 0; --i) {
        bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
      }
      if (random.Chance(0.1)) bytes.resize(random.Below(bytes.size()));
    }
    (void)DecodeMembership(bytes);
    (void)DecodeSnapshotMeta(bytes);
    auto message = DecodeConsensusMessage(bytes);
    if (message.has_error()) continue;
    ++decoded;
    replica->Step(now, std::move(message.value()));
    const ReplicaOutput output = replica->TakeOutput(now);
    if (output.persist) replica->Persisted(now, output.persist->ticket);
  }
  cr_assert(decoded > 1000);
}

}  // namespace
}  // namespace cornelhill
