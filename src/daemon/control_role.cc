#include <boost/asio/post.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/hash.h"
#include "cornelhill/base/log.h"
#include "cornelhill/base/random.h"
#include "cornelhill/consensus/consensus_codec.h"
#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/domain_collector.h"
#include "cornelhill/control/lease_table.h"
#include "cornelhill/control/operator_session.h"
#include "cornelhill/control/spread_node.h"
#include "cornelhill/daemon/drop_log.h"
#include "cornelhill/daemon/message_node.h"
#include "cornelhill/daemon/process_observer.h"
#include "cornelhill/daemon/roles.h"
#include "cornelhill/node/control_log.h"
#include "cornelhill/node/runtime.h"

namespace cornelhill {

namespace {

constexpr Millis kTickPeriod(20);
// How often the leader has a quorum confirm that it leads.
constexpr Millis kConfirmPeriod(250);
// A member that heard the leader votes for no other for an election timeout of
// at least 1 s; the rest allows for clocks that run at different rates.
constexpr Millis kLeadershipValid(900);
constexpr Millis kMembershipPeriod(500);
constexpr Millis kJoinPeriod(300);

// Replies go out by routing id; the decision code knows peers by endpoint. This
// gives each peer an endpoint in 0.0.0.0/8, which no process has.
class PeerTable {
 public:
  Endpoint EndpointOf(const std::string& peer) {
    const auto [found, added] = this->by_peer.try_emplace(peer);
    if (added) {
      ++this->last;
      found->second = Endpoint{this->last & 0xffffffU, 0};
      this->by_endpoint[found->second] = peer;
    }
    return found->second;
  }

  // Returns null where the endpoint is not one of a peer.
  const std::string* PeerOf(const Endpoint& endpoint) const {
    const auto found = this->by_endpoint.find(endpoint);
    return found == this->by_endpoint.end() ? nullptr : &found->second;
  }

 private:
  uint32_t last = 0;
  std::map<std::string, Endpoint> by_peer;
  std::map<Endpoint, std::string> by_endpoint;
};

InstanceId IdOf(const std::string& name) { return InstanceId(Hash64(name)); }

SpreadMember MemberOf(const Settings& settings, const ControlMember& member) {
  SpreadMember spread;
  spread.id = IdOf(member.name);
  spread.endpoint = member.address;
  spread.region = static_cast<uint32_t>(Hash64(settings.region));
  spread.control = true;
  return spread;
}

const ControlMember& Self(const Settings& settings) {
  for (const ControlMember& member : settings.control) {
    if (member.name == settings.member) return member;
  }
  return settings.control.front();  // Settings are checked: not reached.
}

class ControlRole {
 public:
  explicit ControlRole(const Settings& settings)
      : settings(settings),
        self(Self(settings)),
        seed(RandomSeed()),
        observer(runtime.Io(), settings),
        node(settings.member,
             {[this](const std::string& peer, std::string bytes) {
                this->Post(peer, std::move(bytes), /*from_dealer=*/false);
              },
              [this](const std::string& member, std::string bytes) {
                this->Post(member, std::move(bytes), /*from_dealer=*/true);
              }}),
        drops(observer),
        collector(MonotonicNow(), FailureDomainId(), IdOf(settings.member),
                  this->seed),
        spread(MonotonicNow(), MemberOf(settings, this->self),
               Subscription{true, {}, {}}, this->seed) {
    std::vector<SpreadMember> members;
    for (const ControlMember& member : settings.control) {
      members.push_back(MemberOf(settings, member));
    }
    this->spread.SetMembers(MonotonicNow(), members);
  }

