#include "cornelhill/consensus/replica.h"

#include <algorithm>
#include <cassert>

#include "cornelhill/base/hash.h"
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
  // Leaves room for one largest command and the other fields of a message.
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
  Term least;
  for (const LogEntry& entry : state.entries) {
    if (entry.index != expected++ || entry.term < least ||
        entry.term > state.hard_state.term) {
      return Error{ErrorCode::kCorrupt, "log entry " +
                                            std::to_string(entry.index) +
                                            " does not follow the one before"};
    }
    least = entry.term;
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
  this->synced = this->log.LastIndex();
  this->commit = this->snapshot.index;
  this->applied = this->snapshot.index;
  this->ResetElectionTimer(now);
}

// Roles.

void Replica::ResetElectionTimer(Millis now) {
  const bool starting =
      !this->heard_leader && this->settings.startup_timeout > Millis(0);
  const int64_t timeout = (starting ? this->settings.startup_timeout
                                    : this->settings.election_timeout)
                              .Count();
  this->election_deadline =
      now + Millis(timeout + static_cast<int64_t>(this->random.Below(
                                 static_cast<uint64_t>(timeout))));
}

void Replica::LeaderStops(Millis now, MemberId stopping) {
  if (this->role != ReplicaRole::kFollower || this->leader != stopping) return;
  this->leader = MemberId();
  this->heard_leader = false;
  this->ResetElectionTimer(now);
  this->ReportRole();
}

void Replica::ReportRole() {
  this->output.role_changes.push_back(
      {this->role, this->hard_state.term, this->leader});
}

bool Replica::LeaderIsAlive(Millis now) const {
  return this->role == ReplicaRole::kLeader ||
         (this->leader != MemberId() &&
          now - this->leader_heard < this->settings.election_timeout);
}

void Replica::BecomeFollower(Millis now, Term term, MemberId leader) {
  if (this->role == ReplicaRole::kLeader) {
    this->FailReads();
    this->progress.clear();
    this->ResetElectionTimer(now);
  }
  if (term > this->hard_state.term) {
    this->hard_state = {term, MemberId()};
    this->SaveHardState();
    this->matched = 0;
    this->reply_when_synced = false;
  }
  this->role = ReplicaRole::kFollower;
  this->leader = leader;
  this->votes.clear();
  this->ReportRole();
}

void Replica::BecomePreCandidate(Millis now) {
  this->role = ReplicaRole::kPreCandidate;
  this->leader = MemberId();
  this->ResetElectionTimer(now);
  this->votes = {{this->self, true}};
  this->ReportRole();
  const Term next(this->hard_state.term.Value() + 1);
  for (const Member& member : this->CurrentMembership().members) {
    if (!member.voter || member.id == this->self) continue;
    this->Send(member.id, next,
               VoteRequest{true, this->log.LastIndex(), this->log.LastTerm(),
                           member.caught_up_index});
  }
  this->CountVotes(now);
}

void Replica::BecomeCandidate(Millis now) {
  this->role = ReplicaRole::kCandidate;
  this->hard_state = {Term(this->hard_state.term.Value() + 1), this->self};
  this->SaveHardState();
  this->matched = 0;
  this->reply_when_synced = false;
  this->ResetElectionTimer(now);
  // The own vote counts once it is durable, see `Persisted`.
  this->votes.clear();
  this->ReportRole();
  for (const Member& member : this->CurrentMembership().members) {
    if (!member.voter || member.id == this->self) continue;
    this->SendWhenPersisted(
        member.id, this->hard_state.term,
        VoteRequest{false, this->log.LastIndex(), this->log.LastTerm(),
                    member.caught_up_index});
  }
}

void Replica::CountVotes(Millis now) {
  size_t granted = 0;
  for (const auto& [member, vote] : this->votes) {
    if (vote && IsVoter(this->CurrentMembership(), member)) ++granted;
  }
  if (granted < QuorumSize(this->CurrentMembership())) return;
  if (this->role == ReplicaRole::kPreCandidate) {
    this->BecomeCandidate(now);
  } else if (this->role == ReplicaRole::kCandidate) {
    this->BecomeLeader(now);
  }
}

