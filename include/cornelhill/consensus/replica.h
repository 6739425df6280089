#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"
#include "cornelhill/base/result.h"
#include "cornelhill/consensus/consensus_messages.h"
#include "cornelhill/consensus/log_entry.h"
#include "cornelhill/consensus/membership.h"
#include "cornelhill/consensus/memory_log.h"

namespace cornelhill {

// Identifies a read that waits for confirmation; chosen by the caller.
using ReadId = StrongId<struct ReadIdTag, uint64_t>;

struct ReplicaSettings {
  // A timeout is drawn from [election_timeout, 2 * election_timeout). The
  // default is 5 heartbeats: 5 in a row are lost once in 3 million times at a
  // loss of 5 %.
  Millis election_timeout{1000};
  // The same until the replica has heard of a leader for the first time: after
  // a restart of the whole group nobody is disturbed by an early election, and
  // the others refuse one while their leader is alive. 0: `election_timeout`.
  Millis startup_timeout{0};
  // With 9 members a leader sends 40 messages of 17 bytes per second, about
  // 3.5 KB with an estimated 70 bytes of headers each; 100 ms would take 7 KB,
  // and a daemon has 5 KB for the control plane.
  Millis heartbeat{200};
  // Bytes of entries in one message, and sent but not confirmed per member.
  size_t max_append_bytes = 64 << 10;
  size_t max_in_flight_bytes = 256 << 10;
  size_t max_in_flight_messages = 64;
  // A leader refuses proposals while this much is not committed.
  size_t max_uncommitted_bytes = 4 << 20;
  // Further reads fail at once.
  size_t max_pending_reads = 10000;
  size_t snapshot_chunk_bytes = 64 << 10;
  // A member refuses to receive a larger snapshot.
  size_t max_snapshot_bytes = 64 << 20;
  // A snapshot is requested once this much was applied since the last one.
  size_t snapshot_after_bytes = 4 << 20;
  uint64_t snapshot_after_entries = 20000;
  // Entries kept before a snapshot, for members that are a little behind.
  uint64_t keep_entries = 2000;
};

enum class ReplicaRole : uint8_t {
  kFollower = 0,
  kPreCandidate,
  kCandidate,
  kLeader
};

std::string_view ToString(ReplicaRole role);

struct RoleChange {
  ReplicaRole role = ReplicaRole::kFollower;
  Term term;
  MemberId leader;  // 0: unknown.
};

// Where a proposal is in the log. It is acknowledged when an entry with this
// index and this term comes out as committed; an entry with this index and
// another term means that the proposal is lost.
struct ProposalId {
  LogIndex index = 0;
  Term term;

  auto operator<=>(const ProposalId&) const = default;
};

// The state machine, with `index` applied, held every write acknowledged before
// the read was asked for.
struct ReadConfirmed {
  ReadId id;
  LogIndex index = 0;
};

// A piece of the last snapshot, to be read from disk.
struct SnapshotRead {
  MemberId to;
  LogIndex index = 0;
  uint64_t offset = 0;
  size_t size = 0;
};

// What the runtime must do, in the order of the fields.
struct ReplicaOutput {
  // May leave at once: messages that depend on a write are held back inside
  // the replica until `Persisted`.
  std::vector<ConsensusMessage> messages;
  std::optional<PersistRequest> persist;
  // Replaces the content of the state machine.
  std::optional<Snapshot> restore;
  std::vector<LogEntry> committed;
  std::vector<ReadConfirmed> reads_confirmed;
  // Answer with `cannot confirm`.
  std::vector<ReadId> reads_failed;
  // Save a snapshot of the state machine as it is after `committed`: call
  // `LogStore::SaveSnapshot` with this description, then `SnapshotSaved`.
  std::optional<SnapshotMeta> snapshot_request;
  // Call `SnapshotChunkRead` with each piece.
  std::vector<SnapshotRead> snapshot_reads;
  std::vector<RoleChange> role_changes;
  // Not empty: this replica must stop, for the reason given in one line.
  std::string halt_reason;
};

struct ReplicaMemberStatus {
  Member member;
  LogIndex synced_index = 0;
  // Answered within the last election timeout.
  bool active = false;
  // Active and has synced what was committed up to two election timeouts ago.
  // A repair is complete when the new member is a voter and this is true.
  bool caught_up = false;
};

struct ReplicaStatus {
  MemberId self;
  ReplicaRole role = ReplicaRole::kFollower;
  Term term;
  MemberId leader;
  LogIndex last_index = 0;
  LogIndex synced_index = 0;
  LogIndex commit_index = 0;
  LogIndex applied_index = 0;
  Membership membership;
  bool change_in_flight = false;
  // On the leader only.
  std::vector<ReplicaMemberStatus> members;
  // On the leader only: voters that may still fail, see `FaultsTolerated`.
  int faults_tolerated = 0;
};

// One member of the replicated log: decisions only. Each input may add to the
// output, which `TakeOutput` returns; the runtime calls `TakeOutput` after one
// input or a batch of them. `now` never decreases. Not thread-safe.
class Replica {
 public:
  // Requires a state that `LogStore::Open` returned. Fails with
  // `kInvalidArgument` where settings are out of range and with `kCorrupt`
  // where the state contradicts itself.
  static Result<Replica> Start(ReplicaSettings settings, StoredState state,
                               uint64_t seed, Millis now);