  Result<void> Run(bool bootstrap) {
    BOOST_OUTCOME_TRY(this->observer.Start());
    BOOST_OUTCOME_TRY(this->OpenLog(bootstrap));
    BOOST_OUTCOME_TRY(this->node.Bind(this->self.address));
    for (const ControlMember& member : this->settings.control) {
      if (member.name == this->self.name) continue;
      BOOST_OUTCOME_TRY(this->node.Connect(member.name, member.address));
    }
    this->node.Start();
    this->runtime.Every(kTickPeriod, [this] { this->Tick(); });
    this->runtime.Every(kConfirmPeriod, [this] { this->ConfirmLeadership(); });
    this->runtime.Every(kMembershipPeriod, [this] { this->TendMembership(); });
    this->runtime.Every(kJoinPeriod, [this] { this->AskToJoin(); });
    this->runtime.OnDrain([this] {
      this->observer.Record(EventKind::kProcessStopping);
      this->runtime.Stop();
    });
    LogLine("control_started")
        .Add("address", ToString(this->self.address))
        .Add("joining", this->log == nullptr ? 1 : 0);
    this->runtime.Run();
    this->node.Stop();
    LogLine("control_stopped");
    if (this->halt_reason.empty()) return boost::outcome_v2::success();
    return Error{ErrorCode::kCorrupt, this->halt_reason};
  }

 private:
  // Starting and joining.

  Result<void> OpenLog(bool bootstrap) {
    std::error_code error;
    std::filesystem::create_directories(this->settings.data_directory, error);
    if (error) {
      return Error{ErrorCode::kIo, "cannot create data_directory " +
                                       this->settings.data_directory + ": " +
                                       error.message()};
    }
    if (bootstrap) {
      BOOST_OUTCOME_TRY(ControlLog::Bootstrap(this->settings.data_directory,
                                              ToString(this->self.address)));
    }
    Result<std::unique_ptr<ControlLog>> opened =
        ControlLog::Open(this->settings.data_directory, MonotonicNow(),
                         this->seed, this->LogHandlers());
    if (opened.has_value()) {
      this->log = std::move(opened.value());
    } else if (opened.error().code != ErrorCode::kNotFound) {
      return opened.error();
    }
    return boost::outcome_v2::success();
  }

  ControlLog::Handlers LogHandlers() {
    return {[this](const ConsensusMessage& message) {
              this->SendConsensus(message);
            },
            [this](const Command& command, const CommandResponse& response) {
              this->OnApplied(command, response);
            },
            [this](const RoleChange& change) { this->OnRole(change); },
            [this](const std::string& reason) {
              this->halt_reason = reason;
              this->runtime.Stop();
            }};
  }

  void AskToJoin() {
    if (this->log != nullptr) return;
    const ControlMessage request =
        JoinRequest{this->self.name, this->self.address, this->seed};
    for (const ControlMember& member : this->settings.control) {
      if (member.name != this->self.name) {
        this->node.Send(member.name, Encode(request));
      }
    }
  }

  void OnJoinReply(const JoinReply& reply) {
    if (this->log != nullptr || reply.token != this->seed) return;
    const Result<void> joined =
        ControlLog::Join(this->settings.data_directory, MemberId(reply.member));
    if (!joined.has_value()) {
      LogLine("join_failed").Error().Add("detail", joined.error().message);
      return;
    }
    LogLine("joined_as_learner").Add("member", reply.member);
    const Result<void> opened = this->OpenLog(false);
    if (!opened.has_value()) {
      LogLine("join_failed").Error().Add("detail", opened.error().message);
    }
  }

  void RecordMember(EventDetail::Literal change, MemberId member) {
    EventDetail detail;
    detail.Add("change", change).Add("member", member.Value());
    this->observer.Record(EventKind::kMemberChanged, detail);
  }

  // A joining instance is known by its address and the token of its data
  // directory, so that a repeated request gets the same member id.
  static std::string JoinAddress(const JoinRequest& request) {
    return ToString(request.endpoint) + "#" + std::to_string(request.token);
  }

