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
    return Fail(ErrorCode::kMalformed,
                "\"" + text + "\" is not an address, a domain and a token");
  }
  BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(text.substr(0, first)));
  CoreAddress out{endpoint, text.substr(first + 1, last - first - 1), 0};
  const std::string token = text.substr(last + 1);
  const auto [end, error] =
      std::from_chars(token.data(), token.data() + token.size(), out.token);
  if (error != std::errc() || end != token.data() + token.size()) {
    return Fail(ErrorCode::kMalformed, "\"" + token + "\" is not a token");
  }
  return out;
}

bool CoreMembership::SilentFor(Millis now, MemberId id, Millis period) const {
  const auto found = this->heard.find(id);
  return found != this->heard.end() && now - found->second > period;
}

bool CoreMembership::Replaced(MemberId id) const {
  const auto silent = this->heard.find(id);
  return silent != this->heard.end() &&
         std::any_of(this->voter_since.begin(), this->voter_since.end(),
                     [silent](const auto& item) {
                       return item.second > silent->second;
                     });
}

std::optional<MembershipChange> CoreMembership::Next(
    Millis now, const ReplicaStatus& status) {
  if (status.role != ReplicaRole::kLeader) {
    this->heard.clear();
    this->voter_since.clear();
    return std::nullopt;
  }
  for (const ReplicaMemberStatus& member : status.members) {
    const auto [found, added] = this->heard.try_emplace(member.member.id, now);
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
    if (!old.voter && this->SilentFor(now, old.id, kSilentLearner)) {
      return RemoveMember{old.id};
    }
    const Millis patience =
        this->Replaced(old.id) ? kSilentVoter : kSilentVoterAlone;
    if (old.voter && voters > kKeptVoters &&
        this->SilentFor(now, old.id, patience)) {
      return RemoveMember{old.id};
    }
  }
  return std::nullopt;
}

}  // namespace cornelhill
