#include "cornelhill/node/core_link.h"

#include <algorithm>
#include <utility>

#include "cornelhill/base/log.h"
#include "cornelhill/control/core_membership.h"
#include "node/dropped_message.h"

namespace cornelhill {

namespace {

constexpr Millis kHelloPeriod{1000};
// Until the first answer: messages are dropped while connections are made.
constexpr Millis kFirstHelloPeriod{100};
// Members that stay silent for longer are down or replaced.
constexpr Millis kFirstHelloTime{5000};
// Two periods and a round trip.
constexpr Millis kMemberSilence{2500};

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
      first_hello(runtime, kFirstHelloPeriod, [this] {
        if (!this->HeardAll()) this->SayFirstHello();
      }) {
  this->SetMembers({});
}

void CoreLink::Start() {
  this->started = MonotonicNow();
  this->runtime.Every(kHelloPeriod, [this] {
    this->SayHello();
    this->LogConnection();
  });
  this->SayFirstHello();
}

void CoreLink::SayFirstHello() {
  this->SayHello();
  this->first_hello.Arm();
}

bool CoreLink::HeardAll() const {
  const Millis now = MonotonicNow();
  return now - this->started > kFirstHelloTime ||
         std::all_of(this->members.begin(), this->members.end(),
                     [now](const auto& item) {
                       return now - item.second.heard < kMemberSilence;
                     });
}

void CoreLink::SetSeeds(const std::vector<Endpoint>& next) {
  this->seeds = next;
  this->SetMembers(std::vector<std::string>(this->member_texts));
}

void CoreLink::SayHello() {
  const Millis now = MonotonicNow();
  Hello hello = this->handlers.hello();
  for (const auto& [address, member] : this->members) {
    hello.directory = hello.balancer && this->AsksDirectory(address, now);
    this->socket.Send(address, Encode(NodeMessage(hello)));
  }
}

bool CoreLink::Connected() const {
  const Millis now = MonotonicNow();
  return std::any_of(this->members.begin(), this->members.end(),
                     [now](const auto& item) {
                       return now - item.second.heard < kMemberSilence;
                     });
}

// One member in the same failure domain is enough for the agents; where none
// answers, any other that does; where none does, all.
bool CoreLink::AsksDirectory(const Endpoint& address, Millis now) const {
  const Endpoint* chosen = nullptr;
  bool chosen_is_near = false;
  for (const auto& [candidate, member] : this->members) {
    if (now - member.heard > kMemberSilence) continue;
    const bool near = member.failure_domain == this->settings.failure_domain;
    if (chosen != nullptr && (chosen_is_near || !near)) continue;
    chosen = &candidate;
    chosen_is_near = near;
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
  if (member != this->members.end()) member->second.heard = MonotonicNow();
  if (!update->members.empty()) this->SetMembers(update->members);
  this->handlers.on_update(*update);
}

void CoreLink::SetMembers(const std::vector<std::string>& texts) {
  std::map<Endpoint, Member> next;
  this->member_texts = texts;
  for (const Endpoint& seed : this->seeds) {
    next[this->settings.CoreAddressOf(seed)];
  }
  for (const std::string& text : texts) {
    const Result<CoreAddress> address = ParseCoreAddress(text);
    if (!address.has_value()) continue;
    next[address.value().endpoint].failure_domain =
        address.value().failure_domain;
  }
  for (auto& [address, member] : next) {
    const auto known = this->members.find(address);
    if (known == this->members.end()) continue;
    member.heard = known->second.heard;
    if (member.failure_domain.empty()) {
      member.failure_domain = known->second.failure_domain;
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
  const bool present = this->Connected();
  if (present == this->connected) return;
  this->connected = present;
  LogLine(present ? "core_connected" : "core_lost")
      .Add("members", this->members.size());
}

}  // namespace cornelhill