void Replica::BecomeLeader(Millis now) {
  this->role = ReplicaRole::kLeader;
  this->leader = this->self;
  this->heard_leader = true;
  this->votes.clear();
  this->progress.clear();
  this->round = 0;
  this->recent_commit = this->commit;
  this->older_commit = this->commit;
  this->next_heartbeat = now;
  this->next_commit_sample = now + this->settings.election_timeout;
  this->uncommitted_bytes = 0;
  for (LogIndex index = this->commit + 1; index <= this->log.LastIndex();
       ++index) {
    this->uncommitted_bytes += EntryBytes(this->log.At(index));
  }
  this->UpdateProgressMembers(now);
  this->ReportRole();
  this->first_own_index = this->AppendOwn(EntryKind::kNoop, {}).index;
}

// Inputs.

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
      this->recent_commit = this->commit;
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
    if (this->HaltWithout(request->required_index)) return;
    // A removed or isolated member must not disturb a working leader.
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
    // Tells the sender that its term is over.
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
                     " bytes wait to be committed; the limit is " +
                     std::to_string(this->settings.max_uncommitted_bytes)};
  }
  return this->AppendOwn(EntryKind::kCommand, std::move(command));
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
  // Later requests to these voters show whether they still hold their log.
  for (Member& member : next.members) {
    if (!member.voter) continue;
    const LogIndex known = member.id == this->self
                               ? this->synced
                               : this->progress.at(member.id).match;
    member.caught_up_index =
        std::max(member.caught_up_index, std::min(known, this->commit));
  }
  const ProposalId id = this->AppendOwn(EntryKind::kMembership, Encode(next));
  this->UpdateProgressMembers(now);
  return id;
}

Result<int> Replica::FaultsToleratedAfter(
    Millis now, const MembershipChange& change) const {
  BOOST_OUTCOME_TRY(next, this->CheckChange(now, change));
  return FaultsTolerated(next, this->Working(now));
}

void Replica::Persisted(Millis now, uint64_t ticket) {
  if (this->halted) return;
  while (!this->persisting.empty() &&
         this->persisting.front().ticket <= ticket) {
    const PendingPersist done = this->persisting.front();
    this->persisting.pop_front();
    this->durable_state = done.hard_state;
    this->synced = std::max(this->synced, done.last_index);
    if (done.install) this->InstallDone();
  }
  while (!this->held.empty() && this->held.front().ticket <= ticket) {
    this->output.messages.push_back(std::move(this->held.front().message));
    this->held.pop_front();
  }
  if (this->role == ReplicaRole::kCandidate &&
      this->durable_state == this->hard_state) {
    this->votes[this->self] = true;
    this->CountVotes(now);
  }
  if (this->role == ReplicaRole::kFollower && this->reply_when_synced &&
      this->leader != MemberId()) {
    this->reply_when_synced = this->synced < this->matched;
    this->ReplyMatched(this->leader, 0, 0);
  }
}

void Replica::SnapshotSaved(Millis /*now*/, const SnapshotMeta& meta) {
  this->snapshot_requested = false;
  if (this->halted || this->installing || meta.index <= this->snapshot.index ||
      meta.index > this->applied) {
    return;
  }
  this->snapshot = meta;
  this->applied_bytes = 0;
  this->applied_entries = this->applied - meta.index;
  this->Writable()->discard_through = meta.index;
  while (this->memberships.size() > 1 &&
         this->memberships[1].first <= meta.index) {
    this->memberships.erase(this->memberships.begin());
  }
  if (meta.index > this->settings.keep_entries) {
    const LogIndex base = meta.index - this->settings.keep_entries;
    if (base > this->log.BaseIndex()) this->log.Discard(base);
  }
}

