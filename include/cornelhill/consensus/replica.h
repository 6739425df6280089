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

// Identifies a pending linearizable read; assigned by the user of `Replica`.
using ReadId = StrongId<struct ReadIdTag, uint64_t>;

struct ReplicaSettings {
  // The timeout is drawn from [election_timeout, 2 * election_timeout). The
  // default is 5 heartbeats: at a loss rate of 5 %, 5 consecutive heartbeats
  // are lost with a probability of 1 in 3 million.
  Millis election_timeout{1000};
  // Election timeout until the replica first hears from a leader. It can be
  // short: after a restart of the whole group an early election disturbs
  // nobody, and otherwise the other members reject it while their leader is
  // alive. 0: use `election_timeout`.
  Millis startup_timeout{0};
  // With 9 members a leader sends 40 messages of 17 bytes per second, about
  // 3.5 KB with an estimated 70 bytes of headers each. 100 ms would take 7 KB,
  // and a daemon has 5 KB for the control plane.
  Millis heartbeat{200};
  // Maximum bytes of entries in one message, and sent to one member but not yet
  // acknowledged.
  size_t max_append_bytes = 64 << 10;
  size_t max_in_flight_bytes = 256 << 10;
  size_t max_in_flight_messages = 64;
  // A leader rejects proposals while this many bytes are uncommitted.
  size_t max_uncommitted_bytes = 4 << 20;
  // Reads beyond this limit fail immediately.
  size_t max_pending_reads = 10000;
  size_t snapshot_chunk_bytes = 64 << 10;
  // A member halts rather than receive a larger snapshot.
  size_t max_snapshot_bytes = 64 << 20;
  // A snapshot is requested once this much has been applied since the last one.
  size_t snapshot_after_bytes = 4 << 20;
  uint64_t snapshot_after_entries = 20000;
  // Entries kept in memory before a snapshot, so that members that lag slightly
  // can catch up without it.
  uint64_t keep_entries = 2000;
  // Bound of their size: an entry may contain a configuration of hundreds of
  // kilobytes.
  size_t keep_bytes = 2 << 20;
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

// Position of a proposal in the log. The proposal is acknowledged when an entry
// with this index and term is committed, and lost when an entry with this index
// and another term is committed.
struct ProposalId {
  LogIndex index = 0;
  Term term;

  auto operator<=>(const ProposalId&) const = default;
};

// Once `index` is applied, the state machine contains every write acknowledged
// before the read was requested.
struct ReadConfirmed {
  ReadId id;
  LogIndex index = 0;
};

// A part of the latest snapshot to read from disk.
struct SnapshotRead {
  MemberId to;
  LogIndex index = 0;
  uint64_t offset = 0;
  size_t size = 0;
};

// Actions for the runtime to perform, in the order of the fields.
struct ReplicaOutput {
  // Can be sent immediately: the replica withholds messages that depend on a
  // write until `Persisted`.
  std::vector<ConsensusMessage> messages;
  std::optional<PersistRequest> persist;
  // Replaces the state of the state machine.
  std::optional<Snapshot> restore;
  std::vector<LogEntry> committed;
  std::vector<ReadConfirmed> reads_confirmed;
  // The reads must be answered with `cannot confirm`.
  std::vector<ReadId> reads_failed;
  // Requests a snapshot of the state machine after `committed` is applied: call
  // `LogStore::SaveSnapshot` with this metadata, then `SnapshotSaved`.
  std::optional<SnapshotMeta> snapshot_request;
  // Call `SnapshotChunkRead` with the result of each read.
  std::vector<SnapshotRead> snapshot_reads;
  std::vector<RoleChange> role_changes;
  // If not empty, this replica must stop; a one-line reason.
  std::string halt_reason;
};

struct ReplicaMemberStatus {
  Member member;
  LogIndex synced_index = 0;
  // Replied within the last election timeout.
  bool active = false;
  // Active and has synced the commit index of up to two election timeouts ago.
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
  size_t log_bytes = 0;  // Of the entries in memory.
  Membership membership;
  bool change_in_flight = false;
  // On the leader only.
  std::vector<ReplicaMemberStatus> members;
  // On the leader only: number of voters that can still fail, see
  // `FaultsTolerated`.
  int faults_tolerated = 0;
};

// One member of the replicated log, as a state machine without I/O. Each input
// may add to the output that `TakeOutput` returns; call it after each input or
// batch of inputs. `now` never decreases. Not thread-safe.
class Replica {
 public:
  // Requires a state returned by `LogStore::TakeState`. Fails with
  // `kInvalidArgument` if settings are out of range and with `kCorrupt` if the
  // state is inconsistent.
  static Result<Replica> Start(ReplicaSettings settings, StoredState state,
                               uint64_t seed, Millis now);

