#include "cornelhill/node/control_log.h"

#include <utility>
#include <vector>

#include "cornelhill/base/log.h"
#include "cornelhill/control/control_codec.h"

namespace cornelhill {

Result<void> ControlLog::Bootstrap(const std::string& directory,
                                   const std::string& address) {
  Membership membership;
  Member self;
  self.id = MemberId(1);
  self.voter = true;
  self.address = address;
  membership.members.push_back(self);
  membership.highest_id = self.id;
  return LogStore::Create(&PosixFileSystem(), directory, self.id, membership);
}

Result<void> ControlLog::Join(const std::string& directory, MemberId self) {
  return LogStore::Create(&PosixFileSystem(), directory, self, std::nullopt);
}

Result<std::unique_ptr<ControlLog>> ControlLog::Open(
    const std::string& directory, Millis now, uint64_t seed, Handlers handlers,
    ReplicaSettings settings) {
  BOOST_OUTCOME_TRY(
      store, LogStore::Open(LogStoreSettings{}, &PosixFileSystem(), directory,
                            std::nullopt));
  if (store->TruncatedBytes() > 0) {
    LogLine("log_tail_truncated")
        .Warn()
        .Add("bytes", store->TruncatedBytes())
        .Add("directory", directory);
  }
  BOOST_OUTCOME_TRY(snapshot, store->LoadSnapshot());
  ControlState state;
  if (snapshot.has_value()) {
    BOOST_OUTCOME_TRY(restored, ControlState::Restore(snapshot->data));
    state = std::move(restored);
  }
  BOOST_OUTCOME_TRY(replica,
                    Replica::Start(settings, store->TakeState(), seed, now));
  return std::unique_ptr<ControlLog>(
      new ControlLog(std::move(store), std::move(replica), std::move(state),
                     std::move(handlers)));
}

ControlLog::ControlLog(std::unique_ptr<LogStore> store, Replica replica,
                       ControlState state, Handlers handlers)
    : store(std::move(store)),
      replica(std::move(replica)),
      state(std::move(state)),
      handlers(std::move(handlers)) {}

void ControlLog::Tick(Millis now) {
  this->replica.Tick(now);
  this->ProcessOutput(now);
}

void ControlLog::Step(Millis now, ConsensusMessage message) {
  this->replica.Step(now, std::move(message));
  this->ProcessOutput(now);
}

void ControlLog::LeaderStops(Millis now, MemberId leader) {
  this->replica.LeaderStops(now, leader);
  this->ProcessOutput(now);
}

void ControlLog::Propose(Millis now, const Command& command,
                         ProposalCallback done) {
  if (this->halted) {
    done(Error{ErrorCode::kUnavailable, "the log of this instance has halted"});
    return;
  }
  const Result<ProposalId> proposal =
      this->replica.Propose(now, Encode(command));
  if (!proposal.has_value()) {
    done(proposal.error());
    return;
  }
  this->pending_proposals[proposal.value().index] = {proposal.value().term,
                                                     std::move(done)};
  this->ProcessOutput(now);
}

void ControlLog::ConfirmLeadership(Millis now, ConfirmationCallback done) {
  if (this->halted) {
    done(std::nullopt);
    return;
  }
  const ReadId id(this->next_read_id++);
  this->pending_confirmations[id] = {now, std::move(done)};
  this->replica.ConfirmRead(now, id);
  this->ProcessOutput(now);
}

Result<ProposalId> ControlLog::ChangeMembership(
    Millis now, const MembershipChange& change) {
  Result<ProposalId> proposal = this->replica.ProposeMembership(now, change);
  this->ProcessOutput(now);
  return proposal;
}

void ControlLog::ProcessOutput(Millis now) {
  while (!this->halted && this->ProcessOutputOnce(now)) {
  }
}

// Performs the actions that the replica requests. Returns whether the replica
// may have further output.
bool ControlLog::ProcessOutputOnce(Millis now) {
  ReplicaOutput output = this->replica.TakeOutput(now);
  if (!output.halt_reason.empty()) {
    this->Halt(output.halt_reason);
    return false;
  }
  bool more = false;
  for (const ConsensusMessage& message : output.messages) {
    this->handlers.send(message);
  }
  if (output.persist.has_value()) {
    const Result<void> written = this->store->Persist(*output.persist);
    if (!written.has_value()) {
      this->Halt(written.error().message);
      return false;
    }
    this->replica.Persisted(now, output.persist->ticket);
    more = true;
  }
  if (output.restore.has_value()) {
    Result<ControlState> restored = ControlState::Restore(output.restore->data);
    if (!restored.has_value()) {
      this->Halt(restored.error().message);
      return false;
    }
    this->state = std::move(restored.value());
  }
  for (const LogEntry& entry : output.committed) this->Apply(entry);
  for (const ReadConfirmed& read : output.reads_confirmed) {
    const auto pending = this->pending_confirmations.extract(read.id);
    if (!pending.empty()) pending.mapped().done(pending.mapped().round_started);
  }
  for (const ReadId id : output.reads_failed) {
    const auto pending = this->pending_confirmations.extract(id);
    if (!pending.empty()) pending.mapped().done(std::nullopt);
  }
  if (output.snapshot_request.has_value()) {
    const Result<SnapshotMeta> saved = this->store->SaveSnapshot(
        *output.snapshot_request, this->state.Snapshot());
    if (!saved.has_value()) {
      this->Halt(saved.error().message);
      return false;
    }
    this->replica.SnapshotSaved(now, saved.value());
    more = true;
  }
  for (const SnapshotRead& read : output.snapshot_reads) {
    Result<std::optional<std::string>> data =
        this->store->ReadSnapshot(read.index, read.offset, read.size);
    if (!data.has_value()) {
      this->Halt(data.error().message);
      return false;
    }
    this->replica.SnapshotChunkRead(now, read, std::move(data.value()));
    more = true;
  }
  for (const RoleChange& change : output.role_changes) {
    if (change.role != ReplicaRole::kLeader) {
      this->FailProposals("this instance is no longer the leader");
    }
    this->handlers.on_role_change(change);
  }
  return more;
}

void ControlLog::Apply(const LogEntry& entry) {
  const Revision revision(entry.index);
  Result<CommandResponse> response = CommandResponse{};
  if (entry.kind == EntryKind::kCommand) {
    const Result<Command> command = DecodeCommand(entry.data);
    if (!command.has_value()) {
      this->Halt("log entry " + std::to_string(entry.index) + ": " +
                 command.error().message);
      return;
    }
    response = this->state.Apply(revision, command.value());
    this->handlers.on_applied(command.value(), response.value());
  } else {
    this->state.Skip(revision);
  }
  const auto pending = this->pending_proposals.extract(entry.index);
  if (pending.empty()) return;
  if (pending.mapped().term == entry.term) {
    pending.mapped().done(response);
  } else {
    pending.mapped().done(Error{ErrorCode::kUnavailable,
                                "another leader overwrote the log entry"});
  }
}

void ControlLog::FailProposals(const std::string& reason) {
  std::map<LogIndex, PendingProposal> failed;
  failed.swap(this->pending_proposals);
  for (auto& [index, pending] : failed) {
    pending.done(Error{ErrorCode::kUnavailable, reason});
  }
}

void ControlLog::FailConfirmations() {
  std::map<ReadId, PendingConfirmation> failed;
  failed.swap(this->pending_confirmations);
  for (auto& [id, pending] : failed) pending.done(std::nullopt);
}

void ControlLog::Halt(const std::string& reason) {
  this->halted = true;
  this->FailProposals(reason);
  this->FailConfirmations();
  this->handlers.on_halt(reason);
}

}  // namespace cornelhill