  void OnJoinRequest(const std::string& peer, const JoinRequest& request) {
    const ReplicaStatus status = this->log->Status(MonotonicNow());
    if (status.role != ReplicaRole::kLeader) return;
    const std::string address = JoinAddress(request);
    for (const Member& member : status.membership.members) {
      if (member.address != address) continue;
      // Only once the change is committed: the id must not be taken back.
      if (!status.change_in_flight) {
        this->node.Reply(peer, Encode(ControlMessage(JoinReply{
                                   request.token, member.id.Value()})));
      }
      return;
    }
    const MemberId id(status.membership.highest_id.Value() + 1);
    const Result<ProposalId> added =
        this->log->ChangeMembership(MonotonicNow(), AddLearner{id, address});
    if (added.has_value()) {
      this->RecordMember("learner_added", id);
      LogLine("learner_added")
          .Add("member", id.Value())
          .Add("name", request.name);
    }
  }

  static std::string EndpointText(const std::string& member_address) {
    return member_address.substr(0, member_address.find('#'));
  }

  // Promotes a learner that has caught up, then removes the member whose place
  // it takes: one change at a time.
  void TendMembership() {
    if (this->log == nullptr) return;
    const Millis now = MonotonicNow();
    const ReplicaStatus status = this->log->Status(now);
    if (status.role != ReplicaRole::kLeader || status.change_in_flight) return;
    for (const ReplicaMemberStatus& member : status.members) {
      if (member.member.voter || !member.caught_up) continue;
      if (this->log->ChangeMembership(now, PromoteLearner{member.member.id})
              .has_value()) {
        this->RecordMember("learner_promoted", member.member.id);
        LogLine("learner_promoted").Add("member", member.member.id.Value());
      }
      return;
    }
    for (const Member& old : status.membership.members) {
      for (const Member& next : status.membership.members) {
        if (next.id <= old.id || !next.voter ||
            EndpointText(next.address) != EndpointText(old.address)) {
          continue;
        }
        if (this->log->ChangeMembership(now, RemoveMember{old.id})
                .has_value()) {
          this->RecordMember("replaced_member_removed", old.id);
          LogLine("replaced_member_removed").Add("member", old.id.Value());
        }
        return;
      }
    }
  }

  // Messages.

  void Post(const std::string& peer, std::string bytes, bool from_dealer) {
    boost::asio::post(this->runtime.Io(), [this, peer, bytes = std::move(bytes),
                                           from_dealer] {
      Result<ControlMessage> message = DecodeControlMessage(bytes);
      if (!message.has_value()) {
        this->drops.Count(DropReasonOf(message.error()), "bad_control_message",
                          message.error().message);
        return;
      }
      this->OnMessage(peer, message.value(), from_dealer);
    });
  }

  void OnMessage(const std::string& peer, const ControlMessage& message,
                 bool from_dealer) {
    if (const auto* reply = std::get_if<JoinReply>(&message)) {
      this->OnJoinReply(*reply);
      return;
    }
    if (this->log == nullptr) return;
    const Millis now = MonotonicNow();
    const Endpoint from = this->peers.EndpointOf(peer);
    if (const auto* packet = std::get_if<ConsensusPacket>(&message)) {
      this->OnConsensus(now, packet->message);
    } else if (const auto* join = std::get_if<JoinRequest>(&message)) {
      this->OnJoinRequest(peer, *join);
    } else if (const auto* request = std::get_if<OperatorRequest>(&message)) {
      this->OnOperator(peer, *request);
    } else if (const auto* summary = std::get_if<DomainSummary>(&message)) {
      this->OnSummary(peer, *summary);
    } else if (const auto* ack = std::get_if<SummaryAck>(&message)) {
      this->Carry(this->collector.OnSummaryAck(now, *ack));
    } else if (const auto* loss = std::get_if<LossReport>(&message)) {
      if (this->leases) this->leases->OnLossReport(now, *loss);
    } else if (std::holds_alternative<Announcement>(message) ||
               std::holds_alternative<Renewal>(message)) {
      this->Carry(this->collector.OnAgent(now, from, message));
    } else {
      const Endpoint sender =
          from_dealer ? this->AddressOf(peer).value_or(from) : from;
      this->Carry(this->spread.OnMessage(now, sender, message));
    }
  }