ReplicaOutput Replica::Take(Millis now) {
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
    // A leader that removed itself serves until the removal is committed.
    if (this->role == ReplicaRole::kLeader &&
        this->memberships.back().first <= this->commit &&
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
  status.synced_index = this->synced;
  status.commit_index = this->commit;
  status.applied_index = this->applied;
  status.membership = this->CurrentMembership();
  status.change_in_flight = this->memberships.back().first > this->commit;
  if (this->role != ReplicaRole::kLeader) return status;
  const std::set<MemberId> working = this->Working(now);
  status.faults_tolerated = FaultsTolerated(status.membership, working);
  for (const Member& member : status.membership.members) {
    ReplicaMemberStatus row;
    row.member = member;
    row.caught_up = working.contains(member.id);
    if (member.id == this->self) {
      row.active = true;
      row.synced = this->synced;
    } else {
      const Progress& state = this->progress.at(member.id);
      row.active = this->IsActive(state, now);
      row.synced = state.match;
    }
    status.members.push_back(std::move(row));
  }
  return status;
}

// Messages.

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
  this->held.push_back({ticket, {this->self, to, term, std::move(body)}});
}

void Replica::Reply(MemberId to, AppendReply reply) {
  if (this->durable_state.term == this->hard_state.term) {
    this->Send(to, this->hard_state.term, reply);
  } else {
    this->SendWhenPersisted(to, this->hard_state.term, reply);
  }
}

void Replica::ReplyMatched(MemberId to, LogIndex previous, uint64_t round) {
  this->Reply(to, AppendReply{true, previous,
                              std::min(this->matched, this->synced), 0, round});
}

void Replica::OnVoteRequest(Millis now, MemberId from, Term term,
                            const VoteRequest& request) {
  const bool complete = request.last_term > this->log.LastTerm() ||
                        (request.last_term == this->log.LastTerm() &&
                         request.last_index >= this->log.LastIndex());
  if (request.pre_vote) {
    const bool granted = complete && term > this->hard_state.term;
    this->Send(from, granted ? term : this->hard_state.term,
               VoteReply{true, granted});
    return;
  }
  const bool free =
      this->hard_state.vote == MemberId() || this->hard_state.vote == from;
  if (!complete || !free || this->role != ReplicaRole::kFollower) {
    this->Send(from, this->hard_state.term, VoteReply{false, false});
    return;
  }
  if (this->hard_state.vote != from) {
    this->hard_state.vote = from;
    this->SaveHardState();
  }
  this->ResetElectionTimer(now);
  this->SendWhenPersisted(from, this->hard_state.term, VoteReply{false, true});
}

void Replica::OnVoteReply(Millis now, MemberId from, Term term,
                          const VoteReply& reply) {
  if (reply.pre_vote) {
    if (this->role != ReplicaRole::kPreCandidate) return;
    if (reply.granted && term.Value() != this->hard_state.term.Value() + 1) {
      return;
    }
  } else if (this->role != ReplicaRole::kCandidate) {
    return;
  }
  this->votes[from] = reply.granted;
  this->CountVotes(now);
}

void Replica::FollowLeader(Millis now, MemberId from) {
  if (this->role != ReplicaRole::kFollower || this->leader != from) {
    this->BecomeFollower(now, this->hard_state.term, from);
  }
  this->leader_heard = now;
  this->heard_leader = true;
  this->ResetElectionTimer(now);
}

void Replica::OnAppend(Millis now, MemberId from, Append append) {
  if (this->role == ReplicaRole::kLeader) return;
  this->FollowLeader(now, from);
  if (this->HaltWithout(append.required_index)) return;
  if (this->installing) {
    this->Reply(from, AppendReply{false, append.previous_index, 0, this->commit,
                                  append.round});
    return;
  }
  // What is committed equals the leader's log already.
  size_t skipped = 0;
  LogIndex previous = append.previous_index;
  if (previous < this->commit) {
    skipped = std::min<size_t>(this->commit - previous, append.entries.size());
    previous = this->commit;
    this->matched = std::max(this->matched, this->commit);
  } else if (!this->log.Knows(previous) ||
             this->log.TermAt(previous) != append.previous_term) {
    LogIndex hint = std::min(previous, this->log.LastIndex());
    if (hint == previous) {
      // Skips the whole conflicting term.
      const Term conflict = this->log.TermAt(previous);
      while (hint > this->commit && this->log.TermAt(hint) == conflict) --hint;
    }
    this->Reply(from, AppendReply{false, previous, 0, hint, append.round});
    return;
  }
  for (size_t i = skipped; i < append.entries.size(); ++i) {
    LogEntry& entry = append.entries[i];
    if (entry.term > this->hard_state.term) return;
    if (entry.index > this->log.LastIndex() &&
        entry.term < this->log.LastTerm()) {
      return;
    }
    if (entry.index <= this->log.LastIndex()) {
      if (this->log.TermAt(entry.index) == entry.term) continue;
      if (entry.index <= this->commit) {
        this->Halt("the leader's log contradicts committed entry " +
                   std::to_string(entry.index));
        return;
      }
      this->TruncateLog(entry.index);
    }
    this->AppendToLog(std::move(entry));
  }
  const LogIndex last =
      std::max(previous, append.previous_index + append.entries.size());
  this->matched = std::max(this->matched, last);
  this->commit = std::max(this->commit, std::min(append.commit_index, last));
  this->reply_when_synced = this->synced < this->matched;
  // Entries are confirmed once synced; a heartbeat is answered at once.
  if (append.entries.empty() || this->synced >= last) {
    this->ReplyMatched(from, append.previous_index, append.round);
  }
}