  // Lets time pass. Call at least every `ReplicaSettings::heartbeat`.
  void Tick(Millis now);

  // Takes a message from another member.
  void Step(Millis now, ConsensusMessage message);

  // The leader has said that it stops. A follower of it forgets it, so that an
  // election starts within `startup_timeout` and the others may vote.
  void LeaderStops(Millis now, MemberId stopping);

  // Appends a command on the leader. Fails with `kUnavailable` where this
  // member is not the leader or too much is uncommitted, and with `kTooLarge`.
  Result<ProposalId> Propose(Millis now, std::string command);

  // Asks for a confirmed read. Answered once, by `reads_confirmed` or
  // `reads_failed`.
  void ConfirmRead(Millis now, ReadId id);

  // Starts a membership change on the leader. Fails with `kConflict` where one
  // is in flight or the member is not new, with `kUnavailable` where this
  // member is not the leader or cannot decide yet, where a learner is not
  // caught up, or where the members that answer would not form a quorum.
  Result<ProposalId> ProposeMembership(Millis now,
                                       const MembershipChange& change);

  // Checks what `ProposeMembership` checks and returns how many voters may
  // still fail after the change, so that a tool can warn before it.
  Result<int> FaultsToleratedAfter(Millis now,
                                   const MembershipChange& change) const;

  // The request with this ticket, and all before it, are durable.
  void Persisted(Millis now, uint64_t ticket);

  // The snapshot is durable; the log before it may be discarded.
  void SnapshotSaved(Millis now, const SnapshotMeta& meta);

  // Answers a `SnapshotRead`. No data: the snapshot was replaced by a newer
  // one.
  void SnapshotChunkRead(Millis now, const SnapshotRead& read,
                         std::optional<std::string> data);

  // Returns what was collected since the last call.
  ReplicaOutput TakeOutput(Millis now);

  ReplicaStatus Status(Millis now) const;

 private:
  enum class ReplicationMode : uint8_t { kProbe, kReplicate, kSnapshot };

  // What a leader knows about another member.
  struct Progress {
    ReplicationMode mode = ReplicationMode::kProbe;
    LogIndex match = 0;
    LogIndex next = 1;
    // A probe, or a snapshot chunk, is unanswered.
    bool awaiting_reply = false;
    Millis last_sent;
    Millis last_contact;
    uint64_t round = 0;
    // Last index and bytes of each unconfirmed message.
    std::deque<std::pair<LogIndex, size_t>> in_flight;
    size_t in_flight_bytes = 0;
    // The snapshot that is being sent.
    SnapshotMeta snapshot;
    uint64_t snapshot_offset = 0;
    Millis last_chunk;
  };

  struct DeferredMessage {
    uint64_t ticket = 0;
    ConsensusMessage message;
  };

  struct PendingPersist {
    uint64_t ticket = 0;
    HardState hard_state;
    // Last entry that is synced once the request is done.
    LogIndex last_index = 0;
    bool install = false;
  };

  struct PendingRead {
    ReadId id;
    // 0: waits for the first entry of the leader's own term to be committed.
    LogIndex index = 0;
    uint64_t round = 0;
  };

  Replica(ReplicaSettings settings, StoredState state, uint64_t seed,
          Millis now);

  // Roles.
  void BecomeFollower(Millis now, Term term, MemberId leader);
  void BecomePreCandidate(Millis now);
  void BecomeCandidate(Millis now);
  void BecomeLeader(Millis now);
  void ResetElectionTimer(Millis now);
  void ReportRole();
  void CountVotes(Millis now);
  bool LeaderIsAlive(Millis now) const;

