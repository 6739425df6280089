// Replication: sending entries, processing replies and advancing the commit
// index.

#include <algorithm>

#include "cornelhill/consensus/consensus_codec.h"
#include "cornelhill/consensus/replica.h"

namespace cornelhill {

void Replica::Reply(MemberId to, AppendReply reply) {
  if (this->durable_state.term == this->hard_state.term) {
    this->Send(to, this->hard_state.term, reply);
  } else {
    this->SendWhenPersisted(to, this->hard_state.term, reply);
  }
}

void Replica::ReplyMatched(MemberId to, LogIndex previous, uint64_t round) {
  this->Reply(to, AppendReply{true, previous,
                              std::min(this->matched_index, this->synced_index),
                              0, round});
}

void Replica::FollowLeader(Millis now, MemberId from) {
  if (this->role != ReplicaRole::kFollower || this->leader != from) {
    this->BecomeFollower(now, this->hard_state.term, from);
  }
  this->last_leader_contact = now;
  this->has_seen_leader = true;
  this->ResetElectionTimer(now);
}

void Replica::OnAppend(Millis now, MemberId from, Append append) {
  if (this->role == ReplicaRole::kLeader) return;
  this->FollowLeader(now, from);
  if (this->HaltIfLogLost(append.required_index)) return;
  if (this->installing) {
    this->Reply(from, AppendReply{false, append.previous_index, 0,
                                  this->commit_index, append.round});
    return;
  }
  // Committed entries are already equal to the leader's.
  size_t skipped = 0;
  LogIndex previous = append.previous_index;
  if (previous < this->commit_index) {
    skipped =
        std::min<size_t>(this->commit_index - previous, append.entries.size());
    previous = this->commit_index;
    this->matched_index = std::max(this->matched_index, this->commit_index);
  } else if (!this->log.HasTermAt(previous) ||
             this->log.TermAt(previous) != append.previous_term) {
    LogIndex hint = std::min(previous, this->log.LastIndex());
    if (hint == previous) {
      // Skips all entries of the conflicting term.
      const Term conflict = this->log.TermAt(previous);
      while (hint > this->commit_index && this->log.TermAt(hint) == conflict) {
        --hint;
      }
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
      if (entry.index <= this->commit_index) {
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
  this->matched_index = std::max(this->matched_index, last);
  this->commit_index =
      std::max(this->commit_index, std::min(append.commit_index, last));
  this->reply_when_synced = this->synced_index < this->matched_index;
  // Entries are acknowledged once synced; a heartbeat is acknowledged
  // immediately.
  if (append.entries.empty() || this->synced_index >= last) {
    this->ReplyMatched(from, append.previous_index, append.round);
  }
}

void Replica::OnAppendReply(Millis now, MemberId from,
                            const AppendReply& reply) {
  const auto found = this->progress.find(from);
  if (this->role != ReplicaRole::kLeader || found == this->progress.end())
    return;
  Progress& state = found->second;
  state.last_contact = now;
  state.round = std::max(state.round, reply.round);
  if (reply.synced_index > this->log.LastIndex() ||
      reply.previous_index > this->log.LastIndex()) {
    return;
  }
  if (!reply.matched) {
    if (state.mode == ReplicationMode::kSnapshot ||
        reply.previous_index <= state.match) {
      return;
    }
    if (state.mode == ReplicationMode::kProbe &&
        reply.previous_index != state.next - 1) {
      return;
    }
    state.mode = ReplicationMode::kProbe;
    state.awaiting_reply = false;
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
  if (state.mode == ReplicationMode::kProbe) {
    state.mode = ReplicationMode::kReplicate;
    state.awaiting_reply = false;
    state.next = std::max(state.match, reply.previous_index) + 1;
  } else if (state.mode == ReplicationMode::kSnapshot) {
    if (state.match < state.snapshot.index &&
        !this->log.HasTermAt(state.match)) {
      return;
    }
    state.mode = ReplicationMode::kReplicate;
    state.awaiting_reply = false;
    state.next = state.match + 1;
  }
  state.next = std::max(state.next, state.match + 1);
}

ProposalId Replica::AppendAsLeader(EntryKind kind, std::string data) {
  LogEntry entry{this->log.LastIndex() + 1, this->hard_state.term, kind,
                 std::move(data)};
  const ProposalId id{entry.index, entry.term};
  this->uncommitted_bytes += EntryBytes(entry);
  this->AppendToLog(std::move(entry));
  return id;
}

LogIndex Replica::RequiredIndex(MemberId to) const {
  const Member* member = FindMember(this->CurrentMembership(), to);
  const LogIndex known =
      std::min(this->progress.at(to).match, this->commit_index);
  return member == nullptr ? known : std::max(known, member->caught_up_index);
}

void Replica::SendTo(Millis now, MemberId to, Progress* progress,
                     bool heartbeat) {
  Progress& state = *progress;
  if (state.mode != ReplicationMode::kSnapshot &&
      !this->log.HasTermAt(state.next - 1)) {
    this->StartSnapshot(now, to, &state);
  }
  if (state.mode == ReplicationMode::kSnapshot &&
      now - state.last_chunk >= this->settings.election_timeout) {
    this->RequestChunk(now, to, &state);
  }
  bool sent = false;
  if (state.mode == ReplicationMode::kProbe && !state.awaiting_reply) {
    state.awaiting_reply = true;
    this->SendAppend(now, to, &state, {});
    sent = true;
  }
  while (state.mode == ReplicationMode::kReplicate &&
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
  // Heartbeats to a member that receives a snapshot refer to the end of the
  // log.
  const LogIndex previous = progress->mode == ReplicationMode::kSnapshot
                                ? this->log.LastIndex()
                                : progress->next - 1;
  this->Send(to, this->hard_state.term,
             Append{previous, this->log.TermAt(previous), this->commit_index,
                    this->round, this->RequiredIndex(to), std::move(entries)});
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
    state.last_contact = now;
    this->progress.emplace(member.id, std::move(state));
  }
}

bool Replica::CommittedInCurrentTerm() const {
  return this->role == ReplicaRole::kLeader &&
         this->commit_index >= this->term_start_index;
}

bool Replica::IsActive(const Progress& progress, Millis now) const {
  return now - progress.last_contact < this->settings.election_timeout;
}

bool Replica::QuorumActive(Millis now) const {
  const Membership& membership = this->CurrentMembership();
  size_t count = IsVoter(membership, this->self) ? 1 : 0;
  for (const auto& [member, state] : this->progress) {
    if (IsVoter(membership, member) && this->IsActive(state, now)) ++count;
  }
  return count >= QuorumSize(membership);
}

std::set<MemberId> Replica::HealthyMembers(Millis now) const {
  std::set<MemberId> healthy = {this->self};
  for (const auto& [member, state] : this->progress) {
    if (this->IsActive(state, now) && state.match >= this->older_commit &&
        state.match > 0) {
      healthy.insert(member);
    }
  }
  return healthy;
}

void Replica::AdvanceCommit() {
  const Membership& membership = this->CurrentMembership();
  std::vector<LogIndex> synced_by;
  for (const Member& member : membership.members) {
    if (!member.voter) continue;
    synced_by.push_back(member.id == this->self
                            ? this->synced_index
                            : this->progress.at(member.id).match);
  }
  if (synced_by.empty()) return;
  std::sort(synced_by.begin(), synced_by.end(), std::greater<>());
  const LogIndex index = synced_by[QuorumSize(membership) - 1];
  // An entry of an earlier term can still be overwritten although a quorum has
  // it. It is committed only together with a later entry of the leader's
  // current term.
  if (index <= this->commit_index ||
      this->log.TermAt(index) != this->hard_state.term) {
    return;
  }
  for (LogIndex i = this->commit_index + 1; i <= index; ++i) {
    this->uncommitted_bytes -= EntryBytes(this->log.At(i));
  }
  this->commit_index = index;
  // Lets the other members apply the entries without waiting for the next
  // heartbeat.
  this->heartbeat_due = true;
}

}  // namespace cornelhill
