#include <algorithm>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/log.h"
#include "cornelhill/base/random.h"
#include "cornelhill/consensus/consensus_codec.h"
#include "cornelhill/control/core_membership.h"
#include "cornelhill/control/founding_agreement.h"
#include "cornelhill/node/connected_daemons.h"
#include "cornelhill/node/control_log.h"
#include "cornelhill/node/core_departure.h"
#include "cornelhill/node/http_server.h"
#include "cornelhill/node/node_metrics.h"
#include "cornelhill/node/node_roles.h"
#include "cornelhill/node/node_socket.h"
#include "cornelhill/node/operator_api.h"
#include "cornelhill/node/runtime.h"
#include "cornelhill/node/settings_watch.h"
#include "cornelhill/segment/listener_table.h"
#include "node/dropped_message.h"

namespace cornelhill {

namespace {

// A quarter of the heartbeat interval of the replicated log.
constexpr Millis kTickPeriod{25};
// Short, since no order is acknowledged until enough members are voters.
constexpr Millis kMembershipPeriod{100};
constexpr Millis kJoinPeriod{200};
// Links between failure domains have a latency of 3 to 6 ms and drop single
// packets. A write whose sender retries at another instance must be delayed by
// one second at most.
constexpr Millis kElectionTimeout{500};
constexpr Millis kStartupElectionTimeout{60};
constexpr Millis kHeartbeat{100};
// A member that knows no leader for this long asks whether it was removed.
constexpr Millis kRemovalCheckDelay{4000};
// A twentieth of the memory for the log entries before a snapshot, and another
// one for those after it.
constexpr size_t kMemoryPerLogBudget = 20;
// Interval between attempts to reopen a log after a disk error.
constexpr Millis kReopenPeriod{500};

class CoreRole {
 public:
  CoreRole(const NodeSettings& settings, const PlatformFormats& formats)
      : settings(settings),
        formats(formats),
        token(RandomSeed()),
        socket(runtime.Io(),
               [this](const NodeSocket::Peer& peer, const std::string& bytes) {
                 this->OnMessage(peer, bytes);
               }),
        http(runtime.Io(),
             [this](const HttpRequest& request,
                    const HttpServer::Respond& respond) {
               this->operator_api.OnRequest(request, respond);
             }),
        seeds(settings.seeds),
        settings_watch(runtime, settings,
                       [this](const auto& changed) { this->seeds = changed; }),
        metrics(runtime.Io(), "core"),
        daemons(MonotonicNow(),
                {[this](const NodeSocket::Peer& peer, const Update& update) {
                   this->socket.Reply(peer, Encode(NodeMessage(update)));
                 },
                 [this] { return this->MemberAddresses(); }}),
        operator_api(settings, formats, metrics,
                     {[this] { return this->log.get(); },
                      [this] { return this->IsLeader(); },
                      [this] { this->PublishCommitted(); },
                      [this] { return this->MemberAddresses(); }},
                     this->token) {}

  Result<void> Run() {
    BOOST_OUTCOME_TRY(this->socket.Bind(this->settings.CoreAddress()));
    BOOST_OUTCOME_TRY(this->http.Listen(*this->settings.operators));
    this->OpenLog();
    if (this->log == nullptr && this->MayBootstrap()) this->Bootstrap();
    for (const Endpoint& address : this->OtherCores()) {
      this->socket.Connect(address);
    }
    this->settings_watch.Start();
    BOOST_OUTCOME_TRY(this->metrics.Start(this->settings.metrics,
                                          [this] { this->SetGauges(); }));
    this->runtime.Every(kTickPeriod, [this] { this->Tick(); });
    this->runtime.Every(kMembershipPeriod,
                        [this] { this->RepairMembership(); });
    this->runtime.Every(kJoinPeriod, [this] {
      this->RequestMembers();
      this->RequestJoin();
    });
    this->runtime.Every(kReopenPeriod, [this] { this->Reopen(); });
    this->runtime.OnDrain([this] {
      this->operator_api.Drain();
      this->departure.Start();
    });
    LogLine("process_started")
        .Add("role", "core")
        .Add("address", ToString(this->settings.CoreAddress()))
        .Add("joining", this->log == nullptr ? 1 : 0);
    this->runtime.Run();
    EndProcess("core");
  }