void Replica::OnAppendReply(Millis now, MemberId from,
                            const AppendReply& reply) {
  const auto found = this->progress.find(from);
  if (this->role != ReplicaRole::kLeader || found == this->progress.end())
    return;
  Progress& state = found->second;
  state.last_heard = now;
  state.round = std::max(state.round, reply.round);
  if (reply.synced_index > this->log.LastIndex() ||
      reply.previous_index > this->log.LastIndex()) {
    return;
  }
  if (!reply.matched) {
    if (state.sending == Sending::kSnapshot ||
        reply.previous_index <= state.match) {
      return;
    }
    if (state.sending == Sending::kProbe &&
        reply.previous_index != state.next - 1) {
      return;
    }
    state.sending = Sending::kProbe;
    state.waiting = false;
    state.in_flight.clear();
    state.in_flight_bytes = 0;
    state.next = std::max(state.match + 1,
                          std::min(reply.hint_index + 1, reply.previous_index));
    return;
  }
  state.match = std::max(state.match, reply.synced_index);
  while (!state.in_flight.empty() &&
         state.in_flight.front().first <= state.match) {
    state.in_flight_bytes -= state.in_flight.front().second;
    state.in_flight.pop_front();
  }
  if (state.sending == Sending::kProbe) {
    state.sending = Sending::kReplicate;
    state.waiting = false;
    state.next = std::max(state.match, reply.previous_index) + 1;
  } else if (state.sending == Sending::kSnapshot) {
    if (state.match < state.snapshot.index && !this->log.Knows(state.match)) {
      return;
    }
    state.sending = Sending::kReplicate;
    state.waiting = false;
    state.next = state.match + 1;
  }
  state.next = std::max(state.next, state.match + 1);
}

void Replica::OnSnapshotChunk(Millis now, MemberId from,
                              const SnapshotChunk& chunk) {
  if (this->role == ReplicaRole::kLeader) return;
  this->FollowLeader(now, from);
  if (this->HaltWithout(chunk.required_index) || this->installing) return;
  const SnapshotMeta& meta = chunk.meta;
  if (meta.index <= this->commit ||
      (this->log.Knows(meta.index) &&
       this->log.TermAt(meta.index) == meta.term)) {
    this->commit = std::max(this->commit, meta.index);
    this->matched = std::max(this->matched, this->commit);
    this->reply_when_synced = this->synced < this->matched;
    this->ReplyMatched(from, meta.index, 0);
    return;
  }
  if (meta.size > this->settings.max_snapshot_bytes) {
    this->Halt("the leader's snapshot has " + std::to_string(meta.size) +
               " bytes; the limit is " +
               std::to_string(this->settings.max_snapshot_bytes));
    return;
  }
  if (!this->incoming || this->incoming->meta != meta) {
    if (chunk.offset != 0) {
      this->Send(from, this->hard_state.term, SnapshotReply{meta.index, 0});
      return;
    }
    this->incoming = Snapshot{meta, {}};
  }
  std::string& data = this->incoming->data;
  if (chunk.offset == data.size() &&
      chunk.data.size() <= meta.size - data.size()) {
    data += chunk.data;
  }
  if (data.size() == meta.size) {
    if (Hash64(data) != meta.checksum) {
      this->incoming.reset();
      this->Send(from, this->hard_state.term, SnapshotReply{meta.index, 0});
      return;
    }
    this->installing = true;
    PersistRequest* request = this->Writable();
    request->install = *this->incoming;
    request->truncate_from = 0;
    request->entries.clear();
  }
  this->Send(from, this->hard_state.term,
             SnapshotReply{meta.index, data.size()});
}

