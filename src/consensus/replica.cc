#include "cornelhill/consensus/replica.h"

#include <algorithm>
#include <cassert>

#include "cornelhill/consensus/consensus_codec.h"

namespace cornelhill {

namespace {

Error NotLeader(MemberId leader) {
  return Error{ErrorCode::kUnavailable,
               leader == MemberId()
                   ? "this member is not the leader, and none is known"
                   : "this member is not the leader; the leader is member " +
                         std::to_string(leader.Value())};
}

Result<void> CheckSettings(const ReplicaSettings& settings) {
  if (settings.heartbeat.Count() < 1 ||
      settings.election_timeout < settings.heartbeat * 2) {
    return Error{ErrorCode::kInvalidArgument,
                 "election timeout of " +
                     std::to_string(settings.election_timeout.Count()) +
                     " ms must be at least twice the heartbeat of " +
                     std::to_string(settings.heartbeat.Count()) + " ms"};
  }
  // Leaves room for a command of maximum size and the other fields of a
  // message.
  constexpr size_t kMaxPayload = kMaxConsensusMessageBytes - (64 << 10);
  if (settings.max_append_bytes > kMaxPayload - kMaxLogCommandBytes ||
      settings.snapshot_chunk_bytes > kMaxPayload ||
      settings.snapshot_chunk_bytes == 0) {
    return Error{ErrorCode::kInvalidArgument,
                 "append or snapshot chunk size does not fit in a message of " +
                     std::to_string(kMaxConsensusMessageBytes) + " bytes"};
  }
  return boost::outcome_v2::success();
}

Result<void> CheckState(const StoredState& state) {
  if (state.self == MemberId()) {
    return Error{ErrorCode::kInvalidArgument, "member ID is 0"};
  }
  LogIndex expected = state.entries.empty() ? 0 : state.entries.front().index;
  if (expected > state.snapshot.index + 1) {
    return Error{ErrorCode::kCorrupt, "log starts at index " +
                                          std::to_string(expected) +
                                          " and the snapshot ends at " +
                                          std::to_string(state.snapshot.index)};
  }
  Term previous_term;
  for (const LogEntry& entry : state.entries) {
    if (entry.index != expected++ || entry.term < previous_term ||
        entry.term > state.hard_state.term) {
      return Error{ErrorCode::kCorrupt,
                   "log entry " + std::to_string(entry.index) +
                       " has an index or term out of order"};
    }
    previous_term = entry.term;
    if (entry.kind == EntryKind::kMembership) {
      BOOST_OUTCOME_TRY(DecodeMembership(entry.data));
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace

std::string_view ToString(ReplicaRole role) {
  switch (role) {
    case ReplicaRole::kFollower:
      return "follower";
    case ReplicaRole::kPreCandidate:
      return "pre_candidate";
    case ReplicaRole::kCandidate:
      return "candidate";
    case ReplicaRole::kLeader:
      return "leader";
  }
  return "unknown";
}

Result<Replica> Replica::Start(ReplicaSettings settings, StoredState state,
                               uint64_t seed, Millis now) {
  BOOST_OUTCOME_TRY(CheckSettings(settings));
  BOOST_OUTCOME_TRY(CheckState(state));
  return Replica(settings, std::move(state), seed, now);
}

Replica::Replica(ReplicaSettings settings, StoredState state, uint64_t seed,
                 Millis now)
    : settings(settings),
      self(state.self),
      random(seed),
      hard_state(state.hard_state),
      durable_state(state.hard_state),
      log(state.snapshot.index, state.snapshot.term),
      snapshot(std::move(state.snapshot)) {
  this->memberships.emplace_back(this->snapshot.index,
                                 this->snapshot.membership);
  for (LogEntry& entry : state.entries) {
    if (entry.index <= this->snapshot.index) continue;
    if (entry.kind == EntryKind::kMembership) {
      this->memberships.emplace_back(entry.index,
                                     DecodeMembership(entry.data).value());
    }
    this->log.Append(std::move(entry));
  }
  this->synced_index = this->log.LastIndex();
  this->commit_index = this->snapshot.index;
  this->applied_index = this->snapshot.index;
  this->ResetElectionTimer(now);
}

void Replica::ReportRole() {
  this->output.role_changes.push_back(
      {this->role, this->hard_state.term, this->leader});
}

void Replica::Tick(Millis now) {
  if (this->halted) return;
  if (this->role == ReplicaRole::kLeader) {
    if (!this->QuorumActive(now)) {
      this->BecomeFollower(now, this->hard_state.term, MemberId());
      return;
    }
    if (now >= this->next_heartbeat) {
      this->next_heartbeat = now + this->settings.heartbeat;
      this->heartbeat_due = true;
    }
    if (now >= this->next_commit_sample) {
      this->next_commit_sample = now + this->settings.election_timeout;
      this->older_commit = this->recent_commit;
      this->recent_commit = this->commit_index;
    }
    return;
  }
  if (now < this->election_deadline) return;
  if (this->installing || !IsVoter(this->CurrentMembership(), this->self)) {
    this->ResetElectionTimer(now);
    return;
  }
  this->BecomePreCandidate(now);
}

void Replica::Step(Millis now, ConsensusMessage message) {
  if (this->halted || message.to != this->self || message.from == this->self ||
      message.from == MemberId()) {
    return;
  }
  const auto* request = std::get_if<VoteRequest>(&message.body);
  const auto* vote = std::get_if<VoteReply>(&message.body);
  if (request != nullptr) {
    if (this->HaltIfLogLost(request->required_index)) return;
    // A removed or isolated member must not depose a healthy leader.
    if (message.term > this->hard_state.term && this->LeaderIsAlive(now)) {
      return;
    }
  }
  if (message.term > this->hard_state.term) {
    const bool pre_vote = (request != nullptr && request->pre_vote) ||
                          (vote != nullptr && vote->pre_vote && vote->granted);
    if (!pre_vote) {
      this->BecomeFollower(now, message.term, MemberId());
    }
  } else if (message.term < this->hard_state.term) {
    // Informs the sender that its term is outdated.
    if (request != nullptr) {
      this->Send(message.from, this->hard_state.term,
                 VoteReply{request->pre_vote, false});
    } else if (std::holds_alternative<Append>(message.body) ||
               std::holds_alternative<SnapshotChunk>(message.body)) {
      this->Reply(message.from, AppendReply{});
    }
    return;
  }
  struct Visitor {
    Replica* replica;
    Millis now;
    MemberId from;
    Term term;
    void operator()(const VoteRequest& body) const {
      this->replica->OnVoteRequest(this->now, this->from, this->term, body);
    }
    void operator()(const VoteReply& body) const {
      this->replica->OnVoteReply(this->now, this->from, this->term, body);
    }
    void operator()(Append& body) const {
      this->replica->OnAppend(this->now, this->from, std::move(body));
    }
    void operator()(const AppendReply& body) const {
      this->replica->OnAppendReply(this->now, this->from, body);
    }
    void operator()(const SnapshotChunk& body) const {
      this->replica->OnSnapshotChunk(this->now, this->from, body);
    }
    void operator()(const SnapshotReply& body) const {
      this->replica->OnSnapshotReply(this->now, this->from, body);
    }
  };
  std::visit(Visitor{this, now, message.from, message.term}, message.body);
}

Result<ProposalId> Replica::Propose(Millis /*now*/, std::string command) {
  if (this->halted || this->role != ReplicaRole::kLeader) {
    return NotLeader(this->leader);
  }
  if (command.size() > kMaxLogCommandBytes) {
    return Error{ErrorCode::kTooLarge, "command of " +
                                           std::to_string(command.size()) +
                                           " bytes is larger than " +
                                           std::to_string(kMaxLogCommandBytes)};
  }
  if (this->uncommitted_bytes + command.size() >
      this->settings.max_uncommitted_bytes) {
    return Error{ErrorCode::kUnavailable,
                 std::to_string(this->uncommitted_bytes) +
                     " bytes are uncommitted; the limit is " +
                     std::to_string(this->settings.max_uncommitted_bytes)};
  }
  return this->AppendAsLeader(EntryKind::kCommand, std::move(command));
}

void Replica::ConfirmRead(Millis /*now*/, ReadId id) {
  if (this->halted || this->role != ReplicaRole::kLeader ||
      this->reads.size() >= this->settings.max_pending_reads) {
    this->output.reads_failed.push_back(id);
    return;
  }
  this->reads.push_back({id, 0, 0});
}

Result<ProposalId> Replica::ProposeMembership(Millis now,
                                              const MembershipChange& change) {
  BOOST_OUTCOME_TRY(next, this->CheckChange(now, change));
  // Recorded so that later requests to these voters detect a lost log.
  for (Member& member : next.members) {
    if (!member.voter) continue;
    const LogIndex known = member.id == this->self
                               ? this->synced_index
                               : this->progress.at(member.id).match;
    member.caught_up_index =
        std::max(member.caught_up_index, std::min(known, this->commit_index));
  }
  const ProposalId id =
      this->AppendAsLeader(EntryKind::kMembership, Encode(next));
  this->UpdateProgressMembers(now);
  return id;
}

Result<Membership> Replica::CheckChange(Millis now,
                                        const MembershipChange& change) const {
  if (this->halted || this->role != ReplicaRole::kLeader) {
    return NotLeader(this->leader);
  }
  // Until then, an uncommitted change of an earlier leader may be unknown to
  // this leader.
  if (!this->CommittedInCurrentTerm()) {
    return Error{ErrorCode::kUnavailable,
                 "the leader has not committed an entry of its term yet"};
  }
  if (this->memberships.back().first > this->commit_index) {
    return Error{ErrorCode::kConflict,
                 "the membership change at index " +
                     std::to_string(this->memberships.back().first) +
                     " is still in flight"};
  }
  const std::set<MemberId> healthy = this->HealthyMembers(now);
  LogIndex caught_up_index = 0;
  if (const auto* promote = std::get_if<PromoteLearner>(&change)) {
    const auto found = this->progress.find(promote->id);
    if (found != this->progress.end()) {
      if (!healthy.contains(promote->id)) {
        return Error{ErrorCode::kUnavailable,
                     "member " + std::to_string(promote->id.Value()) +
                         " has synced index " +
                         std::to_string(found->second.match) + " of " +
                         std::to_string(this->commit_index) +
                         " and is not caught up"};
      }
      caught_up_index = std::min(found->second.match, this->commit_index);
    }
  }
  BOOST_OUTCOME_TRY(
      next, ApplyChange(this->CurrentMembership(), change, caught_up_index));
  const int tolerated = FaultsTolerated(next, healthy);
  if (tolerated < 0) {
    return Error{
        ErrorCode::kUnavailable,
        "after this change only " +
            std::to_string(static_cast<int>(QuorumSize(next)) + tolerated) +
            " of " + std::to_string(VoterCount(next)) +
            " voters would be healthy; a quorum needs " +
            std::to_string(QuorumSize(next))};
  }
  return next;
}

Result<int> Replica::FaultsToleratedAfter(
    Millis now, const MembershipChange& change) const {
  BOOST_OUTCOME_TRY(next, this->CheckChange(now, change));
  return FaultsTolerated(next, this->HealthyMembers(now));
}

void Replica::Persisted(Millis now, uint64_t ticket) {
  if (this->halted) return;
  while (!this->persisting.empty() &&
         this->persisting.front().ticket <= ticket) {
    const PendingPersist done = this->persisting.front();
    this->persisting.pop_front();
    this->durable_state = done.hard_state;
    this->synced_index = std::max(this->synced_index, done.last_index);
    if (done.install) this->FinishSnapshotInstall();
  }
  while (!this->deferred_messages.empty() &&
         this->deferred_messages.front().ticket <= ticket) {
    this->output.messages.push_back(
        std::move(this->deferred_messages.front().message));
    this->deferred_messages.pop_front();
  }
  if (this->role == ReplicaRole::kCandidate &&
      this->durable_state == this->hard_state) {
    this->votes[this->self] = true;
    this->CountVotes(now);
  }
  if (this->role == ReplicaRole::kFollower && this->reply_when_synced &&
      this->leader != MemberId()) {
    this->reply_when_synced = this->synced_index < this->matched_index;
    this->ReplyMatched(this->leader, 0, 0);
  }
}

ReplicaOutput Replica::TakeOutput(Millis now) {
  if (!this->halted) {
    if (this->role == ReplicaRole::kLeader) {
      this->AdvanceCommit();
      this->StartReads();
      const bool heartbeat = std::exchange(this->heartbeat_due, false);
      for (auto& [member, state] : this->progress) {
        this->SendTo(now, member, &state, heartbeat);
      }
    }
    this->EmitCommitted();
    this->ConfirmReads();
    // A leader that removes itself leads until the removal is committed.
    if (this->role == ReplicaRole::kLeader &&
        this->memberships.back().first <= this->commit_index &&
        !IsVoter(this->CurrentMembership(), this->self)) {
      this->BecomeFollower(now, this->hard_state.term, MemberId());
    }
  }
  if (this->output.persist) {
    const PersistRequest& request = *this->output.persist;
    this->persisting.push_back({request.ticket, this->hard_state,
                                this->installing ? 0 : this->log.LastIndex(),
                                request.install.has_value()});
  }
  return std::exchange(this->output, ReplicaOutput());
}

ReplicaStatus Replica::Status(Millis now) const {
  ReplicaStatus status;
  status.self = this->self;
  status.role = this->role;
  status.term = this->hard_state.term;
  status.leader = this->leader;
  status.last_index = this->log.LastIndex();
  status.synced_index = this->synced_index;
  status.commit_index = this->commit_index;
  status.applied_index = this->applied_index;
  status.log_bytes = this->log.Bytes();
  status.membership = this->CurrentMembership();
  status.change_in_flight = this->memberships.back().first > this->commit_index;
  if (this->role != ReplicaRole::kLeader) return status;
  const std::set<MemberId> healthy = this->HealthyMembers(now);
  status.faults_tolerated = FaultsTolerated(status.membership, healthy);
  for (const Member& member : status.membership.members) {
    ReplicaMemberStatus row;
    row.member = member;
    row.caught_up = healthy.contains(member.id);
    if (member.id == this->self) {
      row.active = true;
      row.synced_index = this->synced_index;
    } else {
      const Progress& state = this->progress.at(member.id);
      row.active = this->IsActive(state, now);
      row.synced_index = state.match;
    }
    status.members.push_back(std::move(row));
  }
  return status;
}

void Replica::Send(MemberId to, Term term,
                   decltype(ConsensusMessage::body) body) {
  this->output.messages.push_back({this->self, to, term, std::move(body)});
}

void Replica::SendWhenPersisted(MemberId to, Term term,
                                decltype(ConsensusMessage::body) body) {
  if (!this->output.persist && this->persisting.empty()) {
    this->Send(to, term, std::move(body));
    return;
  }
  const uint64_t ticket = this->output.persist ? this->output.persist->ticket
                                               : this->persisting.back().ticket;
  this->deferred_messages.push_back(
      {ticket, {this->self, to, term, std::move(body)}});
}

void Replica::StartReads() {
  if (!this->CommittedInCurrentTerm()) return;
  bool started = false;
  for (PendingRead& read : this->reads) {
    if (read.index != 0) continue;
    read.index = this->commit_index;
    read.round = this->round + 1;
    started = true;
  }
  if (!started) return;
  ++this->round;
  this->heartbeat_due = true;
}

void Replica::ConfirmReads() {
  if (this->role != ReplicaRole::kLeader || this->reads.empty()) return;
  const Membership& membership = this->CurrentMembership();
  std::vector<uint64_t> rounds;
  for (const Member& member : membership.members) {
    if (!member.voter) continue;
    rounds.push_back(member.id == this->self
                         ? this->round
                         : this->progress.at(member.id).round);
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const uint64_t confirmed = rounds[QuorumSize(membership) - 1];
  std::erase_if(this->reads, [this, confirmed](const PendingRead& read) {
    if (read.index == 0 || read.round > confirmed ||
        read.index > this->applied_index) {
      return false;
    }
    this->output.reads_confirmed.push_back({read.id, read.index});
    return true;
  });
}

void Replica::FailReads() {
  for (const PendingRead& read : this->reads) {
    this->output.reads_failed.push_back(read.id);
  }
  this->reads.clear();
}

void Replica::EmitCommitted() {
  // Only synced entries are applied, so that a snapshot of the state machine
  // never includes entries that the log could still lose.
  const LogIndex last = std::min(this->commit_index, this->synced_index);
  if (this->installing) return;
  while (this->applied_index < last) {
    const LogEntry& entry = this->log.At(++this->applied_index);
    this->applied_bytes += EntryBytes(entry);
    ++this->applied_entries;
    this->output.committed.push_back(entry);
  }
  if (this->snapshot_requested ||
      (this->applied_bytes < this->settings.snapshot_after_bytes &&
       this->applied_entries < this->settings.snapshot_after_entries)) {
    return;
  }
  this->snapshot_requested = true;
  SnapshotMeta meta;
  meta.index = this->applied_index;
  meta.term = this->log.TermAt(this->applied_index);
  meta.membership = this->MembershipAt(this->applied_index);
  this->output.snapshot_request = std::move(meta);
}

PersistRequest* Replica::MutablePersistRequest() {
  if (!this->output.persist) {
    this->output.persist.emplace();
    this->output.persist->ticket = this->next_ticket++;
  }
  return &*this->output.persist;
}

void Replica::SaveHardState() {
  this->MutablePersistRequest()->hard_state = this->hard_state;
}

void Replica::AppendToLog(LogEntry entry) {
  if (entry.kind == EntryKind::kMembership) {
    this->memberships.emplace_back(entry.index,
                                   DecodeMembership(entry.data).value());
  }
  this->MutablePersistRequest()->entries.push_back(entry);
  this->log.Append(std::move(entry));
}

void Replica::TruncateLog(LogIndex from) {
  assert(from > this->commit_index);
  this->log.Truncate(from);
  while (this->memberships.back().first >= from) this->memberships.pop_back();
  this->synced_index = std::min(this->synced_index, from - 1);
  for (PendingPersist& pending : this->persisting) {
    pending.last_index = std::min(pending.last_index, from - 1);
  }
  PersistRequest* request = this->MutablePersistRequest();
  std::erase_if(request->entries,
                [from](const LogEntry& entry) { return entry.index >= from; });
  request->truncate_from = request->truncate_from == 0
                               ? from
                               : std::min(request->truncate_from, from);
}

const Membership& Replica::CurrentMembership() const {
  return this->memberships.back().second;
}

Membership Replica::MembershipAt(LogIndex index) const {
  for (auto item = this->memberships.rbegin(); item != this->memberships.rend();
       ++item) {
    if (item->first <= index) return item->second;
  }
  return this->memberships.front().second;
}

void Replica::Halt(std::string reason) {
  this->halted = true;
  this->FailReads();
  this->output = ReplicaOutput{.reads_failed = this->output.reads_failed,
                               .halt_reason = std::move(reason)};
  this->deferred_messages.clear();
}

bool Replica::HaltIfLogLost(LogIndex required) {
  if (required <= this->log.LastIndex()) return false;
  this->Halt("member " + std::to_string(this->self.Value()) +
             " had synced index " + std::to_string(required) +
             " and its log ends at " + std::to_string(this->log.LastIndex()) +
             ": its disk was lost; join under a new member ID");
  return true;
}

}  // namespace cornelhill
