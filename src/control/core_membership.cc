#include "cornelhill/control/core_membership.h"

#include <algorithm>
#include <charconv>

namespace cornelhill {

std::string ToString(const CoreAddress& address) {
  return ToString(address.endpoint) + "#" + address.failure_domain + "#" +
         std::to_string(address.token);
}

Result<CoreAddress> ParseCoreAddress(const std::string& text) {
  const size_t first = text.find('#');
  const size_t last = text.rfind('#');
  if (first == std::string::npos || first == last) {
    return Fail(
        ErrorCode::kMalformed,
        "address \"" + text + "\" does not have the form IP:PORT#DOMAIN#TOKEN");
  }
  BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(text.substr(0, first)));
  CoreAddress out{endpoint, text.substr(first + 1, last - first - 1), 0};
  const std::string token = text.substr(last + 1);
  const auto [end, error] =
      std::from_chars(token.data(), token.data() + token.size(), out.token);
  if (error != std::errc() || end != token.data() + token.size()) {
    return Fail(ErrorCode::kMalformed,
                "token \"" + token + "\" is not an unsigned 64-bit integer");
  }
  return out;
}

size_t MinVotersFor(size_t tolerated_failures) {
  return std::max(kMinVoters, 2 * tolerated_failures + 1);
}

DepartureStep NextDepartureStep(const ReplicaStatus& status, Millis elapsed,
                                Millis limit, size_t min_voters) {
  if (elapsed >= limit) return DepartureStep::kStop;
  const Membership& group = status.membership;
  const bool removed = FindMember(group, status.self) == nullptr;
  if (removed) {
    return status.change_in_flight ? DepartureStep::kWait
                                   : DepartureStep::kStop;
  }
  // A learner is about to become a voter, perhaps as the successor of this one.
  const bool has_learner = VoterCount(group) < group.members.size();
  if (has_learner || VoterCount(group) > min_voters) {
    return DepartureStep::kRequestRemoval;
  }
  return elapsed < kDepartureDelay ? DepartureStep::kWait
                                   : DepartureStep::kStop;
}

std::optional<MembershipChange> CoreMembership::ChangeForDeparture(
    const ReplicaStatus& status, MemberId id) const {
  if (status.role != ReplicaRole::kLeader || status.change_in_flight) {
    return std::nullopt;
  }
  const Member* member = FindMember(status.membership, id);
  if (member == nullptr) return std::nullopt;
  if (member->voter && VoterCount(status.membership) <= this->min_voters) {
    return std::nullopt;
  }
  return RemoveMember{id};
}

bool CoreMembership::InactiveLongerThan(Millis now, MemberId id,
                                        Millis timeout) const {
  const auto found = this->last_active.find(id);
  return found != this->last_active.end() && now - found->second > timeout;
}

bool CoreMembership::HasReplacement(MemberId id) const {
  const auto found = this->last_active.find(id);
  return found != this->last_active.end() &&
         std::any_of(
             this->voter_since.begin(), this->voter_since.end(),
             [found](const auto& item) { return item.second > found->second; });
}

std::optional<MembershipChange> CoreMembership::NextChange(
    Millis now, const ReplicaStatus& status) {
  if (status.role != ReplicaRole::kLeader) {
    this->last_active.clear();
    this->voter_since.clear();
    return std::nullopt;
  }
  for (const ReplicaMemberStatus& member : status.members) {
    const auto [found, added] =
        this->last_active.try_emplace(member.member.id, now);
    if (member.active || member.member.id == status.self) found->second = now;
    if (member.member.voter)
      this->voter_since.try_emplace(member.member.id, now);
  }
  if (status.change_in_flight) return std::nullopt;
  for (const ReplicaMemberStatus& member : status.members) {
    if (!member.member.voter && member.caught_up) {
      return PromoteLearner{member.member.id};
    }
  }
  const size_t voters = VoterCount(status.membership);
  for (const ReplicaMemberStatus& member : status.members) {
    const Member& old = member.member;
    if (old.id == status.self) continue;
    const Result<CoreAddress> address = ParseCoreAddress(old.address);
    for (const Member& next : status.membership.members) {
      const Result<CoreAddress> other = ParseCoreAddress(next.address);
      if (next.id > old.id && next.voter && address.has_value() &&
          other.has_value() &&
          address.value().endpoint == other.value().endpoint) {
        return RemoveMember{old.id};
      }
    }
    if (!old.voter && this->InactiveLongerThan(now, old.id, kLearnerTimeout)) {
      return RemoveMember{old.id};
    }
    const bool is_surplus = voters % 2 == 0;
    const Millis timeout = is_surplus || this->HasReplacement(old.id)
                               ? kReplacedVoterTimeout
                               : kUnreplacedVoterTimeout;
    if (old.voter && voters > this->min_voters &&
        this->InactiveLongerThan(now, old.id, timeout)) {
      return RemoveMember{old.id};
    }
  }
  return std::nullopt;
}

}  // namespace cornelhill