 private:
  // Startup, joining the group and recovery from disk errors.

  const std::string& Directory() const { return this->settings.data_directory; }

  bool MayBootstrap() const {
    return this->settings.bootstrap && this->directory_empty &&
           !this->settings.seeds.empty() &&
           this->settings.seeds.front() == *this->settings.operators;
  }

  void Bootstrap() {
    const Result<void> created =
        ControlLog::Bootstrap(this->Directory(), ToString(this->SelfAddress()));
    if (!created.has_value()) {
      LogLine("bootstrap_failed")
          .Error()
          .Add("detail", created.error().message);
      return;
    }
    LogLine("group_bootstrapped");
    this->OpenLog();
  }

  CoreJoin Identify() const {
    CoreJoin join;
    join.address = ToString(this->SelfAddress());
    join.token = this->token;
    return join;
  }

  CoreAddress SelfAddress() const {
    return {this->settings.CoreAddress(), this->settings.failure_domain,
            this->token};
  }

  void OpenLog() {
    // Without a data directory this process only redirects requests.
    if (this->Directory().empty()) return;
    std::error_code error;
    std::filesystem::create_directories(this->Directory(), error);
    if (error) {
      LogLine("disk_failed").Warn().Add("detail", error.message());
      this->reopen_pending = true;
      return;
    }
    const Millis now = MonotonicNow();
    ReplicaSettings replica_settings;
    replica_settings.election_timeout = kElectionTimeout;
    replica_settings.startup_timeout = kStartupElectionTimeout;
    replica_settings.heartbeat = kHeartbeat;
    const size_t log_budget =
        (this->settings.memory_mb << 20) / kMemoryPerLogBudget;
    replica_settings.snapshot_after_bytes = log_budget;
    replica_settings.keep_bytes = log_budget;
    Result<std::unique_ptr<ControlLog>> opened =
        ControlLog::Open(this->Directory(), now, this->token,
                         this->ControlLogHandlers(), replica_settings);
    this->directory_empty =
        !opened.has_value() && opened.error().code == ErrorCode::kNotFound;
    this->reopen_pending = !opened.has_value() && !this->directory_empty;
    if (!opened.has_value()) {
      LogLine("log_not_opened").Warn().Add("detail", opened.error().message);
      if (opened.error().code == ErrorCode::kCorrupt) this->DiscardLog();
      return;
    }
    this->log = std::move(opened.value());
    this->was_member = true;
    this->leader_last_known = now;
    this->PublishCommitted();
    LogLine("log_opened")
        .Add("member", this->log->Status(now).self.Value())
        .Add("listener_version", this->daemons.Listeners().Version());
  }

  ControlLog::Handlers ControlLogHandlers() {
    return {[this](const ConsensusMessage& message) {
              this->SendConsensus(message);
            },
            [](const Command&, const CommandResponse&) {},
            [this](const RoleChange& change) { this->OnRoleChange(change); },
            [this](const std::string& reason) {
              this->halt_reason = reason;
              this->reopen_pending = true;
            }};
  }

  // Erases the data directory after its files became unreadable or its member
  // was removed from the group. This process then joins as a new member.
  void DiscardLog() {
    this->log.reset();
    std::error_code error;
    for (const auto& entry :
         std::filesystem::directory_iterator(this->Directory(), error)) {
      std::error_code ignored;
      std::filesystem::remove_all(entry.path(), ignored);
    }
    this->token = RandomSeed();
    this->directory_empty = true;
    this->reopen_pending = false;
    LogLine("log_discarded").Warn();
  }

  void Reopen() {
    if (!this->reopen_pending) return;
    if (!this->halt_reason.empty()) {
      LogLine("log_halted").Error().Add("reason", this->halt_reason);
      this->halt_reason.clear();
    }
    this->log.reset();
    this->OpenLog();
  }