  std::optional<Endpoint> AddressOf(const std::string& member) const {
    for (const ControlMember& known : this->settings.control) {
      if (known.name == member) return known.address;
    }
    return std::nullopt;
  }

  void Carry(const std::vector<Outgoing>& messages) {
    for (const Outgoing& outgoing : messages) {
      const std::string bytes = Encode(outgoing.message);
      if (const std::string* peer = this->peers.PeerOf(outgoing.endpoint)) {
        this->node.Reply(*peer, bytes);
        continue;
      }
      for (const ControlMember& member : this->settings.control) {
        if (member.address == outgoing.endpoint) {
          this->node.Send(member.name, bytes);
        }
      }
    }
  }

  void SendConsensus(const ConsensusMessage& message) {
    const Membership membership =
        this->log == nullptr ? Membership{}
                             : this->log->Status(MonotonicNow()).membership;
    const Member* to = FindMember(membership, message.to);
    const std::string address =
        to == nullptr ? std::string() : EndpointText(to->address);
    const std::string bytes =
        Encode(ControlMessage(ConsensusPacket{Encode(message)}));
    for (const ControlMember& member : this->settings.control) {
      // A learner does not know the members before it has the log; its
      // replies go to every other instance, and only the leader takes them.
      if (member.name == this->self.name) continue;
      if (!address.empty() && ToString(member.address) != address) continue;
      this->node.Send(member.name, bytes);
    }
  }

  void OnConsensus(Millis now, const std::string& bytes) {
    Result<ConsensusMessage> message = DecodeConsensusMessage(bytes);
    if (!message.has_value()) {
      this->drops.Count(DropReasonOf(message.error()), "bad_consensus_message",
                        message.error().message);
      return;
    }
    if (message.value().to != this->log->Status(now).self) return;
    this->log->Step(now, std::move(message.value()));
  }

  // Leading.

  void OnRole(const RoleChange& change) {
    this->RecordRole(change);
    LogLine("role_changed")
        .Add("role", ToString(change.role))
        .Add("term", change.term.Value())
        .Add("leader", change.leader.Value());
    this->leading = change.role == ReplicaRole::kLeader;
    this->term = change.term.Value();
    this->leases.reset();
  }

  void RecordRole(const RoleChange& change) {
    const bool leads = change.role == ReplicaRole::kLeader;
    if (leads == this->leading) return;
    EventDetail detail;
    detail.Add("term", change.term.Value())
        .Add("leader", change.leader.Value());
    this->observer.Record(
        leads ? EventKind::kLeaderElected : EventKind::kLeaderLost, detail);
  }

  // A learner hears of the leader before it has the membership that says where
  // the leader is, so this is looked up again and again.
  void FollowLeader(Millis now) {
    std::optional<ControlMember> present =
        this->MemberOfLeader(this->log->Status(now).leader);
    if (present == this->leader) return;
    this->leader = std::move(present);
    this->spread.SetLeader(
        now, this->leader.has_value()
                 ? std::optional<InstanceId>(IdOf(this->leader->name))
                 : std::nullopt);
  }

  std::optional<ControlMember> MemberOfLeader(MemberId id) const {
    if (this->log == nullptr) return std::nullopt;
    const Membership membership = this->log->Status(MonotonicNow()).membership;
    const Member* member = FindMember(membership, id);
    if (member == nullptr) return std::nullopt;
    for (const ControlMember& known : this->settings.control) {
      if (ToString(known.address) == EndpointText(member->address)) {
        return known;
      }
    }
    return std::nullopt;
  }