void Replica::OnSnapshotReply(Millis now, MemberId from,
                              const SnapshotReply& reply) {
  const auto found = this->progress.find(from);
  if (this->role != ReplicaRole::kLeader || found == this->progress.end())
    return;
  Progress& state = found->second;
  state.last_heard = now;
  if (state.sending != Sending::kSnapshot ||
      reply.index != state.snapshot.index ||
      reply.next_offset > state.snapshot.size ||
      reply.next_offset == state.snapshot_offset) {
    return;
  }
  state.snapshot_offset = reply.next_offset;
  state.last_chunk = now;
  // With all sent, the member installs it and then confirms its index.
  if (reply.next_offset < state.snapshot.size) {
    this->RequestChunk(now, from, &state);
  }
}

void Replica::SnapshotChunkRead(Millis now, const SnapshotRead& read,
                                std::optional<std::string> data) {
  const auto found = this->progress.find(read.to);
  if (this->halted || this->role != ReplicaRole::kLeader ||
      found == this->progress.end()) {
    return;
  }
  Progress& state = found->second;
  if (state.sending != Sending::kSnapshot ||
      read.index != state.snapshot.index ||
      read.offset != state.snapshot_offset) {
    return;
  }
  if (!data) {
    if (state.snapshot.index != this->snapshot.index) {
      this->StartSnapshot(now, read.to, &state);
    }
    return;
  }
  this->Send(read.to, this->hard_state.term,
             SnapshotChunk{state.snapshot, read.offset, std::move(*data),
                           this->RequiredIndex(read.to)});
}

// Leader.

ProposalId Replica::AppendOwn(EntryKind kind, std::string data) {
  LogEntry entry{this->log.LastIndex() + 1, this->hard_state.term, kind,
                 std::move(data)};
  const ProposalId id{entry.index, entry.term};
  this->uncommitted_bytes += EntryBytes(entry);
  this->AppendToLog(std::move(entry));
  return id;
}

LogIndex Replica::RequiredIndex(MemberId to) const {
  const Member* member = FindMember(this->CurrentMembership(), to);
  const LogIndex known = std::min(this->progress.at(to).match, this->commit);
  return member == nullptr ? known : std::max(known, member->caught_up_index);
}

void Replica::SendTo(Millis now, MemberId to, Progress* progress,
                     bool heartbeat) {
  Progress& state = *progress;
  if (state.sending != Sending::kSnapshot && !this->log.Knows(state.next - 1)) {
    this->StartSnapshot(now, to, &state);
  }
  if (state.sending == Sending::kSnapshot &&
      now - state.last_chunk >= this->settings.election_timeout) {
    this->RequestChunk(now, to, &state);
  }
  bool sent = false;
  if (state.sending == Sending::kProbe && !state.waiting) {
    state.waiting = true;
    this->SendAppend(now, to, &state, {});
    sent = true;
  }
  while (state.sending == Sending::kReplicate &&
         state.next <= this->log.LastIndex() &&
         state.in_flight_bytes < this->settings.max_in_flight_bytes &&
         state.in_flight.size() < this->settings.max_in_flight_messages) {
    std::vector<LogEntry> entries = this->log.Slice(
        state.next, this->settings.max_append_bytes, kMaxEntriesPerAppend);
    size_t bytes = 0;
    for (const LogEntry& entry : entries) bytes += EntryBytes(entry);
    const LogIndex last = entries.back().index;
    this->SendAppend(now, to, &state, std::move(entries));
    state.next = last + 1;
    state.in_flight.emplace_back(last, bytes);
    state.in_flight_bytes += bytes;
    sent = true;
  }
  if (heartbeat && !sent) this->SendAppend(now, to, &state, {});
}

