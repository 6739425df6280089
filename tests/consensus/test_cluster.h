#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/consensus/consensus_codec.h"
#include "cornelhill/consensus/log_store.h"
#include "cornelhill/consensus/replica.h"
#include "memory_file_system.h"
#include "tests/naive/single_copy_registers.h"

namespace cornelhill {

// Probability of each fault, per message or per step of `TestCluster::kStep`.
struct FaultRates {
  double loss = 0;
  double duplicate = 0;
  double long_delay = 0;
  double one_way_partition = 0;
  double crash = 0;
  double crash_in_write = 0;
  double pause = 0;
  double lose_disk = 0;
  double slow_disk = 0;
  double churn = 0;
};

// Replicas with a simulated network and simulated disks, driven by one clock
// and seed. Each applies its commands to a map of registers. After every input,
// checks that there is one leader per term, that committed entries never change
// and match the single-copy model, that no acknowledged write is lost and that
// no confirmed read is stale. Stops at the first violation, which `Violation`
// describes.
class TestCluster {
 public:
  static constexpr Millis kStep{10};

  struct Node {
    MemberId id;
    std::unique_ptr<MemoryFileSystem> disk;
    std::unique_ptr<LogStore> store;
    std::optional<Replica> replica;
    std::map<std::string, std::string> registers;
    LogIndex applied = 0;
    std::deque<std::pair<Millis, PersistRequest>> persisting;
    Millis resume_at;  // Down or paused until then.
    bool paused = false;
    bool disk_lost = false;
    bool disk_stalled = false;
    bool change_in_flight = false;  // As of the last output.
    std::string halt_reason;
    // Writes proposed at this node and not committed yet.
    std::map<ProposalId, std::string> writes;
  };

  TestCluster(uint64_t seed, size_t voters);

  void Step(const FaultRates& rates);
  void Run(Millis time, const FaultRates& rates = {});
  // Removes all faults, restarts stopped nodes and runs until all members have
  // applied one more entry.
  void HealAndConverge();

  Node* Leader();
  Node& Get(uint64_t id) { return *this->nodes.at(MemberId(id)); }
  bool Has(uint64_t id) const { return this->nodes.contains(MemberId(id)); }
  std::optional<ProposalId> Write(Node* node);
  ReadId Read(Node* node);
  void Crash(Node* node, bool power);
  void Restart(Node* node);
  // Starts an instance with member ID `id` and an empty disk.
  Node& AddNode(MemberId id, const std::optional<Membership>& bootstrap);
  void Block(uint64_t from, uint64_t to) {
    this->blocked[{MemberId(from), MemberId(to)}] = Millis(INT64_MAX);
  }
  void Isolate(uint64_t id);
  void Unblock() { this->blocked.clear(); }
  void HandleOutput(Node* node);

  const std::string& Violation() const { return this->violation; }
  Millis Now() const { return this->now; }

  // Whether members whose disk was lost are replaced.
  bool repair = true;
  uint64_t acknowledged = 0;
  uint64_t repairs = 0;
  uint64_t restored = 0;  // Snapshots received.
  std::set<ReadId> confirmed;
  std::set<ReadId> failed;

 private:
  struct WaitingRead {
    // Last acknowledged write of each key when the read started.
    std::map<std::string, LogIndex> minimum_index;
  };

  void Apply(Node* node, const LogEntry& entry);
  void Send(const ConsensusMessage& message, const FaultRates& rates);
  void InjectFaults(const FaultRates& rates);
  bool Propose(Node* node, const MembershipChange& change);
  void SubmitRequests();
  void ProposeRandomChange(Node* node);
  void Repair();
  bool HasSpareVoter();
  bool MayLoseDisk(const Node& node);
  void Fail(const std::string& what);
  std::string Describe();

  Random random;
  size_t voters;
  Millis now;
  FaultRates rates;
  std::map<MemberId, std::unique_ptr<Node>> nodes;
  std::multimap<Millis, ConsensusMessage> network;
  std::map<std::pair<MemberId, MemberId>, Millis> blocked;
  std::map<Term, MemberId> leaders;

  // Committed entries by index, and the values of the model after each of them.
  std::vector<LogEntry> committed;
  naive::SingleCopyRegisters model;
  std::vector<std::map<std::string, std::string>> model_at;
  Membership membership;
  LogIndex membership_index = 0;
  std::map<std::string, LogIndex> acknowledged_index;
  LogIndex last_acknowledged = 0;
  std::map<ReadId, WaitingRead> reads;
  uint64_t next_value = 1;
  uint64_t next_read = 1;
  bool lose_disk_after_repair = false;
  std::string violation;
};

}  // namespace cornelhill
