#include "cornelhill/node/core_departure.h"

#include <algorithm>
#include <utility>

#include "cornelhill/base/log.h"

namespace cornelhill {

namespace {

// Interval between requests to be removed.
constexpr Millis kRequestPeriod{50};
// Time after which a leader that cannot remove itself hands over.
constexpr Millis kLeaderRemovalTimeout{1000};
// Part of the grace period that is reserved for the exit of the process.
constexpr Millis kShutdownMargin{500};

}  // namespace

CoreDeparture::CoreDeparture(Runtime& runtime, Millis grace, size_t min_voters,
                             Core core)
    : runtime(runtime),
      limit(std::max(kDepartureDelay, grace - kShutdownMargin)),
      min_voters(min_voters),
      membership(min_voters),
      core(std::move(core)) {}

void CoreDeparture::Start() {
  this->started = MonotonicNow();
  ControlLog* log = this->core.log();
  if (log != nullptr) {
    const ReplicaStatus status = log->Status(*this->started);
    if (!this->Remove(status, status.self)) this->HandOver();
  }
  this->runtime.Every(kRequestPeriod, [this] { this->Continue(); });
}

void CoreDeparture::Continue() {
  const Millis elapsed = MonotonicNow() - *this->started;
  ControlLog* log = this->core.log();
  if (log == nullptr) {
    if (elapsed >= kDepartureDelay) this->runtime.Stop();
    return;
  }
  const ReplicaStatus status = log->Status(MonotonicNow());
  switch (NextDepartureStep(status, elapsed, this->limit, this->min_voters)) {
    case DepartureStep::kWait:
      return;
    case DepartureStep::kRequestRemoval:
      this->RequestRemoval(status, elapsed);
      return;
    case DepartureStep::kStop:
      if (FindMember(status.membership, status.self) == nullptr) {
        this->OnRemoved(status.self);
      } else {
        this->runtime.Stop();
      }
      return;
  }
}

void CoreDeparture::RequestRemoval(const ReplicaStatus& status,
                                   Millis elapsed) {
  if (status.role != ReplicaRole::kLeader) {
    CoreJoin request = this->core.identify();
    request.member = status.self.Value();
    request.leaving = true;
    this->core.send_to_others(request);
    return;
  }
  if (this->Remove(status, status.self)) return;
  if (elapsed >= kLeaderRemovalTimeout) this->HandOver();
}

void CoreDeparture::OnRequest(const ReplicaStatus& status, MemberId member) {
  this->Remove(status, member);
}

bool CoreDeparture::Remove(const ReplicaStatus& status, MemberId member) {
  const std::optional<MembershipChange> change =
      this->membership.ChangeForDeparture(status, member);
  if (!change.has_value()) return false;
  const bool proposed =
      this->core.log()->ChangeMembership(MonotonicNow(), *change).has_value();
  LogLine("member_leaves")
      .Add("member", member.Value())
      .Add("voters", VoterCount(status.membership))
      .Add("result", proposed ? "proposed" : "not proposed");
  this->core.publish_committed();
  return proposed;
}

void CoreDeparture::OnRemoved(MemberId self) {
  LogLine("member_was_removed").Warn().Add("member", self.Value());
  if (this->Started()) {
    this->started = MonotonicNow();
    this->core.send_to_others(CoreHandOver{self.Value()});
  }
  this->core.discard_log();
}

void CoreDeparture::HandOver() {
  const ReplicaStatus status = this->core.log()->Status(MonotonicNow());
  if (status.role != ReplicaRole::kLeader) return;
  this->core.send_to_others(CoreHandOver{status.self.Value()});
  LogLine("lead_handed_over").Add("term", status.term.Value());
}

}  // namespace cornelhill
