#include "cornelhill/consensus/replica.h"

#include <criterion/criterion.h>

#include "cornelhill/consensus/consensus_codec.h"
#include "test_cluster.h"

namespace cornelhill {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr Millis kSecond(1000);

// Runs until a leader has acknowledged a write.
TestCluster::Node* StartLeader(TestCluster* cluster) {
  cluster->Run(kSecond);
  TestCluster::Node* leader = cluster->Leader();
  cr_assert(leader != nullptr && cluster->acknowledged > 0);
  return leader;
}

std::vector<TestCluster::Node*> OtherNodes(TestCluster* cluster,
                                           const TestCluster::Node* leader) {
  std::vector<TestCluster::Node*> others;
  for (uint64_t id = 1; id <= 3; ++id) {
    if (MemberId(id) != leader->id) others.push_back(&cluster->Get(id));
  }
  return others;
}

// Starts member 1 of 3 with the given entries after the initial membership.
Replica StartMember(std::vector<LogEntry> entries, Term term) {
  const Membership membership{{{MemberId(1), true, 1, ""},
                               {MemberId(2), true, 1, ""},
                               {MemberId(3), true, 1, ""}},
                              MemberId(3)};
  StoredState state;
  state.self = MemberId(1);
  state.hard_state.term = term;
  state.entries = {{1, Term(1), EntryKind::kMembership, Encode(membership)}};
  state.entries.insert(state.entries.end(), entries.begin(), entries.end());
  return std::move(Replica::Start({}, state, kSeed, Millis(0)).value());
}

ReplicaOutput TakeAndPersist(Replica* replica, Millis now) {
  ReplicaOutput output = replica->TakeOutput(now);
  if (output.persist) replica->Persisted(now, output.persist->ticket);
  return output;
}

// Makes a replica the leader with the pre-vote and vote of member 2.
void Elect(Replica* replica, Millis now) {
  replica->Tick(now);
  const Term next(replica->Status(now).term.Value() + 1);
  replica->Step(now, {MemberId(2), MemberId(1), next, VoteReply{true, true}});
  TakeAndPersist(replica, now);
  replica->Step(now, {MemberId(2), MemberId(1), next, VoteReply{false, true}});
  cr_assert(replica->Status(now).role == ReplicaRole::kLeader);
}

// Guards against a member that returns from isolation with a higher term and so
// deposes a healthy leader. Fails without pre-vote.
Test(replica, pre_vote_keeps_the_leader_when_an_isolated_member_returns) {
  TestCluster cluster(kSeed, 3);
  TestCluster::Node* leader = StartLeader(&cluster);
  const Term term = leader->replica->Status(cluster.Now()).term;
  cluster.Isolate(OtherNodes(&cluster, leader)[0]->id.Value());
  cluster.Run(kSecond * 3);
  cluster.Unblock();
  cluster.Run(kSecond);
  cr_assert(cluster.Leader() == leader);
  cr_assert(leader->replica->Status(cluster.Now()).term == term);
}

// Guards against a leader that can send to all members but receives from none,
// and so blocks every write. Fails without the quorum check.
Test(replica, check_quorum_replaces_a_leader_that_receives_nothing) {
  TestCluster cluster(kSeed, 3);
  TestCluster::Node* leader = StartLeader(&cluster);
  for (const auto* other : OtherNodes(&cluster, leader)) {
    cluster.Block(other->id.Value(), leader->id.Value());
  }
  cluster.Run(kSecond * 2);
  cr_assert(cluster.Leader() != nullptr && cluster.Leader() != leader);
  const uint64_t before = cluster.acknowledged;
  cluster.Run(kSecond);
  cr_assert(cluster.acknowledged > before);
}

// Guards against stale reads from an isolated or paused leader.
Test(replica, isolated_or_paused_leader_cannot_confirm_reads) {
  TestCluster cluster(kSeed, 3);
  TestCluster::Node* leader = StartLeader(&cluster);
  const ReadId good = cluster.Read(leader);
  cluster.Run(Millis(100));
  cr_assert(cluster.confirmed.contains(good));

  cluster.Isolate(leader->id.Value());
  const ReadId isolated = cluster.Read(leader);
  cluster.Run(kSecond);
  cr_assert(cluster.failed.contains(isolated));
  cluster.Unblock();

  cluster.Run(kSecond);
  leader = cluster.Leader();
  leader->paused = true;
  leader->resume_at = cluster.Now() + kSecond * 1000;
  cluster.Run(kSecond * 2);
  cr_assert(cluster.Leader() != nullptr && cluster.Leader() != leader);
  leader->paused = false;
  const ReadId paused = cluster.Read(leader);
  cluster.Run(kSecond);
  cr_assert(cluster.failed.contains(paused));
  cr_assert(cluster.Violation().empty(), "%s", cluster.Violation().c_str());
}

// Guards against acknowledging a write that is durable on only one disk, either
// of the leader or of a follower. Fails if unsynced entries are counted.
Test(replica, acknowledges_after_a_quorum_has_synced) {
  TestCluster cluster(kSeed, 3);
  TestCluster::Node* leader = StartLeader(&cluster);
  const std::vector<TestCluster::Node*> others = OtherNodes(&cluster, leader);
  for (const bool leader_syncs : {true, false}) {
    cluster.Run(kSecond);
    cr_assert(cluster.Leader() == leader);
    others[0]->disk_stalled = true;
    (leader_syncs ? others[1] : leader)->disk_stalled = true;
    const auto write = cluster.Write(leader);
    cluster.Run(kSecond);
    cr_assert(leader->writes.contains(*write));
    others[0]->disk_stalled = false;
    others[1]->disk_stalled = false;
    leader->disk_stalled = false;
    cluster.Run(kSecond);
    cr_assert_not(leader->writes.contains(*write));
  }
}

// Guards against two votes in one term after a crash: a vote must not be sent
// before it is durable.
Test(replica, vote_is_sent_after_it_is_durable) {
  Replica replica = StartMember({}, Term(1));
  const Millis now(10);
  replica.Step(now, {MemberId(2), MemberId(1), Term(2),
                     VoteRequest{false, 1, Term(1), 1}});
  const ReplicaOutput output = replica.TakeOutput(now);
  cr_assert(output.messages.empty());
  cr_assert(output.persist->hard_state == (HardState{Term(2), MemberId(2)}));
  // A repeated request must not cause the vote to be sent earlier.
  replica.Step(now, {MemberId(2), MemberId(1), Term(2),
                     VoteRequest{false, 1, Term(1), 1}});
  cr_assert(replica.TakeOutput(now).messages.empty());
  replica.Persisted(now, output.persist->ticket);
  cr_assert(
      std::get<VoteReply>(replica.TakeOutput(now).messages[0].body).granted);
  replica.Step(now, {MemberId(3), MemberId(1), Term(2),
                     VoteRequest{false, 9, Term(1), 1}});
  cr_assert_not(
      std::get<VoteReply>(replica.TakeOutput(now).messages[0].body).granted);
}

// Guards against committing an entry of an earlier term because a quorum has
// it; another leader could still overwrite it.
Test(replica, does_not_commit_an_earlier_term_by_counting_replicas) {
  Replica replica =
      StartMember({{2, Term(2), EntryKind::kCommand, "write"}}, Term(2));
  const Millis now(5000);
  Elect(&replica, now);
  TakeAndPersist(&replica, now);
  const auto reply = [&](LogIndex synced) {
    replica.Step(now, {MemberId(2), MemberId(1), Term(3),
                       AppendReply{true, synced, synced, 0, 0}});
    TakeAndPersist(&replica, now);
    return replica.Status(now).commit_index;
  };
  cr_assert_eq(reply(2), 0);
  cr_assert_eq(reply(3), 3);
}

// Guards against unbounded memory and bytes in flight when a member is slow.
Test(replica, bounds_bytes_in_flight_and_uncommitted) {
  Replica replica = StartMember({}, Term(1));
  const Millis now(5000);
  Elect(&replica, now);
  TakeAndPersist(&replica, now);
  replica.Step(
      now, {MemberId(2), MemberId(1), Term(2), AppendReply{true, 1, 1, 0, 0}});
  const ReplicaSettings limits;
  size_t proposed = 0;
  while (replica.Propose(now, std::string(10000, 'x')).has_value()) {
    proposed += 10000;
  }
  cr_assert(proposed <= limits.max_uncommitted_bytes);
  size_t in_flight = 0;
  for (int round = 0; round < 3; ++round) {
    for (const ConsensusMessage& message :
         TakeAndPersist(&replica, now).messages) {
      const auto* append = std::get_if<Append>(&message.body);
      if (append == nullptr) continue;
      size_t bytes = 0;
      for (const LogEntry& entry : append->entries) bytes += EntryBytes(entry);
      cr_assert(bytes <= limits.max_append_bytes);
      in_flight += bytes;
    }
  }
  cr_assert(in_flight > 0);
  cr_assert(in_flight <= limits.max_in_flight_bytes + limits.max_append_bytes);
}

// Guards against overlapping membership changes, whose quorums need not
// intersect, against promoting a learner before it has synced the log, and
// against reporting a repair as complete before that.
Test(replica, changes_one_member_at_a_time_and_promotes_when_synced) {
  TestCluster cluster(kSeed, 3);
  TestCluster::Node* leader = StartLeader(&cluster);
  const std::vector<TestCluster::Node*> others = OtherNodes(&cluster, leader);
  const MemberId lost = others[0]->id;
  cluster.repair = false;
  cluster.Crash(others[0], true);
  others[0]->disk->LoseDisk();
  others[0]->disk_lost = true;
  cluster.Run(kSecond);
  Replica& replica = *leader->replica;
  const auto change = [&](const MembershipChange& wanted) {
    const auto done = replica.ProposeMembership(cluster.Now(), wanted);
    cluster.HandleOutput(leader);
    return done.has_value() ? ErrorCode() : done.error().code;
  };
  const auto row = [&] {
    for (const ReplicaMemberStatus& member :
         replica.Status(cluster.Now()).members) {
      if (member.member.id == MemberId(4)) return member;
    }
    return ReplicaMemberStatus();
  };
  cr_assert_eq(replica.Status(cluster.Now()).faults_tolerated, 0);
  cr_assert(change(RemoveMember{others[1]->id}) == ErrorCode::kUnavailable);
  cr_assert(change(AddLearner{lost, ""}) == ErrorCode::kConflict);
  cr_assert(change(RemoveMember{lost}) == ErrorCode());
  cr_assert(change(AddLearner{MemberId(4), ""}) == ErrorCode::kConflict);
  cluster.Run(kSecond);
  cr_assert(change(AddLearner{MemberId(4), ""}) == ErrorCode());
  cluster.AddNode(MemberId(4), std::nullopt);
  cluster.Run(kSecond);
  cluster.Get(4).disk_stalled = true;
  cluster.Run(kSecond);
  cr_assert(row().active && !row().caught_up);
  cr_assert(change(PromoteLearner{MemberId(4)}) == ErrorCode::kUnavailable);
  cluster.Get(4).disk_stalled = false;
  cluster.Run(kSecond);
  cr_assert(change(PromoteLearner{MemberId(4)}) == ErrorCode());
  cluster.Run(kSecond);
  cr_assert(row().caught_up && row().member.voter);
  cr_assert_eq(replica.Status(cluster.Now()).faults_tolerated, 1);
  // The operator's tool warns about this change: afterwards no voter could
  // fail.
  const auto after =
      replica.FaultsToleratedAfter(cluster.Now(), RemoveMember{others[1]->id});
  cr_assert_eq(after.value(), 0);
}

// Guards against a vote under the old ID of an instance whose disk was lost: it
// would elect a member that missed an acknowledged write. The write is lost if
// a replica does not check `required_index`.
Test(replica, lost_disk_under_its_old_id_halts_and_does_not_vote) {
  TestCluster cluster(kSeed, 3);
  TestCluster::Node* leader = StartLeader(&cluster);
  const std::vector<TestCluster::Node*> others = OtherNodes(&cluster, leader);
  cluster.Isolate(others[1]->id.Value());
  const auto write = cluster.Write(leader);
  cluster.Run(Millis(200));
  cr_assert_not(leader->writes.contains(*write));
  cluster.Crash(leader, true);
  leader->resume_at = cluster.Now() + kSecond * 3;
  cluster.Unblock();
  cluster.Crash(others[0], true);
  const MemberId lost = others[0]->id;
  cluster.AddNode(lost, std::nullopt);
  cluster.Run(kSecond * 2);
  cr_assert_not(cluster.Get(lost.Value()).halt_reason.empty());
  cr_assert(cluster.Leader() == nullptr);
  cluster.Run(kSecond * 3);
  cr_assert(cluster.Violation().empty(), "%s", cluster.Violation().c_str());
  cr_assert(cluster.Leader() != nullptr);
}

// Guards against an operator request that waits for an election timeout after a
// planned shutdown of the leader (fmn-aula incident inc-1c5a: 1.0 s).
Test(replica, a_follower_of_a_stopping_leader_votes_and_campaigns_at_once) {
  const Membership membership{{{MemberId(1), true, 1, ""},
                               {MemberId(2), true, 1, ""},
                               {MemberId(3), true, 1, ""}},
                              MemberId(3)};
  StoredState state;
  state.self = MemberId(1);
  state.hard_state.term = Term(1);
  state.entries = {{1, Term(1), EntryKind::kMembership, Encode(membership)}};
  ReplicaSettings settings;
  settings.startup_timeout = Millis(60);
  Replica replica =
      std::move(Replica::Start(settings, state, kSeed, Millis(0)).value());
  replica.Step(Millis(5), {MemberId(2), MemberId(1), Term(1), Append{}});
  TakeAndPersist(&replica, Millis(5));
  replica.LeaderStops(Millis(10), MemberId(3));
  cr_assert_eq(replica.Status(Millis(10)).leader.Value(), 2U,
               "a shutdown of member 3, which does not lead, has an effect");
  replica.LeaderStops(Millis(10), MemberId(2));
  cr_assert_eq(replica.Status(Millis(10)).leader.Value(), 0U);
  replica.Step(Millis(11), {MemberId(3), MemberId(1), Term(2),
                            VoteRequest{true, 1, Term(1), 0}});
  const ReplicaOutput output = TakeAndPersist(&replica, Millis(11));
  cr_assert_eq(output.messages.size(), 1U);
  cr_assert(std::get<VoteReply>(output.messages[0].body).granted);
  replica.Tick(Millis(200));
  cr_assert(replica.Status(Millis(200)).role == ReplicaRole::kPreCandidate);
}

// Guards against core members that exceed their memory: the entries before a
// snapshot were limited by number only, and each held a configuration of
// hundreds of kilobytes.
Test(replica, entries_in_memory_are_bounded_by_bytes) {
  constexpr size_t kEntryBytes = size_t{200} << 10;
  StoredState state;
  state.self = MemberId(1);
  state.entries = {
      {1, Term(1), EntryKind::kMembership,
       Encode(Membership{{{MemberId(1), true, 1, ""}}, MemberId(1)})}};
  state.hard_state.term = Term(1);
  const ReplicaSettings settings;
  Replica replica =
      std::move(Replica::Start(settings, state, kSeed, Millis(0)).value());
  const Millis now(10000);
  replica.Tick(now);
  TakeAndPersist(&replica, now);
  for (int i = 0; i < 200; ++i) {
    cr_assert(replica.Propose(now, std::string(kEntryBytes, 'x')).has_value());
    for (int step = 0; step < 3; ++step) {
      const ReplicaOutput output = TakeAndPersist(&replica, now);
      if (output.snapshot_request.has_value()) {
        replica.SnapshotSaved(now, *output.snapshot_request);
      }
    }
    const ReplicaStatus status = replica.Status(now);
    cr_assert_eq(status.applied_index, status.last_index);
    cr_assert_leq(
        status.log_bytes,
        settings.keep_bytes + settings.snapshot_after_bytes + 2 * kEntryBytes);
  }
}

// Fails if a member that lags slightly needs a whole snapshot.
Test(replica, a_log_keeps_recent_entries_within_its_limits) {
  MemoryLog log(10, Term(1));
  for (LogIndex index = 11; index <= 20; ++index) {
    log.Append({index, Term(1), EntryKind::kCommand, std::string(68, 'x')});
  }
  cr_assert_eq(log.Bytes(), 1000U);
  cr_assert_eq(log.BaseFor(20, 1000, 100), 10U);
  cr_assert_eq(log.BaseFor(20, 350, 100), 17U);
  cr_assert_eq(log.BaseFor(18, 350, 100), 15U);
  cr_assert_eq(log.BaseFor(20, 1000, 4), 16U);
  cr_assert_eq(log.BaseFor(20, 50, 4), 20U);
  log.Discard(17);
  log.Truncate(19);
  cr_assert_eq(log.Bytes(), 100U);
}

}  // namespace
}  // namespace cornelhill