  void ConfirmLeadership() {
    if (this->log == nullptr || !this->leading) return;
    this->log->ConfirmLeadership(MonotonicNow(),
                                 [this](std::optional<Millis> started) {
                                   if (started.has_value() && this->leading) {
                                     this->OnConfirmed(*started);
                                   }
                                 });
  }

  void OnConfirmed(Millis started) {
    const Millis now = MonotonicNow();
    if (this->leases == nullptr) {
      this->leases =
          std::make_unique<LeaseTable>(now, this->term, this->log->State());
    }
    this->leases->ConfirmLeadership(started + kLeadershipValid);
    this->Carry(this->spread.Publish(now, this->term,
                                     this->log->State().Store(), started));
  }

  void OnApplied(const Command& command, const CommandResponse& response) {
    if (response.outcome == CommandOutcome::kUnchanged) return;
    this->RecordCommand(command, response);
    LogLine("command_applied")
        .Add("revision", response.revision.Value())
        .Add("outcome", static_cast<int>(response.outcome))
        .Add("request", command.request_id)
        .Add("operator", command.operator_name);
    this->publish_due = true;
  }

  void RecordCommand(const Command& command, const CommandResponse& response) {
    Event committed;
    committed.kind = EventKind::kRevisionCommitted;
    committed.revision = response.revision;
    committed.detail.Add("outcome", static_cast<int>(response.outcome));
    Event change = committed;
    if (std::holds_alternative<PutDeclaration>(command.body)) {
      committed.detail.Add("command", "put_declaration");
    } else if (const auto* join = std::get_if<UpstreamJoin>(&command.body)) {
      change.kind = EventKind::kUpstreamJoined;
      change.upstream = join->announcement.instance;
      change.detail.Add("agent", join->announcement.agent)
          .Add("slots", join->announcement.slots);
    } else if (const auto* leave = std::get_if<UpstreamLeave>(&command.body)) {
      change.kind = EventKind::kUpstreamLeft;
      change.upstream = leave->instance;
      change.detail.Add("lost", leave->lost);
    } else if (const auto* drain = std::get_if<UpstreamDrain>(&command.body)) {
      // The end of a drain gives the upstream its weight back.
      change.kind = drain->draining ? EventKind::kUpstreamDraining
                                    : EventKind::kUpstreamReweighted;
      change.upstream = drain->instance;
    } else if (const auto* weight =
                   std::get_if<UpstreamWeight>(&command.body)) {
      change.kind = EventKind::kUpstreamReweighted;
      change.upstream = weight->instance;
      change.detail.Add("weight", weight->weight);
    } else {
      committed.detail.Add("command", "forget_lost");
    }
    committed.upstream = change.upstream;
    this->observer.Record(committed);
    const bool applied = response.outcome == CommandOutcome::kApplied;
    if (applied && change.kind != EventKind::kRevisionCommitted) {
      this->observer.Record(change);
    }
    this->observer.SetRevision(response.revision);
  }

  void Tick() {
    if (this->log == nullptr) return;
    const Millis now = MonotonicNow();
    this->log->Tick(now);
    this->FollowLeader(now);
    if (this->publish_due) {
      this->publish_due = false;
      this->ConfirmLeadership();
    }
    if (this->leases != nullptr && this->leading) {
      for (const Command& command :
           this->leases->OnTick(now, this->log->State())) {
        this->log->Propose(now, command, [](const auto&) {});
      }
    }
    this->Carry(this->spread.OnTick(now));
    this->TickCollector(now);
  }

  void TickCollector(Millis now) {
    const std::optional<DomainSummary> summary = this->collector.OnTick(now);
    if (!summary.has_value()) return;
    if (this->leading) {
      if (this->leases == nullptr) return;
      const auto ack =
          this->leases->OnSummary(now, this->log->State(), *summary);
      if (ack.has_value()) {
        this->Carry(this->collector.OnSummaryAck(now, *ack));
      }
    } else if (this->leader.has_value()) {
      this->node.Send(this->leader->name, Encode(ControlMessage(*summary)));
    }
  }