  void RequestJoin() {
    if (this->departure.Started()) return;
    const Millis now = MonotonicNow();
    CoreJoin join = this->Identify();
    if (this->log != nullptr) {
      const ReplicaStatus status = this->log->Status(now);
      if (status.leader != MemberId()) this->leader_last_known = now;
      if (now - this->leader_last_known < kRemovalCheckDelay) return;
      join.member = status.self.Value();
    } else if (!this->directory_empty) {
      return;
    } else {
      join.founding = this->settings.bootstrap && !this->was_member;
    }
    this->SendToOthers(join);
  }

  // A process without a log learns the members from those that have one.
  void RequestMembers() {
    if (this->log != nullptr) return;
    this->SendToOthers(Hello());
  }

  void OnUpdate(const Update& update) {
    if (this->log == nullptr && !update.members.empty()) {
      this->reported_members = update.members;
    }
  }

  std::vector<Endpoint> OtherCores() const {
    std::vector<Endpoint> out;
    for (const Endpoint& seed_address : this->seeds) {
      out.push_back(this->settings.CoreAddressOf(seed_address));
    }
    for (const std::string& text : this->MemberAddresses()) {
      const Result<CoreAddress> address = ParseCoreAddress(text);
      if (address.has_value()) out.push_back(address.value().endpoint);
    }
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    std::erase(out, this->settings.CoreAddress());
    return out;
  }

  // The first seed may have been restarted before it founded the group, without
  // the setting `bootstrap`. It founds the group nevertheless if all other
  // seeds state that they take part in the first start and were never members.
  void FoundIfAllSeedsAgree(const CoreJoin& join) {
    const Result<CoreAddress> from = ParseCoreAddress(join.address);
    if (!join.founding || !from.has_value() || this->was_member ||
        !this->directory_empty || this->seeds.empty() ||
        this->seeds.front() != *this->settings.operators) {
      return;
    }
    const Millis now = MonotonicNow();
    this->founding.Note(now, from.value().endpoint);
    std::vector<Endpoint> others;
    for (size_t i = 1; i < this->seeds.size(); ++i) {
      others.push_back(this->settings.CoreAddressOf(this->seeds[i]));
    }
    if (this->founding.AllAgree(now, others)) this->Bootstrap();
  }

  void OnJoin(const NodeSocket::Peer& peer, const CoreJoin& join) {
    if (this->log == nullptr) {
      this->FoundIfAllSeedsAgree(join);
      return;
    }
    const Millis now = MonotonicNow();
    const ReplicaStatus status = this->log->Status(now);
    if (status.role != ReplicaRole::kLeader || status.change_in_flight) return;
    CoreJoinReply reply{join.token, 0, false, {}};
    if (join.member != 0) {
      const MemberId asked(join.member);
      if (asked > status.membership.highest_id) return;
      if (FindMember(status.membership, asked) != nullptr) {
        if (join.leaving) this->departure.OnRequest(status, asked);
        return;
      }
      reply.removed = true;
      reply.member = join.member;
      // Only a leader confirmed by a majority knows who was removed.
      this->log->ConfirmLeadership(
          now, [this, peer, reply](std::optional<Millis> started) {
            if (!started.has_value()) return;
            this->socket.Reply(peer, Encode(NodeMessage(reply)));
          });
      return;
    }
    for (const Member& member : status.membership.members) {
      if (member.address != join.address) continue;
      reply.member = member.id.Value();
      this->socket.Reply(peer, Encode(NodeMessage(reply)));
      return;
    }
    const MemberId id(status.membership.highest_id.Value() + 1);
    if (this->log->ChangeMembership(now, AddLearner{id, join.address})
            .has_value()) {
      LogLine("learner_added")
          .Add("member", id.Value())
          .Add("address", join.address);
    }
    this->PublishCommitted();
  }

  void OnJoinReply(const CoreJoinReply& reply) {
    if (reply.removed) {
      if (this->log == nullptr || reply.token != this->token) return;
      if (this->log->Status(MonotonicNow()).self != MemberId(reply.member)) {
        return;
      }
      this->departure.OnRemoved(MemberId(reply.member));
      return;
    }
    if (this->log != nullptr || reply.token != this->token ||
        !this->directory_empty) {
      return;
    }
    const Result<void> joined =
        ControlLog::Join(this->Directory(), MemberId(reply.member));
    if (!joined.has_value()) {
      LogLine("join_failed").Error().Add("detail", joined.error().message);
      this->DiscardLog();
      return;
    }
    LogLine("joined_as_learner").Add("member", reply.member);
    this->OpenLog();
  }