  // Messages.
  void OnVoteRequest(Millis now, MemberId from, Term term,
                     const VoteRequest& request);
  void OnVoteReply(Millis now, MemberId from, Term term,
                   const VoteReply& reply);
  void FollowLeader(Millis now, MemberId from);
  void OnAppend(Millis now, MemberId from, Append append);
  void OnAppendReply(Millis now, MemberId from, const AppendReply& reply);
  void OnSnapshotChunk(Millis now, MemberId from, const SnapshotChunk& chunk);
  void OnSnapshotReply(Millis now, MemberId from, const SnapshotReply& reply);
  void Send(MemberId to, Term term, decltype(ConsensusMessage::body) body);
  // Sends once everything written so far is durable.
  void SendWhenPersisted(MemberId to, Term term,
                         decltype(ConsensusMessage::body) body);
  void Reply(MemberId to, AppendReply reply);
  void ReplyMatched(MemberId to, LogIndex previous, uint64_t round);

  // Leader.
  ProposalId AppendAsLeader(EntryKind kind, std::string data);
  // Sends what flow control allows; where that is nothing, a heartbeat if
  // `heartbeat` is set.
  void SendTo(Millis now, MemberId to, Progress* progress, bool heartbeat);
  void SendAppend(Millis now, MemberId to, Progress* progress,
                  std::vector<LogEntry> entries);
  void StartSnapshot(Millis now, MemberId to, Progress* progress);
  void RequestChunk(Millis now, MemberId to, Progress* progress);
  void UpdateProgressMembers(Millis now);
  LogIndex RequiredIndex(MemberId to) const;
  void AdvanceCommit();
  void StartReads();
  void ConfirmReads();
  void EmitCommitted();
  void FailReads();
  bool CommittedInCurrentTerm() const;
  bool IsActive(const Progress& progress, Millis now) const;
  bool QuorumActive(Millis now) const;
  std::set<MemberId> HealthyMembers(Millis now) const;
  Result<Membership> CheckChange(Millis now,
                                 const MembershipChange& change) const;

  // Log and storage.
  void SaveHardState();
  PersistRequest* MutablePersistRequest();
  void AppendToLog(LogEntry entry);
  void TruncateLog(LogIndex from);
  const Membership& CurrentMembership() const;
  Membership MembershipAt(LogIndex index) const;
  void FinishSnapshotInstall();
  void Halt(std::string reason);
  // Returns true, and halts, where this replica has lost `required`.
  bool HaltIfLogLost(LogIndex required);

  ReplicaSettings settings;
  MemberId self;
  Random random;

  ReplicaRole role = ReplicaRole::kFollower;
  HardState hard_state;
  HardState durable_state;
  MemberId leader;
  Millis election_deadline;
  // When a message of the current leader last came in.
  Millis last_leader_contact;
  bool has_seen_leader = false;
  std::map<MemberId, bool> votes;
  bool halted = false;

  MemoryLog log;
  SnapshotMeta snapshot;
  // Index and content of each membership in the log, the snapshot's first.
  std::vector<std::pair<LogIndex, Membership>> memberships;
  LogIndex synced_index = 0;
  LogIndex commit_index = 0;
  LogIndex applied_index = 0;
  // On a follower: the log equals the leader's up to here.
  LogIndex matched_index = 0;
  bool reply_when_synced = false;
  size_t applied_bytes = 0;
  uint64_t applied_entries = 0;
  bool snapshot_requested = false;

  // Leader.
  std::map<MemberId, Progress> progress;
  LogIndex term_start_index = 0;
  size_t uncommitted_bytes = 0;
  uint64_t round = 0;
  bool heartbeat_due = false;
  std::vector<PendingRead> reads;
  // Commit index up to one and up to two election timeouts ago. A member that
  // has synced the older one counts as caught up: with the present index, a
  // burst of writes would show working members as lagging.
  LogIndex recent_commit = 0;
  LogIndex older_commit = 0;
  Millis next_heartbeat;
  Millis next_commit_sample;

  // Snapshot that is being received.
  std::optional<Snapshot> incoming_snapshot;
  bool installing = false;

  uint64_t next_ticket = 1;
  std::deque<PendingPersist> persisting;
  std::deque<DeferredMessage> deferred_messages;
  ReplicaOutput output;
};

}  // namespace cornelhill