void Replica::SendAppend(Millis /*now*/, MemberId to, Progress* progress,
                         std::vector<LogEntry> entries) {
  // A member that receives a snapshot gets heartbeats at the end of the log.
  const LogIndex previous = progress->sending == Sending::kSnapshot
                                ? this->log.LastIndex()
                                : progress->next - 1;
  this->Send(to, this->hard_state.term,
             Append{previous, this->log.TermAt(previous), this->commit,
                    this->round, this->RequiredIndex(to), std::move(entries)});
}

void Replica::StartSnapshot(Millis now, MemberId to, Progress* progress) {
  progress->sending = Sending::kSnapshot;
  progress->snapshot = this->snapshot;
  progress->snapshot_offset = 0;
  progress->in_flight.clear();
  progress->in_flight_bytes = 0;
  this->RequestChunk(now, to, progress);
}

void Replica::RequestChunk(Millis now, MemberId to, Progress* progress) {
  progress->last_chunk = now;
  const uint64_t left = progress->snapshot.size - progress->snapshot_offset;
  this->output.snapshot_reads.push_back(
      {to, progress->snapshot.index, progress->snapshot_offset,
       std::min<size_t>(left, this->settings.snapshot_chunk_bytes)});
}

void Replica::UpdateProgressMembers(Millis now) {
  const Membership& membership = this->CurrentMembership();
  std::erase_if(this->progress, [&membership](const auto& item) {
    return FindMember(membership, item.first) == nullptr;
  });
  for (const Member& member : membership.members) {
    if (member.id == this->self || this->progress.contains(member.id)) continue;
    Progress state;
    state.next = this->log.LastIndex() + 1;
    state.last_heard = now;
    this->progress.emplace(member.id, std::move(state));
  }
}

bool Replica::OwnTermCommitted() const {
  return this->role == ReplicaRole::kLeader &&
         this->commit >= this->first_own_index;
}

bool Replica::IsActive(const Progress& progress, Millis now) const {
  return now - progress.last_heard < this->settings.election_timeout;
}

bool Replica::QuorumActive(Millis now) const {
  const Membership& membership = this->CurrentMembership();
  size_t count = IsVoter(membership, this->self) ? 1 : 0;
  for (const auto& [member, state] : this->progress) {
    if (IsVoter(membership, member) && this->IsActive(state, now)) ++count;
  }
  return count >= QuorumSize(membership);
}

std::set<MemberId> Replica::Working(Millis now) const {
  std::set<MemberId> working = {this->self};
  for (const auto& [member, state] : this->progress) {
    if (this->IsActive(state, now) && state.match >= this->older_commit &&
        state.match > 0) {
      working.insert(member);
    }
  }
  return working;
}

Result<Membership> Replica::CheckChange(Millis now,
                                        const MembershipChange& change) const {
  if (this->halted || this->role != ReplicaRole::kLeader) {
    return NotLeader(this->leader);
  }
  // Before that, an earlier leader's change may still be in flight unseen.
  if (!this->OwnTermCommitted()) {
    return Error{ErrorCode::kUnavailable,
                 "the leader has not committed an entry of its term yet"};
  }
  if (this->memberships.back().first > this->commit) {
    return Error{ErrorCode::kConflict,
                 "the membership change at index " +
                     std::to_string(this->memberships.back().first) +
                     " is still in flight"};
  }
  const std::set<MemberId> working = this->Working(now);
  LogIndex caught_up_index = 0;
  if (const auto* promote = std::get_if<PromoteLearner>(&change)) {
    const auto found = this->progress.find(promote->id);
    if (found != this->progress.end()) {
      if (!working.contains(promote->id)) {
        return Error{ErrorCode::kUnavailable,
                     "member " + std::to_string(promote->id.Value()) +
                         " has synced index " +
                         std::to_string(found->second.match) + " of " +
                         std::to_string(this->commit) +
                         " and is not caught up"};
      }
      caught_up_index = std::min(found->second.match, this->commit);
    }
  }
  BOOST_OUTCOME_TRY(
      next, ApplyChange(this->CurrentMembership(), change, caught_up_index));
  const int tolerated = FaultsTolerated(next, working);
  if (tolerated < 0) {
    return Error{
        ErrorCode::kUnavailable,
        "after this change only " +
            std::to_string(static_cast<int>(QuorumSize(next)) + tolerated) +
            " of " + std::to_string(VoterCount(next)) +
            " voters would work; a quorum needs " +
            std::to_string(QuorumSize(next))};
  }
  return next;
}