  void OnHandOver(const CoreHandOver& message) {
    if (this->log == nullptr) return;
    this->log->LeaderStops(MonotonicNow(), MemberId(message.member));
    this->PublishCommitted();
  }

  void RepairMembership() {
    if (this->log == nullptr) return;
    const Millis now = MonotonicNow();
    const std::optional<MembershipChange> change =
        this->membership.NextChange(now, this->log->Status(now));
    if (!change.has_value()) return;
    const Result<ProposalId> proposed =
        this->log->ChangeMembership(now, *change);
    LogLine("membership_change")
        .Add("change", change->index())
        .Add("member",
             std::visit([](const auto& body) { return body.id.Value(); },
                        *change))
        .Add("result",
             proposed.has_value() ? "proposed" : proposed.error().message);
    this->PublishCommitted();
  }

  // Message handling.

  void SendToOthers(const NodeMessage& message) {
    const std::string bytes = Encode(message);
    for (const Endpoint& address : this->OtherCores()) {
      this->socket.Send(address, bytes);
    }
  }

  void OnMessage(const NodeSocket::Peer& peer, const std::string& bytes) {
    Result<NodeMessage> message = DecodeNodeMessage(bytes);
    if (!message.has_value()) {
      LogDropped(message.error());
      return;
    }
    if (const auto* hello = std::get_if<Hello>(&message.value())) {
      this->daemons.OnHello(MonotonicNow(), peer, *hello);
    } else if (const auto* join = std::get_if<CoreJoin>(&message.value())) {
      this->OnJoin(peer, *join);
    } else if (const auto* reply =
                   std::get_if<CoreJoinReply>(&message.value())) {
      this->OnJoinReply(*reply);
    } else if (const auto* packet =
                   std::get_if<CoreConsensus>(&message.value())) {
      this->OnConsensus(*packet);
    } else if (const auto* hand_over =
                   std::get_if<CoreHandOver>(&message.value())) {
      this->OnHandOver(*hand_over);
    } else if (const auto* update = std::get_if<Update>(&message.value())) {
      this->OnUpdate(*update);
    }
  }

  void OnConsensus(const CoreConsensus& packet) {
    if (this->log == nullptr) return;
    Result<ConsensusMessage> message = DecodeConsensusMessage(packet.message);
    if (!message.has_value()) {
      LogDropped(message.error());
      return;
    }
    const Millis now = MonotonicNow();
    if (message.value().to != this->log->Status(now).self) return;
    const Result<Endpoint> from = ParseEndpoint(packet.from);
    if (from.has_value())
      this->learned_addresses[message.value().from] = from.value();
    this->log->Step(now, std::move(message.value()));
    this->PublishCommitted();
  }

  void SendConsensus(const ConsensusMessage& message) {
    // While the log is being opened no recipient is known yet.
    if (this->log == nullptr) return;
    const Membership current = this->log->Status(MonotonicNow()).membership;
    std::optional<Endpoint> to;
    if (const Member* member = FindMember(current, message.to)) {
      const Result<CoreAddress> address = ParseCoreAddress(member->address);
      if (address.has_value()) to = address.value().endpoint;
    }
    // A learner hears from the leader before it receives the membership.
    const auto learned = this->learned_addresses.find(message.to);
    if (!to.has_value() && learned != this->learned_addresses.end())
      to = learned->second;
    if (!to.has_value()) return;
    this->socket.Send(
        *to, Encode(NodeMessage(CoreConsensus{
                 Encode(message), ToString(this->settings.CoreAddress())})));
  }

  void OnRoleChange(const RoleChange& change) {
    LogLine("role_changed")
        .Add("role", ToString(change.role))
        .Add("term", change.term.Value())
        .Add("leader", change.leader.Value());
  }

