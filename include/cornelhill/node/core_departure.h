#pragma once

#include <functional>
#include <optional>

#include "cornelhill/base/millis.h"
#include "cornelhill/control/core_membership.h"
#include "cornelhill/node/control_log.h"
#include "cornelhill/node/runtime.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// The planned stop of a core member: it leaves the group if the group can spare
// it, hands over the lead and ends the process. On the leader, also the removal
// of others that stop. Runs on the event loop thread.
class CoreDeparture {
 public:
  // What this class needs from the core member.
  struct Core {
    // Returns null while there is no log.
    std::function<ControlLog*()> log;
    // Returns a message with the address and token of this member.
    std::function<CoreJoin()> identify;
    std::function<void(const NodeMessage&)> send_to_others;
    std::function<void()> publish_committed;
    // Erases the data directory and closes the log.
    std::function<void()> discard_log;
  };

  // `grace` is the time from the stop signal to the end of the process.
  CoreDeparture(Runtime& runtime, Millis grace, size_t min_voters, Core core);

  // Starts the stop of this process. Call at most once.
  void Start();
  bool Started() const { return this->started.has_value(); }

  // Another member asks this one, as the leader, to be removed.
  void OnRequest(const ReplicaStatus& status, MemberId member);

  // This member is no longer in the group. One that stops sends its last
  // messages and ends; another one can join again under a new ID.
  void OnRemoved(MemberId self);

 private:
  void Continue();
  void RequestRemoval(const ReplicaStatus& status, Millis elapsed);
  // Proposes the removal. Returns false if the group keeps the member.
  bool Remove(const ReplicaStatus& status, MemberId member);
  // Announces that this leader is stopping, so that the other members elect a
  // new one without waiting for the election timeout.
  void HandOver();

  Runtime& runtime;
  const Millis limit;
  const size_t min_voters;
  const CoreMembership membership;
  Core core;
  std::optional<Millis> started;
};

}  // namespace cornelhill
