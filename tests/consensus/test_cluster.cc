#include "test_cluster.h"

#include <algorithm>

namespace cornelhill {

namespace {

constexpr std::string_view kDirectory = "data";

// Small limits, so that a short run reaches each of them.
ReplicaSettings TestSettings() {
  ReplicaSettings settings;
  settings.election_timeout = Millis(150);
  settings.heartbeat = Millis(30);
  settings.max_append_bytes = 150;
  settings.max_in_flight_bytes = 400;
  settings.max_uncommitted_bytes = 4000;
  settings.snapshot_chunk_bytes = 32;
  settings.snapshot_after_entries = 15;
  settings.keep_entries = 4;
  return settings;
}

using Registers = std::map<std::string, std::string>;

// A register is a key of one byte and a value of eight bytes.
std::string Serialize(const Registers& registers) {
  std::string data;
  for (const auto& [key, value] : registers) data += key + value;
  return data;
}

Registers Deserialize(std::string_view data) {
  Registers registers;
  for (; !data.empty(); data.remove_prefix(9)) {
    registers[std::string(data.substr(0, 1))] = data.substr(1, 8);
  }
  return registers;
}

}  // namespace

TestCluster::TestCluster(uint64_t seed, size_t voters)
    : random(seed), voters(voters) {
  this->committed.resize(1);
  this->model_at.resize(1);
  for (uint64_t id = 1; id <= voters; ++id) {
    this->membership.members.push_back({MemberId(id), true, 1, ""});
    this->membership.highest_id = MemberId(id);
  }
  const Membership bootstrap = this->membership;
  for (const Member& member : bootstrap.members) {
    this->AddNode(member.id, bootstrap);
  }
}

void TestCluster::Fail(const std::string& what) {
  if (this->violation.empty()) {
    this->violation = what + " at " + std::to_string(this->now.Count()) + " ms";
  }
}

TestCluster::Node& TestCluster::AddNode(
    MemberId id, const std::optional<Membership>& bootstrap) {
  auto& node = this->nodes[id];
  node = std::make_unique<Node>();
  node->id = id;
  node->disk = std::make_unique<MemoryFileSystem>(this->random.Next());
  node->disk->SetShortWrites(0.1);
  if (LogStore::Create(node->disk.get(), std::string(kDirectory), id, bootstrap)
          .has_error()) {
    this->Fail("a data directory was not created");
  }
  this->Restart(node.get());
  return *node;
}

void TestCluster::Restart(Node* node) {
  node->paused = false;
  LogStoreSettings settings;
  settings.segment_bytes = 300;
  auto store = LogStore::Open(settings, node->disk.get(),
                              std::string(kDirectory), node->id);
  if (store.has_error()) {
    this->Fail("open failed: " + store.error().message);
    return;
  }
  node->store = std::move(store.value());
  const auto snapshot = node->store->LoadSnapshot();
  node->registers.clear();
  node->applied = 0;
  if (snapshot.value()) {
    node->applied = snapshot.value()->meta.index;
    node->registers = Deserialize(snapshot.value()->data);
  }
  auto replica = Replica::Start(TestSettings(), node->store->TakeState(),
                                this->random.Next(), this->now);
  if (replica.has_error()) {
    this->Fail("start failed: " + replica.error().message);
    return;
  }
  node->replica.emplace(std::move(replica.value()));
  this->HandleOutput(node);
}

void TestCluster::Crash(Node* node, bool power) {
  node->replica.reset();
  node->store.reset();
  node->persisting.clear();
  node->writes.clear();
  node->disk_stalled = false;
  if (power) {
    node->disk->LosePower();
  } else {
    node->disk->RestartProcess();
  }
}

TestCluster::Node* TestCluster::Leader() {
  Node* leader = nullptr;
  for (auto& [id, node] : this->nodes) {
    if (!node->replica || node->paused) continue;
    const ReplicaStatus status = node->replica->Status(this->now);
    if (status.role != ReplicaRole::kLeader) continue;
    if (leader == nullptr ||
        status.term > leader->replica->Status(this->now).term) {
      leader = node.get();
    }
  }
  return leader;
}

std::optional<ProposalId> TestCluster::Write(Node* node) {
  std::string value = std::to_string(this->next_value++);
  value.insert(0, 8 - value.size(), '0');
  const std::string command =
      std::string(1, static_cast<char>('a' + this->random.Below(5))) + value;
  const auto id = node->replica->Propose(this->now, command);
  if (id.has_error()) return std::nullopt;
  node->writes[id.value()] = command;
  this->HandleOutput(node);
  return id.value();
}

ReadId TestCluster::Read(Node* node) {
  const ReadId id(this->next_read++);
  this->reads[id] = {this->acknowledged_index};
  node->replica->ConfirmRead(this->now, id);
  this->HandleOutput(node);
  return id;
}

void TestCluster::Isolate(uint64_t id) {
  for (const auto& [other, node] : this->nodes) {
    this->Block(id, other.Value());
    this->Block(other.Value(), id);
  }
}

void TestCluster::Apply(Node* node, const LogEntry& entry) {
  if (entry.index != ++node->applied) {
    this->Fail("entries were applied out of order");
    return;
  }
  if (entry.kind == EntryKind::kCommand) {
    node->registers[entry.data.substr(0, 1)] = entry.data.substr(1);
  }
  if (entry.index < this->committed.size()) {
    if (this->committed[entry.index] != entry) {
      this->Fail("committed entry " + std::to_string(entry.index) + " changed");
    }
  } else {
    this->committed.push_back(entry);
    if (entry.kind == EntryKind::kCommand) {
      this->model.Put(entry.data.substr(0, 1), entry.data.substr(1));
    } else if (entry.kind == EntryKind::kMembership) {
      this->membership = DecodeMembership(entry.data).value();
      this->membership_index = entry.index;
    }
    this->model_at.push_back(this->model.Values());
  }
  if (node->registers != this->model_at[entry.index]) {
    this->Fail("the registers differ from the single-copy model");
  }
  const auto write = node->writes.find({entry.index, entry.term});
  if (write != node->writes.end()) {
    if (write->second != entry.data) this->Fail("a write changed");
    ++this->acknowledged;
    this->last_acknowledged = std::max(this->last_acknowledged, entry.index);
    auto& index = this->acknowledged_index[entry.data.substr(0, 1)];
    index = std::max(index, entry.index);
    node->writes.erase(write);
  }
}

void TestCluster::HandleOutput(Node* node) {
  ReplicaOutput output = node->replica->TakeOutput(this->now);
  node->change_in_flight = node->replica->Status(this->now).change_in_flight;
  for (const RoleChange& change : output.role_changes) {
    if (change.role != ReplicaRole::kLeader) continue;
    const auto [known, added] = this->leaders.emplace(change.term, node->id);
    if (known->second != node->id) this->Fail("a term has two leaders");
  }
  for (const ConsensusMessage& message : output.messages) {
    this->Send(message, this->rates);
  }
  if (output.persist) {
    const bool slow = this->random.Chance(this->rates.slow_disk);
    Millis done = this->now + Millis(static_cast<int64_t>(this->random.Below(
                                  slow ? 400 : 2 * kStep.Count())));
    if (!node->persisting.empty()) {
      done = std::max(done, node->persisting.back().first);
    }
    node->persisting.emplace_back(done, std::move(*output.persist));
  }
  if (output.restore) {
    ++this->restored;
    node->applied = output.restore->meta.index;
    node->registers = Deserialize(output.restore->data);
    if (node->applied >= this->committed.size() ||
        node->registers != this->model_at[node->applied]) {
      this->Fail("a snapshot differs from the single-copy model");
    }
  }
  for (const LogEntry& entry : output.committed) this->Apply(node, entry);
  for (const ReadConfirmed& read : output.reads_confirmed) {
    for (const auto& [key, minimum_index] :
         this->reads.at(read.id).minimum_index) {
      if (node->applied < minimum_index || node->applied < read.index) {
        this->Fail("a confirmed read is stale");
      }
    }
    this->confirmed.insert(read.id);
  }
  this->failed.insert(output.reads_failed.begin(), output.reads_failed.end());
  if (!output.halt_reason.empty()) node->halt_reason = output.halt_reason;
  bool again = false;
  if (output.snapshot_request) {
    auto meta = node->store->SaveSnapshot(*output.snapshot_request,
                                          Serialize(node->registers));
    if (meta.has_value()) {
      node->replica->SnapshotSaved(this->now, meta.value());
      again = true;
    }
  }
  for (const SnapshotRead& read : output.snapshot_reads) {
    auto data = node->store->ReadSnapshot(read.index, read.offset, read.size);
    if (data.has_error()) continue;
    node->replica->SnapshotChunkRead(this->now, read, std::move(data.value()));
    again = true;
  }
  if (again) this->HandleOutput(node);
}

void TestCluster::Send(const ConsensusMessage& message,
                       const FaultRates& rates) {
  if (this->blocked.contains({message.from, message.to})) return;
  if (this->random.Chance(rates.loss)) return;
  const int copies = this->random.Chance(rates.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const uint64_t longest = this->random.Chance(rates.long_delay) ? 500 : 15;
    this->network.emplace(
        this->now +
            Millis(1 + static_cast<int64_t>(this->random.Below(longest))),
        message);
  }
}

bool TestCluster::HasSpareVoter() {
  size_t lost = 0;
  for (const Member& member : this->membership.members) {
    if (member.voter && this->nodes.at(member.id)->disk_lost) ++lost;
  }
  return lost < (VoterCount(this->membership) - 1) / 2;
}

bool TestCluster::MayLoseDisk(const Node& node) {
  if (!IsVoter(this->membership, node.id) || node.disk_lost) return false;
  for (const auto& [id, other] : this->nodes) {
    // An uncommitted membership may tolerate fewer faults. It may exist only on
    // a member that is down or in a message.
    if (other->change_in_flight && !other->disk_lost) return false;
  }
  for (const auto& [time, message] : this->network) {
    const auto* append = std::get_if<Append>(&message.body);
    if (append == nullptr) continue;
    for (const LogEntry& entry : append->entries) {
      if (entry.kind == EntryKind::kMembership &&
          entry.index > this->membership_index) {
        return false;
      }
    }
  }
  return this->HasSpareVoter();
}

void TestCluster::InjectFaults(const FaultRates& rates) {
  if (this->random.Chance(rates.one_way_partition)) {
    auto pick = [this] {
      auto item = this->nodes.begin();
      std::advance(item, this->random.Below(this->nodes.size()));
      return item->first;
    };
    const MemberId from = pick();
    // Half of the time, blocks one direction of all links of a member.
    const bool all = this->random.Chance(0.5);
    const bool outward = this->random.Chance(0.5);
    const MemberId to = pick();
    for (const auto& [other, node] : this->nodes) {
      if (!all && other != to) continue;
      const auto link =
          outward ? std::pair(from, other) : std::pair(other, from);
      this->blocked[link] =
          this->now + Millis(static_cast<int64_t>(this->random.Below(1200)));
    }
  }
  std::erase_if(this->blocked,
                [this](const auto& item) { return item.second <= this->now; });
  bool lose_disk_after_repair = this->lose_disk_after_repair;
  for (auto& [id, node] : this->nodes) {
    if (!node->replica || node->paused) continue;
    const Millis back =
        this->now + Millis(static_cast<int64_t>(this->random.Below(800)));
    if (this->random.Chance(rates.crash)) {
      this->Crash(node.get(), this->random.Chance(0.5));
      node->resume_at = back;
    } else if (this->random.Chance(rates.crash_in_write)) {
      node->disk->CrashAfter(this->random.Below(12));
    } else if (this->random.Chance(rates.pause)) {
      node->paused = true;
      node->resume_at = back;
    } else if ((lose_disk_after_repair ||
                this->random.Chance(rates.lose_disk)) &&
               this->MayLoseDisk(*node)) {
      this->Crash(node.get(), true);
      node->disk->LoseDisk();
      node->disk_lost = true;
      this->lose_disk_after_repair = false;
      lose_disk_after_repair = false;
    }
  }
}

bool TestCluster::Propose(Node* node, const MembershipChange& change) {
  if (node->replica->ProposeMembership(this->now, change).has_error()) {
    return false;
  }
  const auto* add = std::get_if<AddLearner>(&change);
  if (add != nullptr && !this->nodes.contains(add->id)) {
    this->AddNode(add->id, std::nullopt);
  }
  return true;
}

void TestCluster::Repair() {
  Node* leader = this->Leader();
  if (leader == nullptr) return;
  const ReplicaStatus status = leader->replica->Status(this->now);
  // Removes a lost voter, then adds a learner and promotes it.
  std::optional<MembershipChange> change;
  for (const Member& member : status.membership.members) {
    if (this->nodes.at(member.id)->disk_lost) {
      change = RemoveMember{member.id};
    }
  }
  for (const Member& member : status.membership.members) {
    if (!change && !member.voter) change = PromoteLearner{member.id};
  }
  if (!change && VoterCount(status.membership) < this->voters) {
    change = AddLearner{MemberId(status.membership.highest_id.Value() + 1), ""};
  }
  if (!change) return;
  if (!this->Propose(leader, *change)) return;
  if (std::holds_alternative<PromoteLearner>(*change)) {
    ++this->repairs;
    // Sometimes a second disk is lost right after the repair.
    this->lose_disk_after_repair =
        this->random.Chance(0.3) && this->rates.lose_disk > 0;
  }
  this->HandleOutput(leader);
}

void TestCluster::SubmitRequests() {
  for (auto& [id, node] : this->nodes) {
    if (!node->replica || node->paused) continue;
    // Single writes, and bursts that fill the flow-control windows.
    if (this->random.Chance(0.1)) {
      uint64_t burst = this->random.Chance(0.1) ? 30 : 1;
      while (burst-- > 0 && this->Write(node.get())) {
      }
    }
    if (this->random.Chance(0.05)) this->Read(node.get());
    if (!this->random.Chance(this->rates.churn)) continue;
    // Two concurrent operators, at any member that considers itself the leader.
    this->ProposeRandomChange(node.get());
    this->ProposeRandomChange(node.get());
  }
}

void TestCluster::ProposeRandomChange(Node* node) {
  const Membership members = node->replica->Status(this->now).membership;
  if (members.members.empty()) return;
  MembershipChange change = RemoveMember{
      members.members[this->random.Below(members.members.size())].id};
  // The operator follows the warning of the tool. A removal counts as a fault:
  // if the spare voters were lost at the same time, the quorum would be lost
  // permanently.
  const auto spare = node->replica->FaultsToleratedAfter(this->now, change);
  if (spare.has_error() || spare.value() < 1 || !this->HasSpareVoter()) {
    change = AddLearner{MemberId(members.highest_id.Value() + 1), ""};
  }
  if (this->Propose(node, change)) this->HandleOutput(node);
}

void TestCluster::Step(const FaultRates& rates) {
  this->rates = rates;
  this->now += kStep;
  this->InjectFaults(rates);
  // Runs first, so that a member that was paused receives requests before it
  // receives messages.
  this->SubmitRequests();
  if (this->repair && this->random.Chance(0.2)) this->Repair();
  while (!this->network.empty() && this->network.begin()->first <= this->now) {
    ConsensusMessage message = std::move(this->network.begin()->second);
    this->network.erase(this->network.begin());
    const auto found = this->nodes.find(message.to);
    if (found == this->nodes.end() || !found->second->replica) continue;
    if (found->second->paused) {
      this->network.emplace(found->second->resume_at + kStep,
                            std::move(message));
      continue;
    }
    found->second->replica->Step(this->now, std::move(message));
    this->HandleOutput(found->second.get());
  }
  for (auto& [id, node] : this->nodes) {
    if (!node->replica || node->paused) {
      if (this->now >= node->resume_at && !node->disk_lost) {
        node->paused = false;
        if (!node->replica) this->Restart(node.get());
      }
      continue;
    }
    while (!node->persisting.empty() && !node->disk_stalled &&
           node->persisting.front().first <= this->now) {
      const PersistRequest request = std::move(node->persisting.front().second);
      node->persisting.pop_front();
      if (node->store->Persist(request).has_error()) break;
      node->replica->Persisted(this->now, request.ticket);
      this->HandleOutput(node.get());
    }
    if (node->disk->Crashed()) {
      this->Crash(node.get(), this->random.Chance(0.7));
      node->resume_at =
          this->now + Millis(static_cast<int64_t>(this->random.Below(400)));
      continue;
    }
    node->replica->Tick(this->now);
    this->HandleOutput(node.get());
  }
}

void TestCluster::Run(Millis time, const FaultRates& rates) {
  const Millis end = this->now + time;
  while (this->now < end && this->violation.empty()) this->Step(rates);
}

std::string TestCluster::Describe() {
  std::string text;
  for (auto& [id, node] : this->nodes) {
    text += " [" + std::to_string(id.Value());
    if (node->disk_lost) text += " disk lost";
    if (node->replica) {
      const ReplicaStatus status = node->replica->Status(this->now);
      text.append(" ").append(ToString(status.role));
      text += " term=" + std::to_string(status.term.Value());
      text += " last=" + std::to_string(status.last_index);
      text += " commit=" + std::to_string(status.commit_index);
      text += " members=";
      for (const Member& member : status.membership.members) {
        text += std::to_string(member.id.Value()) + (member.voter ? "v" : "l");
      }
    }
    text += "]";
  }
  return text;
}

void TestCluster::HealAndConverge() {
  this->Unblock();
  this->lose_disk_after_repair = false;
  for (auto& [id, node] : this->nodes) {
    node->paused = false;
    node->disk_stalled = false;
    if (!node->replica && !node->disk_lost) this->Restart(node.get());
  }
  const Millis limit = this->now + Millis(20000);
  const LogIndex target =
      std::max<LogIndex>(this->committed.size(), this->last_acknowledged + 1);
  while (this->violation.empty()) {
    this->Step({});
    bool converged = this->Leader() != nullptr;
    for (const Member& member : this->membership.members) {
      const Node& node = *this->nodes.at(member.id);
      converged = converged && !node.disk_lost && node.applied >= target;
      if (!node.halt_reason.empty()) {
        this->Fail("a member halted: " + node.halt_reason);
      }
    }
    if (converged) return;
    if (this->now >= limit) {
      this->Fail("the members did not converge:" + this->Describe());
    }
  }
}

}  // namespace cornelhill
