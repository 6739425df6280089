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
    // A group of four has a quorum of three, so with an inactive voter it
    // tolerates no failure; without that voter it tolerates one.
    const bool is_surplus = voters == kMinVoters + 1;
    const Millis timeout = is_surplus || this->HasReplacement(old.id)
                               ? kReplacedVoterTimeout
                               : kUnreplacedVoterTimeout;
    if (old.voter && voters > kMinVoters &&
        this->InactiveLongerThan(now, old.id, timeout)) {
      return RemoveMember{old.id};
    }
  }
  return std::nullopt;
}

}  // namespace cornelhill
