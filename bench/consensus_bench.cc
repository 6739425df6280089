#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <vector>

#include "cornelhill/consensus/consensus_codec.h"
#include "cornelhill/consensus/replica.h"

namespace cornelhill {
namespace {

constexpr uint64_t kSeed = 20261204;

// Replicas with immediate message delivery and immediately durable writes, so
// that only the protocol logic, and optionally the encoding, is measured.
class ReplicaGroup {
 public:
  explicit ReplicaGroup(uint64_t voters, bool encode) : encode(encode) {
    Membership membership;
    for (uint64_t id = 1; id <= voters; ++id) {
      membership.members.push_back({MemberId(id), true, 1, "127.0.0.1:7000"});
      membership.highest_id = MemberId(id);
    }
    for (uint64_t id = 1; id <= voters; ++id) {
      StoredState state;
      state.self = MemberId(id);
      state.hard_state.term = Term(1);
      state.entries = {
          {1, Term(1), EntryKind::kMembership, Encode(membership)}};
      this->replicas.push_back(std::move(
          Replica::Start({}, std::move(state), kSeed + id, this->now).value()));
    }
    // Only the first replica runs for election.
    this->now = Millis(5000);
    this->Leader().Tick(this->now);
    this->RunUntilIdle();
  }

  Replica& Leader() { return this->replicas.front(); }

  void Heartbeat() {
    this->now += ReplicaSettings().heartbeat;
    this->Leader().Tick(this->now);
    this->RunUntilIdle();
  }

  void Propose(const std::string& command) {
    benchmark::DoNotOptimize(this->Leader().Propose(this->now, command));
  }

  void RunUntilIdle() {
    for (Replica& replica : this->replicas) this->ProcessOutput(&replica);
    while (!this->queue.empty()) {
      ConsensusMessage message = std::move(this->queue.front());
      this->queue.pop_front();
      if (this->encode) {
        const std::string bytes = Encode(message);
        this->bytes += bytes.size();
        message = std::move(DecodeConsensusMessage(bytes).value());
      }
      ++this->messages;
      Replica& replica = this->replicas[message.to.Value() - 1];
      replica.Step(this->now, std::move(message));
      this->ProcessOutput(&replica);
    }
  }

  uint64_t messages = 0;
  uint64_t bytes = 0;
  uint64_t committed = 0;

 private:
  void ProcessOutput(Replica* replica) {
    while (true) {
      ReplicaOutput output = replica->TakeOutput(this->now);
      for (ConsensusMessage& message : output.messages) {
        this->queue.push_back(std::move(message));
      }
      if (replica == &this->Leader()) {
        this->committed += output.committed.size();
      }
      if (output.snapshot_request) {
        replica->SnapshotSaved(this->now, *output.snapshot_request);
      }
      if (!output.persist) return;
      replica->Persisted(this->now, output.persist->ticket);
    }
  }

  bool encode;
  Millis now;
  std::vector<Replica> replicas;
  std::deque<ConsensusMessage> queue;
};

// Arguments: number of voters, commands per batch, whether messages are
// encoded. Measures the time of the whole group for commands of 200 bytes.
void Proposal(benchmark::State& state) {
  ReplicaGroup group(static_cast<uint64_t>(state.range(0)),
                     state.range(2) != 0);
  const std::string command(200, 'x');
  const uint64_t before = group.committed;
  for (auto _ : state) {
    for (int64_t i = 0; i < state.range(1); ++i) group.Propose(command);
    group.RunUntilIdle();
  }
  const uint64_t committed = group.committed - before;
  if (committed != static_cast<uint64_t>(state.iterations() * state.range(1))) {
    state.SkipWithError("not every proposal was committed");
  }
  state.SetItemsProcessed(static_cast<int64_t>(committed));
}
BENCHMARK(Proposal)
    ->ArgNames({"voters", "batch", "encode"})
    ->Args({3, 1, 0})
    ->Args({3, 1, 1})
    ->Args({3, 64, 1})
    ->Args({9, 1, 1});

// Measures one heartbeat of the leader to all members, including their replies.
void Heartbeat(benchmark::State& state) {
  ReplicaGroup group(static_cast<uint64_t>(state.range(0)), true);
  const uint64_t before = group.messages;
  const uint64_t bytes_before = group.bytes;
  for (auto _ : state) group.Heartbeat();
  state.counters["bytes"] = static_cast<double>(group.bytes - bytes_before) /
                            static_cast<double>(state.iterations());
  state.counters["messages"] = static_cast<double>(group.messages - before) /
                               static_cast<double>(state.iterations());
}
BENCHMARK(Heartbeat)->ArgName("voters")->Arg(3)->Arg(9);

}  // namespace
}  // namespace cornelhill

BENCHMARK_MAIN();
