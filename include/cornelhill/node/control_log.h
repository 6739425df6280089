#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/consensus/log_store.h"
#include "cornelhill/consensus/replica.h"
#include "cornelhill/control/control_state.h"

namespace cornelhill {

// The replicated log of a control instance, its on-disk store and its state
// machine. Not thread-safe; writes to disk on the calling thread.
class ControlLog {
 public:
  struct Handlers {
    std::function<void(const ConsensusMessage&)> send;
    // Called on every instance when a command has been applied.
    std::function<void(const Command&, const CommandResponse&)> on_applied;
    std::function<void(const RoleChange&)> on_role_change;
    // Called with the reason when the log has halted. This instance must stop
    // using it.
    std::function<void(const std::string&)> on_halt;
  };

  using ProposalCallback = std::function<void(const Result<CommandResponse>&)>;
  // Called with the start time of the confirmed round, or with `std::nullopt`
  // if a quorum cannot be reached.
  using ConfirmationCallback = std::function<void(std::optional<Millis>)>;

  // Opens the data directory. Fails with `kNotFound` if it holds no member's
  // files.
  static Result<std::unique_ptr<ControlLog>> Open(
      const std::string& directory, Millis now, uint64_t seed,
      Handlers handlers, ReplicaSettings settings = {});

  // Initializes the data directory of the first member of a new group. Fails
  // with `kConflict` if it already holds a member's files.
  static Result<void> Bootstrap(const std::string& directory,
                                const std::string& address);

  // Initializes the data directory of a member that joins a group.
  static Result<void> Join(const std::string& directory, MemberId self);

  void Tick(Millis now);
  void Step(Millis now, ConsensusMessage message);

  // Handles the announcement that `leader` is stopping. If it is the current
  // leader, an election may start at once.
  void LeaderStops(Millis now, MemberId leader);

  // Proposes a command. Calls `done` exactly once: with the response after a
  // quorum has synced the command, or with an error.
  void Propose(Millis now, const Command& command, ProposalCallback done);

  // Asks a quorum to confirm that this instance is the leader.
  void ConfirmLeadership(Millis now, ConfirmationCallback done);

  Result<ProposalId> ChangeMembership(Millis now,
                                      const MembershipChange& change);

  const ControlState& State() const { return this->state; }
  ReplicaStatus Status(Millis now) const { return this->replica.Status(now); }

 private:
  ControlLog(std::unique_ptr<LogStore> store, Replica replica,
             ControlState state, Handlers handlers);

  struct PendingProposal {
    Term term;
    ProposalCallback done;
  };

  struct PendingConfirmation {
    Millis round_started;
    ConfirmationCallback done;
  };

  void ProcessOutput(Millis now);
  bool ProcessOutputOnce(Millis now);
  void Apply(const LogEntry& entry);
  void FailProposals(const std::string& reason);
  void FailConfirmations();
  void Halt(const std::string& reason);

  std::unique_ptr<LogStore> store;
  Replica replica;
  ControlState state;
  Handlers handlers;
  std::map<LogIndex, PendingProposal> pending_proposals;
  std::map<ReadId, PendingConfirmation> pending_confirmations;
  uint64_t next_read_id = 1;
  bool halted = false;
};

}  // namespace cornelhill