  void OnSummary(const std::string& peer, const DomainSummary& summary) {
    if (this->leases == nullptr || !this->leading) return;
    const auto ack =
        this->leases->OnSummary(MonotonicNow(), this->log->State(), summary);
    if (ack.has_value()) {
      this->node.Reply(peer, Encode(ControlMessage(*ack)));
    }
  }

  // Operators.

  OperatorContext Context(bool confirmed) const {
    const Millis now = MonotonicNow();
    const ReplicaStatus status = this->log->Status(now);
    OperatorContext context;
    context.state = &this->log->State();
    context.term = this->term;
    context.leading = this->leading;
    context.confirmed = confirmed;
    if (this->leader.has_value()) context.leader = this->leader->address;
    for (const Member& member : status.membership.members) {
      MemberStatus known;
      known.instance = InstanceId(member.id.Value());
      const Result<Endpoint> endpoint =
          ParseEndpoint(EndpointText(member.address));
      if (endpoint.has_value()) known.endpoint = endpoint.value();
      known.voter = member.voter;
      known.leader = member.id == status.leader;
      context.members.push_back(known);
    }
    context.report = this->spread.Report();
    return context;
  }

  void Respond(const std::string& peer, const OperatorResponse& response) {
    this->node.Reply(peer, Encode(ControlMessage(response)));
  }

  void OnOperator(const std::string& peer, const OperatorRequest& request) {
    if (!this->leading) {
      const auto refusal =
          RefuseUnlessConfirmedLeader(this->Context(false), request);
      if (refusal.has_value()) this->Respond(peer, *refusal);
      return;
    }
    const std::optional<Command> command = ToCommand(request);
    if (command.has_value()) {
      this->log->Propose(
          MonotonicNow(), *command,
          [this, peer, request](const Result<CommandResponse>& response) {
            this->OnProposalDone(peer, request, response);
          });
      return;
    }
    this->log->ConfirmLeadership(
        MonotonicNow(), [this, peer, request](std::optional<Millis> started) {
          const OperatorContext context = this->Context(started.has_value());
          const auto refusal = RefuseUnlessConfirmedLeader(context, request);
          OperatorResponse response =
              refusal.has_value() ? *refusal : AnswerRead(context, request);
          if (request.kind == OperatorRequestKind::kMembers) {
            this->WarnOfFaults(&response);
          }
          this->Respond(peer, response);
        });
  }

  void WarnOfFaults(OperatorResponse* response) const {
    const int faults = this->log->Status(MonotonicNow()).faults_tolerated;
    if (faults <= 0) {
      response->message =
          "warning: one more fault stops every change; replace the member "
          "that does not answer first";
    }
  }

  void OnProposalDone(const std::string& peer, const OperatorRequest& request,
                      const Result<CommandResponse>& response) {
    if (!response.has_value()) {
      const auto refusal =
          RefuseUnlessConfirmedLeader(this->Context(false), request);
      if (refusal.has_value()) this->Respond(peer, *refusal);
      return;
    }
    this->Respond(
        peer, AnswerCommand(this->Context(true), request, response.value()));
  }

  const Settings& settings;
  const ControlMember& self;
  uint64_t seed;
  Runtime runtime;
  ProcessObserver observer;
  MessageNode node;
  DropLog drops;
  PeerTable peers;
  std::unique_ptr<ControlLog> log;     // Null while joining.
  std::unique_ptr<LeaseTable> leases;  // Only while leading.
  DomainCollector collector;
  SpreadNode spread;
  bool leading = false;
  uint64_t term = 0;
  std::optional<ControlMember> leader;
  bool publish_due = false;
  std::string halt_reason;
};

}  // namespace

Result<void> RunControl(const Settings& settings, bool bootstrap) {
  ControlRole role(settings);
  return role.Run(bootstrap);
}

}  // namespace cornelhill
