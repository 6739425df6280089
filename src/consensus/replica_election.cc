// Elections: timers, votes and role changes.

#include "cornelhill/consensus/replica.h"

namespace cornelhill {

void Replica::ResetElectionTimer(Millis now) {
  const bool starting =
      !this->has_seen_leader && this->settings.startup_timeout > Millis(0);
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
  this->has_seen_leader = false;
  this->ResetElectionTimer(now);
  this->ReportRole();
}

bool Replica::LeaderIsAlive(Millis now) const {
  return this->role == ReplicaRole::kLeader ||
         (this->leader != MemberId() &&
          now - this->last_leader_contact < this->settings.election_timeout);
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
    this->matched_index = 0;
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
  this->matched_index = 0;
  this->reply_when_synced = false;
  this->ResetElectionTimer(now);
  // This replica's own vote is counted in `Persisted`, once it is durable.
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
  this->has_seen_leader = true;
  this->votes.clear();
  this->progress.clear();
  this->round = 0;
  this->recent_commit = this->commit_index;
  this->older_commit = this->commit_index;
  this->next_heartbeat = now;
  this->next_commit_sample = now + this->settings.election_timeout;
  this->uncommitted_bytes = 0;
  for (LogIndex index = this->commit_index + 1; index <= this->log.LastIndex();
       ++index) {
    this->uncommitted_bytes += EntryBytes(this->log.At(index));
  }
  this->UpdateProgressMembers(now);
  this->ReportRole();
  this->term_start_index = this->AppendAsLeader(EntryKind::kNoop, {}).index;
}

void Replica::OnVoteRequest(Millis now, MemberId from, Term term,
                            const VoteRequest& request) {
  const bool log_up_to_date = request.last_term > this->log.LastTerm() ||
                              (request.last_term == this->log.LastTerm() &&
                               request.last_index >= this->log.LastIndex());
  if (request.pre_vote) {
    const bool granted = log_up_to_date && term > this->hard_state.term;
    this->Send(from, granted ? term : this->hard_state.term,
               VoteReply{true, granted});
    return;
  }
  const bool may_vote =
      this->hard_state.vote == MemberId() || this->hard_state.vote == from;
  if (!log_up_to_date || !may_vote || this->role != ReplicaRole::kFollower) {
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

}  // namespace cornelhill