  void Tick() {
    if (this->log != nullptr) {
      this->log->Tick(MonotonicNow());
      this->PublishCommitted();
    }
    const Millis now = MonotonicNow();
    if (now < this->next_expiry) return;
    this->next_expiry = now + Millis(1000);
    this->daemons.Expire(now);
    this->socket.DisconnectUnless(
        [cores = this->OtherCores()](const Endpoint& address) {
          return std::find(cores.begin(), cores.end(), address) != cores.end();
        });
  }

  // Sends newly committed listeners to the connected daemons.
  void PublishCommitted() {
    if (this->log == nullptr) return;
    const PutListeners& listeners = this->log->State().Listeners();
    if (listeners.version <= this->daemons.Listeners().Version()) return;
    const Result<ListenerSet> set =
        this->formats.listener.read(listeners.document);
    if (!set.has_value()) {
      // Not expected: documents are validated before they are proposed.
      LogLine("listeners_unreadable")
          .Error()
          .Add("version", listeners.version)
          .Add("detail", set.error().message);
      return;
    }
    this->daemons.PublishListeners(MonotonicNow(), set.value());
  }

  std::vector<std::string> MemberAddresses() const {
    if (this->log == nullptr) return this->reported_members;
    std::vector<std::string> out;
    for (const Member& member :
         this->log->Status(MonotonicNow()).membership.members) {
      out.push_back(member.address);
    }
    return out;
  }

  void SetGauges() {
    const bool open = this->log != nullptr;
    const ReplicaStatus status =
        open ? this->log->Status(MonotonicNow()) : ReplicaStatus();
    this->metrics.SetGauge("cornelhill_node_leads", this->IsLeader() ? 1 : 0);
    this->metrics.SetGauge("cornelhill_node_log_open", open ? 1 : 0);
    this->metrics.SetGauge(
        "cornelhill_node_members",
        static_cast<double>(status.membership.members.size()));
    this->metrics.SetGauge("cornelhill_node_log_bytes",
                           static_cast<double>(status.log_bytes));
    this->metrics.SetGauge("cornelhill_node_faults_tolerated",
                           status.faults_tolerated);
    this->metrics.SetGauge(
        "cornelhill_node_listener_version",
        static_cast<double>(this->daemons.Listeners().Version()));
    this->metrics.SetGauge(
        "cornelhill_node_agents",
        static_cast<double>(this->daemons.Agents().Entries().size()));
  }

  bool IsLeader() const {
    return this->log != nullptr &&
           this->log->Status(MonotonicNow()).role == ReplicaRole::kLeader;
  }

  const NodeSettings& settings;
  const PlatformFormats& formats;
  uint64_t token;  // Identifies the data directory; also the random seed.
  Runtime runtime;
  NodeSocket socket;
  HttpServer http;
  std::vector<Endpoint> seeds;
  SettingsWatch settings_watch;
  NodeMetrics metrics;
  std::unique_ptr<ControlLog> log;  // Null while joining or without a disk.
  bool directory_empty = false;
  bool reopen_pending = false;
  bool was_member = false;  // Since this process started.
  FoundingAgreement founding;
  std::string halt_reason;
  Millis leader_last_known;
  size_t min_voters = MinVotersFor(settings.tolerated_failures);
  CoreMembership membership{this->min_voters};
  CoreDeparture departure{
      this->runtime,
      this->settings.grace,
      this->min_voters,
      {[this] { return this->log.get(); }, [this] { return this->Identify(); },
       [this](const NodeMessage& message) { this->SendToOthers(message); },
       [this] { this->PublishCommitted(); }, [this] { this->DiscardLog(); }}};
  std::vector<std::string> reported_members;  // Used while there is no log.
  std::map<MemberId, Endpoint> learned_addresses;  // From consensus messages.
  ConnectedDaemons daemons;
  OperatorApi operator_api;
  Millis next_expiry;
};

}  // namespace

Result<void> RunCore(const NodeSettings& settings,
                     const PlatformFormats& formats) {
  CoreRole role(settings, formats);
  return role.Run();
}

}  // namespace cornelhill