  // Advances timers. Must be called at least every
  // `ReplicaSettings::heartbeat`.
  void Tick(Millis now);

  // Processes a message from another member.
  void Step(Millis now, ConsensusMessage message);

  // The leader `stopping` has announced its shutdown. A follower of that leader
  // clears it, restarts its election timer with `startup_timeout` and may vote
  // for another candidate.
  void LeaderStops(Millis now, MemberId stopping);

  // Appends a command on the leader. Fails with `kUnavailable` if this member
  // is not the leader or too many bytes are uncommitted, and with `kTooLarge`.
  Result<ProposalId> Propose(Millis now, std::string command);

  // Requests a linearizable read. Answered exactly once, in `reads_confirmed`
  // or `reads_failed`.
  void ConfirmRead(Millis now, ReadId id);

  // Starts a membership change on the leader. Fails with `kConflict` if another
  // change is in flight or the ID of the new member is not new; with
  // `kUnavailable` if this member is not the leader or has not committed an
  // entry of its term yet, if the learner to promote is not caught up, or if
  // the healthy members would not form a quorum.
  Result<ProposalId> ProposeMembership(Millis now,
                                       const MembershipChange& change);

  // Performs the checks of `ProposeMembership` and returns how many voters
  // could still fail after the change, so that a tool can warn before it is
  // made.
  Result<int> FaultsToleratedAfter(Millis now,
                                   const MembershipChange& change) const;

  // The request with this ticket and all earlier ones are durable.
  void Persisted(Millis now, uint64_t ticket);

  // The snapshot is durable; log entries that it includes may be discarded.
  void SnapshotSaved(Millis now, const SnapshotMeta& meta);

  // Completes a `SnapshotRead`. No data: the snapshot was replaced by a newer
  // one.
  void SnapshotChunkRead(Millis now, const SnapshotRead& read,
                         std::optional<std::string> data);

  // Returns and clears the output collected since the last call.
  ReplicaOutput TakeOutput(Millis now);

  ReplicaStatus Status(Millis now) const;

 private:
  enum class ReplicationMode : uint8_t { kProbe, kReplicate, kSnapshot };

  // Replication state that a leader keeps for each other member.
  struct Progress {
    ReplicationMode mode = ReplicationMode::kProbe;
    LogIndex match = 0;
    LogIndex next = 1;
    // A probe was sent and not answered yet.
    bool awaiting_reply = false;
    Millis last_sent;
    Millis last_contact;
    uint64_t round = 0;
    // Last index and size in bytes of each unacknowledged message.
    std::deque<std::pair<LogIndex, size_t>> in_flight;
    size_t in_flight_bytes = 0;
    // Snapshot that is being sent.
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
    // Last entry that is synced once the request is durable.
    LogIndex last_index = 0;
    bool install = false;
  };

  struct PendingRead {
    ReadId id;
    // 0: waits until the leader has committed the first entry of its term.
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
  // Sends the message once all writes issued so far are durable.
  void SendWhenPersisted(MemberId to, Term term,
                         decltype(ConsensusMessage::body) body);
  void Reply(MemberId to, AppendReply reply);
  void ReplyMatched(MemberId to, LogIndex previous, uint64_t round);

  // Leader.
  ProposalId AppendAsLeader(EntryKind kind, std::string data);
  // Sends as much as flow control allows; if that is nothing and `heartbeat` is
  // set, sends a heartbeat.
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
  // Halts and returns true if the log ends before `required`.
  bool HaltIfLogLost(LogIndex required);

  ReplicaSettings settings;
  MemberId self;
  Random random;

  ReplicaRole role = ReplicaRole::kFollower;
  HardState hard_state;
  HardState durable_state;
  MemberId leader;
  Millis election_deadline;
  // When the last message from the current leader was received.
  Millis last_leader_contact;
  bool has_seen_leader = false;
  std::map<MemberId, bool> votes;
  bool halted = false;

  MemoryLog log;
  SnapshotMeta snapshot;
  // Index and content of each membership in the log; the first one is that of
  // the snapshot.
  std::vector<std::pair<LogIndex, Membership>> memberships;
  LogIndex synced_index = 0;
  LogIndex commit_index = 0;
  LogIndex applied_index = 0;
  // On a follower: the log is equal to the leader's up to this index.
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
  // Commit index of up to one and up to two election timeouts ago. A member
  // that has synced `older_commit` counts as caught up. With the current index,
  // healthy members would appear to lag during a burst of writes.
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
