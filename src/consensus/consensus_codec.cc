#include "cornelhill/consensus/consensus_codec.h"

#include <utility>

#include "consensus.pb.h"
#include "cornelhill/wire/data_codec.h"
#include "wire/parse_message.h"

namespace cornelhill {

namespace {

Error Malformed(const std::string& what) {
  return Error{ErrorCode::kMalformed, what};
}

void ToProto(const Membership& in, pb::ConsensusMembership* out) {
  out->set_highest_id(in.highest_id.Value());
  for (const Member& member : in.members) {
    pb::ConsensusMember* added = out->add_members();
    added->set_id(member.id.Value());
    added->set_voter(member.voter);
    added->set_caught_up_index(member.caught_up_index);
    added->set_address(member.address);
  }
}

Result<Membership> FromProto(const pb::ConsensusMembership& in) {
  if (in.members_size() > static_cast<int>(kMaxMembers)) {
    return Malformed("membership has more than " + std::to_string(kMaxMembers) +
                     " members");
  }
  Membership out;
  out.highest_id = MemberId(in.highest_id());
  for (const pb::ConsensusMember& member : in.members()) {
    if (member.address().size() > kMaxMemberAddressBytes) {
      return Malformed("member address is too long");
    }
    const MemberId id(member.id());
    if (id == MemberId() || id > out.highest_id ||
        FindMember(out, id) != nullptr) {
      return Malformed("member ID is 0, repeated or above the highest ID");
    }
    out.members.push_back(
        {id, member.voter(), member.caught_up_index(), member.address()});
  }
  return out;
}

void ToProto(const SnapshotMeta& in, pb::ConsensusSnapshotMeta* out) {
  out->set_index(in.index);
  out->set_term(in.term.Value());
  ToProto(in.membership, out->mutable_membership());
  out->set_size(in.size);
  out->set_checksum(in.checksum);
}

Result<SnapshotMeta> FromProto(const pb::ConsensusSnapshotMeta& in) {
  SnapshotMeta out;
  out.index = in.index();
  out.term = Term(in.term());
  BOOST_OUTCOME_TRY(membership, FromProto(in.membership()));
  out.membership = std::move(membership);
  out.size = in.size();
  out.checksum = in.checksum();
  return out;
}

void ToProto(const VoteRequest& in, pb::ConsensusMessage* out) {
  auto* body = out->mutable_vote_request();
  body->set_pre_vote(in.pre_vote);
  body->set_last_index(in.last_index);
  body->set_last_term(in.last_term.Value());
  body->set_required_index(in.required_index);
}

void ToProto(const VoteReply& in, pb::ConsensusMessage* out) {
  auto* body = out->mutable_vote_reply();
  body->set_pre_vote(in.pre_vote);
  body->set_granted(in.granted);
}

void ToProto(const Append& in, pb::ConsensusMessage* out) {
  auto* body = out->mutable_append();
  body->set_previous_index(in.previous_index);
  body->set_previous_term(in.previous_term.Value());
  body->set_commit_index(in.commit_index);
  body->set_round(in.round);
  body->set_required_index(in.required_index);
  for (const LogEntry& entry : in.entries) {
    auto* added = body->add_entries();
    added->set_index(entry.index);
    added->set_term(entry.term.Value());
    added->set_kind(static_cast<uint32_t>(entry.kind));
    added->set_data(entry.data);
  }
}

Result<Append> FromProto(pb::ConsensusAppend* in) {
  if (in->entries_size() > static_cast<int>(kMaxEntriesPerAppend)) {
    return Malformed("append has more than " +
                     std::to_string(kMaxEntriesPerAppend) + " entries");
  }
  Append out;
  out.previous_index = in->previous_index();
  out.previous_term = Term(in->previous_term());
  out.commit_index = in->commit_index();
  out.round = in->round();
  out.required_index = in->required_index();
  out.entries.reserve(static_cast<size_t>(in->entries_size()));
  LogIndex expected = out.previous_index;
  Term previous_term = out.previous_term;
  for (pb::ConsensusEntry& entry : *in->mutable_entries()) {
    ++expected;
    if (entry.index() != expected || expected == 0) {
      return Malformed("entries of an append are not contiguous");
    }
    if (Term(entry.term()) < previous_term) {
      return Malformed("terms of an append decrease");
    }
    if (entry.kind() >= kEntryKindCount) {
      return Malformed("entry has an unknown kind");
    }
    if (entry.data().size() > kMaxLogCommandBytes) {
      return Malformed("entry is larger than " +
                       std::to_string(kMaxLogCommandBytes) + " bytes");
    }
    previous_term = Term(entry.term());
    LogEntry added{entry.index(), previous_term,
                   static_cast<EntryKind>(entry.kind()),
                   std::move(*entry.mutable_data())};
    if (added.kind == EntryKind::kMembership) {
      BOOST_OUTCOME_TRY(DecodeMembership(added.data));
    }
    out.entries.push_back(std::move(added));
  }
  return out;
}

void ToProto(const AppendReply& in, pb::ConsensusMessage* out) {
  auto* body = out->mutable_append_reply();
  body->set_matched(in.matched);
  body->set_previous_index(in.previous_index);
  body->set_synced_index(in.synced_index);
  body->set_hint_index(in.hint_index);
  body->set_round(in.round);
}

void ToProto(const SnapshotChunk& in, pb::ConsensusMessage* out) {
  auto* body = out->mutable_snapshot_chunk();
  ToProto(in.meta, body->mutable_meta());
  body->set_offset(in.offset);
  body->set_data(in.data);
  body->set_required_index(in.required_index);
}

void ToProto(const SnapshotReply& in, pb::ConsensusMessage* out) {
  auto* body = out->mutable_snapshot_reply();
  body->set_index(in.index);
  body->set_next_offset(in.next_offset);
}

}  // namespace

std::string Encode(const ConsensusMessage& message) {
  pb::ConsensusMessage out;
  out.set_version(kProtocolVersion);
  out.set_from(message.from.Value());
  out.set_to(message.to.Value());
  out.set_term(message.term.Value());
  std::visit([&out](const auto& body) { ToProto(body, &out); }, message.body);
  return out.SerializeAsString();
}

std::string Encode(const Membership& membership) {
  pb::ConsensusMembership out;
  ToProto(membership, &out);
  return out.SerializeAsString();
}

std::string Encode(const SnapshotMeta& meta) {
  pb::ConsensusSnapshotMeta out;
  ToProto(meta, &out);
  return out.SerializeAsString();
}

Result<ConsensusMessage> DecodeConsensusMessage(std::string_view bytes) {
  pb::ConsensusMessage in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxConsensusMessageBytes, kProtocolVersion, &in));
  ConsensusMessage out;
  out.from = MemberId(in.from());
  out.to = MemberId(in.to());
  out.term = Term(in.term());
  switch (in.body_case()) {
    case pb::ConsensusMessage::kVoteRequest: {
      const auto& body = in.vote_request();
      out.body = VoteRequest{body.pre_vote(), body.last_index(),
                             Term(body.last_term()), body.required_index()};
      return out;
    }
    case pb::ConsensusMessage::kVoteReply:
      out.body =
          VoteReply{in.vote_reply().pre_vote(), in.vote_reply().granted()};
      return out;
    case pb::ConsensusMessage::kAppend: {
      BOOST_OUTCOME_TRY(append, FromProto(in.mutable_append()));
      out.body = std::move(append);
      return out;
    }
    case pb::ConsensusMessage::kAppendReply: {
      const auto& body = in.append_reply();
      out.body =
          AppendReply{body.matched(), body.previous_index(),
                      body.synced_index(), body.hint_index(), body.round()};
      return out;
    }
    case pb::ConsensusMessage::kSnapshotChunk: {
      auto* body = in.mutable_snapshot_chunk();
      BOOST_OUTCOME_TRY(meta, FromProto(body->meta()));
      out.body = SnapshotChunk{std::move(meta), body->offset(),
                               std::move(*body->mutable_data()),
                               body->required_index()};
      return out;
    }
    case pb::ConsensusMessage::kSnapshotReply:
      out.body = SnapshotReply{in.snapshot_reply().index(),
                               in.snapshot_reply().next_offset()};
      return out;
    case pb::ConsensusMessage::BODY_NOT_SET:
      break;
  }
  return Malformed("message has no known body");
}

Result<Membership> DecodeMembership(std::string_view bytes) {
  pb::ConsensusMembership in;
  BOOST_OUTCOME_TRY(ParseMessage(bytes, kMaxConsensusMessageBytes, &in));
  return FromProto(in);
}

Result<SnapshotMeta> DecodeSnapshotMeta(std::string_view bytes) {
  pb::ConsensusSnapshotMeta in;
  BOOST_OUTCOME_TRY(ParseMessage(bytes, kMaxConsensusMessageBytes, &in));
  return FromProto(in);
}

}  // namespace cornelhill
