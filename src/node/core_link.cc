#include "cornelhill/node/core_link.h"

#include <algorithm>
#include <utility>

#include "cornelhill/base/log.h"
#include "cornelhill/control/core_membership.h"
#include "node/dropped_message.h"

namespace cornelhill {

namespace {

constexpr Millis kHelloPeriod{1000};
// Until every member has answered: messages are dropped while connections are
// being established.
constexpr Millis kInitialHelloPeriod{100};
// Members that have not answered after this time are down or replaced.
constexpr Millis kInitialHelloDuration{5000};
// Two hello periods and a round trip.
constexpr Millis kMemberTimeout{2500};

}  // namespace

CoreLink::CoreLink(Runtime& runtime, const NodeSettings& settings,
                   Handlers handlers)
    : runtime(runtime),
      settings(settings),
      seeds(settings.seeds),
      handlers(std::move(handlers)),
      socket(runtime.Io(),
             [this](const NodeSocket::Peer& peer, const std::string& bytes) {
               this->OnMessage(peer, bytes);
             }),
      initial_hello_timer(runtime, kInitialHelloPeriod, [this] {
        if (!this->AllMembersResponded()) this->SendInitialHello();
      }) {
  this->SetMembers({});
}

void CoreLink::Start() {
  this->started = MonotonicNow();
  this->runtime.Every(kHelloPeriod, [this] {
    this->LogConnection();
    if (this->connected) {
      this->SendHello();
    } else {
      this->started = MonotonicNow();
      this->SendInitialHello();
    }
  });
  this->SendInitialHello();
}

void CoreLink::SendInitialHello() {
  this->SendHello();
  this->initial_hello_timer.Arm();
}

bool CoreLink::AllMembersResponded() const {
  const Millis now = MonotonicNow();
  return now - this->started > kInitialHelloDuration ||
         std::all_of(this->members.begin(), this->members.end(),
                     [now](const auto& item) {
                       return now - item.second.last_heard < kMemberTimeout;
                     });
}

void CoreLink::SetSeeds(const std::vector<Endpoint>& next) {
  this->seeds = next;
  this->SetMembers(std::vector<std::string>(this->member_addresses));
}

void CoreLink::SendHello() {
  const Millis now = MonotonicNow();
  Hello hello = this->handlers.hello();
  for (const auto& [address, member] : this->members) {
    hello.directory =
        hello.balancer && this->ShouldRequestDirectory(address, now);
    this->socket.Send(address, Encode(NodeMessage(hello)));
  }
}

bool CoreLink::Connected() const {
  const Millis now = MonotonicNow();
  return std::any_of(this->members.begin(), this->members.end(),
                     [now](const auto& item) {
                       return now - item.second.last_heard < kMemberTimeout;
                     });
}

// The agents are requested from one member: one in the same failure domain, or
// any other if none there answers. If no member answers, all are asked.
bool CoreLink::ShouldRequestDirectory(const Endpoint& address,
                                      Millis now) const {
  const Endpoint* chosen = nullptr;
  bool chosen_in_domain = false;
  for (const auto& [candidate, member] : this->members) {
    if (now - member.last_heard > kMemberTimeout) continue;
    const bool in_domain =
        member.failure_domain == this->settings.failure_domain;
    if (chosen != nullptr && (chosen_in_domain || !in_domain)) continue;
    chosen = &candidate;
    chosen_in_domain = in_domain;
  }
  return chosen == nullptr || *chosen == address;
}

void CoreLink::OnMessage(const NodeSocket::Peer& peer,
                         const std::string& bytes) {
  const Result<NodeMessage> message = DecodeNodeMessage(bytes);
  if (!message.has_value()) {
    LogDropped(message.error());
    return;
  }
  const auto* update = std::get_if<Update>(&message.value());
  if (update == nullptr || !peer.address.has_value()) return;
  const auto member = this->members.find(*peer.address);
  if (member != this->members.end()) member->second.last_heard = MonotonicNow();
  if (!update->members.empty()) this->SetMembers(update->members);
  this->handlers.on_update(*update);
}

void CoreLink::SetMembers(const std::vector<std::string>& addresses) {
  std::map<Endpoint, Member> next;
  this->member_addresses = addresses;
  for (const Endpoint& seed : this->seeds) {
    next[this->settings.CoreAddressOf(seed)];
  }
  for (const std::string& text : addresses) {
    const Result<CoreAddress> address = ParseCoreAddress(text);
    if (!address.has_value()) continue;
    next[address.value().endpoint].failure_domain =
        address.value().failure_domain;
  }
  for (auto& [address, member] : next) {
    const auto previous = this->members.find(address);
    if (previous == this->members.end()) continue;
    member.last_heard = previous->second.last_heard;
    if (member.failure_domain.empty()) {
      member.failure_domain = previous->second.failure_domain;
    }
  }
  const bool changed = next.size() != this->members.size();
  this->members = std::move(next);
  if (!changed) return;
  this->socket.DisconnectUnless([this](const Endpoint& address) {
    return this->members.contains(address);
  });
}

void CoreLink::LogConnection() {
  const bool now_connected = this->Connected();
  if (now_connected == this->connected) return;
  this->connected = now_connected;
  LogLine(now_connected ? "core_connected" : "core_lost")
      .Add("members", this->members.size());
}

}  // namespace cornelhill