void Replica::AdvanceCommit() {
  const Membership& membership = this->CurrentMembership();
  std::vector<LogIndex> synced_by;
  for (const Member& member : membership.members) {
    if (!member.voter) continue;
    synced_by.push_back(member.id == this->self
                            ? this->synced
                            : this->progress.at(member.id).match);
  }
  if (synced_by.empty()) return;
  std::sort(synced_by.begin(), synced_by.end(), std::greater<>());
  const LogIndex index = synced_by[QuorumSize(membership) - 1];
  // An earlier term's entry can still be replaced although a quorum has it, so
  // it is committed only by an entry of the leader's own term after it.
  if (index <= this->commit ||
      this->log.TermAt(index) != this->hard_state.term) {
    return;
  }
  for (LogIndex i = this->commit + 1; i <= index; ++i) {
    this->uncommitted_bytes -= EntryBytes(this->log.At(i));
  }
  this->commit = index;
  // Lets the others apply without waiting for the next heartbeat.
  this->heartbeat_due = true;
}

void Replica::StartReads() {
  if (!this->OwnTermCommitted()) return;
  bool started = false;
  for (PendingRead& read : this->reads) {
    if (read.index != 0) continue;
    read.index = this->commit;
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
        read.index > this->applied) {
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
  // never covers entries that the log could still lose.
  const LogIndex last = std::min(this->commit, this->synced);
  if (this->installing) return;
  while (this->applied < last) {
    const LogEntry& entry = this->log.At(++this->applied);
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
  meta.index = this->applied;
  meta.term = this->log.TermAt(this->applied);
  meta.membership = this->MembershipAt(this->applied);
  this->output.snapshot_request = std::move(meta);
}

// Log and storage.

PersistRequest* Replica::Writable() {
  if (!this->output.persist) {
    this->output.persist.emplace();
    this->output.persist->ticket = this->next_ticket++;
  }
  return &*this->output.persist;
}

void Replica::SaveHardState() {
  this->Writable()->hard_state = this->hard_state;
}

void Replica::AppendToLog(LogEntry entry) {
  if (entry.kind == EntryKind::kMembership) {
    this->memberships.emplace_back(entry.index,
                                   DecodeMembership(entry.data).value());
  }
  this->Writable()->entries.push_back(entry);
  this->log.Append(std::move(entry));
}

void Replica::TruncateLog(LogIndex from) {
  assert(from > this->commit);
  this->log.Truncate(from);
  while (this->memberships.back().first >= from) this->memberships.pop_back();
  this->synced = std::min(this->synced, from - 1);
  for (PendingPersist& pending : this->persisting) {
    pending.last_index = std::min(pending.last_index, from - 1);
  }
  PersistRequest* request = this->Writable();
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

void Replica::InstallDone() {
  this->installing = false;
  Snapshot installed = std::move(*this->incoming);
  this->incoming.reset();
  this->snapshot = installed.meta;
  this->log = MemoryLog(this->snapshot.index, this->snapshot.term);
  this->memberships = {{this->snapshot.index, this->snapshot.membership}};
  this->synced = this->snapshot.index;
  this->commit = this->snapshot.index;
  this->applied = this->snapshot.index;
  this->matched = std::max(this->matched, this->snapshot.index);
  this->applied_bytes = 0;
  this->applied_entries = 0;
  this->snapshot_requested = false;
  this->output.committed.clear();
  this->output.snapshot_request.reset();
  this->output.restore = std::move(installed);
  this->reply_when_synced = true;
}

void Replica::Halt(std::string reason) {
  this->halted = true;
  this->FailReads();
  this->output = ReplicaOutput{.reads_failed = this->output.reads_failed,
                               .halt = std::move(reason)};
  this->held.clear();
}

bool Replica::HaltWithout(LogIndex required) {
  if (required <= this->log.LastIndex()) return false;
  this->Halt("member " + std::to_string(this->self.Value()) +
             " had synced index " + std::to_string(required) +
             " and its log ends at " + std::to_string(this->log.LastIndex()) +
             ": its disk was lost; join under a new member ID");
  return true;
}

}  // namespace cornelhill
