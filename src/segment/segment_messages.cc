#include "cornelhill/segment/segment_messages.h"

#include <array>
#include <utility>

#include "segment.pb.h"
#include "wire/parse_message.h"

namespace cornelhill {

namespace {

constexpr uint32_t kNodeProtocolVersion = 1;
// A bound on received durations, so that sums of times cannot overflow.
constexpr uint64_t kMaxMillis = 3600000;
// A packet of 1,232 bytes and the other fields.
constexpr size_t kMaxSegmentMessageBytes = 4096;
// A whole listener table of a document of 960 KiB and the agent directory.
constexpr size_t kMaxNodeMessageBytes = size_t{4} << 20;

auto Malformed(std::string message) {
  return Fail(ErrorCode::kMalformed, std::move(message));
}

Result<Endpoint> ReadEndpoint(uint32_t address, uint32_t port) {
  if (port > 0xffff) return Malformed("port is above 65535");
  return Endpoint{address, static_cast<uint16_t>(port)};
}

uint64_t PackEndpoint(const Endpoint& endpoint) {
  return uint64_t{endpoint.address} << 32 | endpoint.port;
}

Result<Endpoint> UnpackEndpoint(uint64_t packed) {
  return ReadEndpoint(static_cast<uint32_t>(packed >> 32),
                      static_cast<uint32_t>(packed));
}

void ToProto(const AgentRecord& in, pb::AgentEntry* out) {
  out->set_address(in.address.address);
  out->set_port(in.address.port);
  out->set_service(in.service.Value());
  out->set_failure_domain(in.failure_domain);
  out->set_incarnation(in.incarnation.Value());
  out->set_state(static_cast<uint32_t>(in.state));
  out->set_slots(in.slots);
  out->set_load_milli(in.load_milli);
  out->set_open_flows(in.open_flows);
  out->set_age_ms(static_cast<uint64_t>(in.age.Count()));
}

Result<AgentRecord> FromProto(const pb::AgentEntry& in) {
  AgentRecord out;
  BOOST_OUTCOME_TRY(address, ReadEndpoint(in.address(), in.port()));
  if (in.state() >= kUpstreamStateCount) {
    return Malformed("agent entry has an unknown upstream state");
  }
  if (in.slots() == 0) return Malformed("agent entry has no slots");
  out.address = address;
  out.service = ServiceKey(in.service());
  out.failure_domain = in.failure_domain();
  out.incarnation = Incarnation(in.incarnation());
  out.state = static_cast<UpstreamState>(in.state());
  out.slots = in.slots();
  out.load_milli = in.load_milli();
  out.open_flows = in.open_flows();
  out.age = Millis(static_cast<int64_t>(in.age_ms()));
  return out;
}

template <typename Entries>
Result<std::vector<AgentRecord>> ReadAgents(const Entries& entries) {
  std::vector<AgentRecord> out;
  for (const pb::AgentEntry& entry : entries) {
    BOOST_OUTCOME_TRY(record, FromProto(entry));
    out.push_back(std::move(record));
  }
  return out;
}

void ToProto(const ListenerChange& in, pb::ListenerEntry* out) {
  const Listener& listener = in.listener;
  out->set_address(listener.address.address);
  out->set_port(listener.address.port);
  out->set_changed(in.changed);
  out->set_removed(in.removed);
  for (const ListenerShare& share : listener.shares) {
    pb::ListenerShare* added = out->add_shares();
    added->set_service(share.service.Value());
    added->set_weight(share.weight);
  }
  out->set_work(static_cast<uint32_t>(listener.work));
  out->set_timeout_ms(static_cast<uint64_t>(listener.timeout.Count()));
  out->set_target_ms(static_cast<uint64_t>(listener.target_latency.Count()));
  out->set_priority(listener.priority);
}

Result<ListenerChange> FromProto(const pb::ListenerEntry& in) {
  ListenerChange out;
  BOOST_OUTCOME_TRY(address, ReadEndpoint(in.address(), in.port()));
  if (in.work() >= kWorkKindCount) {
    return Malformed("listener entry has an unknown kind of work");
  }
  out.listener.address = address;
  for (const pb::ListenerShare& share : in.shares()) {
    out.listener.shares.push_back(
        {ServiceKey(share.service()), share.weight()});
  }
  out.listener.work = static_cast<WorkKind>(in.work());
  out.listener.timeout = Millis(static_cast<int64_t>(in.timeout_ms()));
  out.listener.target_latency = Millis(static_cast<int64_t>(in.target_ms()));
  out.listener.priority = in.priority();
  out.changed = in.changed();
  out.removed = in.removed();
  return out;
}

struct BodyWriter {
  pb::NodeMessage* out;

  void operator()(const Hello& in) const {
    pb::Hello* body = this->out->mutable_hello();
    body->set_balancer(in.balancer);
    body->set_directory(in.directory);
    body->set_listener_version(in.listener_version);
    if (!in.agent.empty()) ToProto(in.agent.front(), body->mutable_agent());
  }
  void operator()(const Update& in) const {
    pb::Update* body = this->out->mutable_update();
    if (in.listeners.to != 0) {
      pb::ListenerDelta* delta = body->mutable_listeners();
      delta->set_base(in.listeners.base);
      delta->set_to(in.listeners.to);
      for (const ListenerChange& change : in.listeners.changes) {
        ToProto(change, delta->add_entries());
      }
    }
    for (const AgentRecord& record : in.agents) {
      ToProto(record, body->add_agents());
    }
    for (const std::string& member : in.members) body->add_members(member);
    body->set_complete(in.complete);
  }
  void operator()(const CoreJoin& in) const {
    pb::CoreJoin* body = this->out->mutable_join();
    body->set_address(in.address);
    body->set_token(in.token);
    body->set_member(in.member);
    body->set_leaving(in.leaving);
    body->set_founding(in.founding);
  }
  void operator()(const CoreJoinReply& in) const {
    pb::CoreJoinReply* body = this->out->mutable_join_reply();
    body->set_token(in.token);
    body->set_member(in.member);
    body->set_removed(in.removed);
    body->set_leader(in.leader);
  }
  void operator()(const CoreConsensus& in) const {
    this->out->mutable_consensus()->set_message(in.message);
    this->out->mutable_consensus()->set_from(in.from);
  }
  void operator()(const CoreHandOver& in) const {
    this->out->mutable_hand_over()->set_member(in.member);
  }
};

Result<NodeMessage> ReadHello(const pb::Hello& in) {
  Hello out;
  out.balancer = in.balancer();
  out.directory = in.directory();
  out.listener_version = in.listener_version();
  if (in.has_agent()) {
    BOOST_OUTCOME_TRY(record, FromProto(in.agent()));
    out.agent.push_back(std::move(record));
  }
  return NodeMessage(std::move(out));
}

Result<NodeMessage> ReadUpdate(const pb::Update& in) {
  Update out;
  out.listeners.base = in.listeners().base();
  out.listeners.to = in.listeners().to();
  for (const pb::ListenerEntry& entry : in.listeners().entries()) {
    BOOST_OUTCOME_TRY(change, FromProto(entry));
    out.listeners.changes.push_back(std::move(change));
  }
  BOOST_OUTCOME_TRY(agents, ReadAgents(in.agents()));
  out.agents = std::move(agents);
  out.members = {in.members().begin(), in.members().end()};
  out.complete = in.complete();
  return NodeMessage(std::move(out));
}

}  // namespace

std::string_view ToString(UpstreamState state) {
  static constexpr std::array<std::string_view, kUpstreamStateCount> kNames = {
      "unknown", "ready", "draining", "gone"};
  return kNames.at(static_cast<size_t>(state));
}

std::string_view ToString(OfferRefusal refusal) {
  static constexpr std::array<std::string_view, kOfferRefusalCount> kNames = {
      "none",  "not_ready",    "wrong_service", "full",
      "stale", "unresponsive", "busy"};
  return kNames.at(static_cast<size_t>(refusal));
}

std::string Encode(SegmentMessage message) {
  pb::SegmentMessage out;
  out.set_version(kNodeProtocolVersion);
  out.set_kind(static_cast<uint32_t>(message.kind));
  out.set_datagram(std::move(message.datagram));
  out.set_service(message.service.Value());
  out.set_listener_version(message.listener_version);
  out.set_listener_shares(message.listener_shares);
  out.set_tries(message.tries);
  out.set_reason(static_cast<uint32_t>(message.refusal));
  out.set_caller_address(message.flow.caller.address);
  out.set_caller_port(message.flow.caller.port);
  out.set_service_address(message.flow.listener.address);
  out.set_service_port(message.flow.listener.port);
  out.set_load_milli(message.load_milli);
  out.set_open_flows(message.open_flows);
  out.set_state(static_cast<uint32_t>(message.state));
  for (const Endpoint& agent : message.agents) {
    out.add_agents(PackEndpoint(agent));
  }
  out.set_silent_agents(message.silent_agent_count);
  out.set_timeout_ms(static_cast<uint64_t>(message.timeout.Count()));
  out.set_target_ms(static_cast<uint64_t>(message.target_latency.Count()));
  out.set_priority(message.priority);
  if (message.requester != Endpoint()) {
    out.set_asker(PackEndpoint(message.requester));
  }
  return out.SerializeAsString();
}

Result<SegmentMessage> DecodeSegmentMessage(std::string_view bytes) {
  pb::SegmentMessage in;
  BOOST_OUTCOME_TRY(ParseVersioned(bytes, kMaxSegmentMessageBytes,
                                   kNodeProtocolVersion, &in));
  SegmentMessage out;
  const auto last = static_cast<uint32_t>(SegmentMessageKind::kNoOwner);
  if (in.kind() == 0 || in.kind() > last) {
    return Malformed("unknown message kind");
  }
  if (in.reason() >= kOfferRefusalCount) {
    return Malformed("unknown refusal reason");
  }
  if (in.state() >= kUpstreamStateCount) {
    return Malformed("unknown upstream state");
  }
  BOOST_OUTCOME_TRY(caller,
                    ReadEndpoint(in.caller_address(), in.caller_port()));
  BOOST_OUTCOME_TRY(listener,
                    ReadEndpoint(in.service_address(), in.service_port()));
  if (static_cast<size_t>(in.agents_size()) > kMaxListedAgents) {
    return Malformed("message lists more than " +
                     std::to_string(kMaxListedAgents) + " agents");
  }
  for (const uint64_t agent : in.agents()) {
    BOOST_OUTCOME_TRY(address, UnpackEndpoint(agent));
    out.agents.push_back(address);
  }
  if (in.silent_agents() > out.agents.size()) {
    return Malformed("message states more silent agents than it lists agents");
  }
  out.silent_agent_count = in.silent_agents();
  if (in.timeout_ms() > kMaxMillis || in.target_ms() > kMaxMillis) {
    return Malformed("offer states a time above " + std::to_string(kMaxMillis) +
                     " ms");
  }
  out.timeout = Millis(static_cast<int64_t>(in.timeout_ms()));
  out.target_latency = Millis(static_cast<int64_t>(in.target_ms()));
  out.priority = in.priority();
  BOOST_OUTCOME_TRY(requester, UnpackEndpoint(in.asker()));
  out.requester = requester;
  out.kind = static_cast<SegmentMessageKind>(in.kind());
  out.datagram = std::move(*in.mutable_datagram());
  out.service = ServiceKey(in.service());
  out.listener_version = in.listener_version();
  out.listener_shares = in.listener_shares();
  out.tries = in.tries();
  out.refusal = static_cast<OfferRefusal>(in.reason());
  out.flow = {caller, listener};
  out.load_milli = in.load_milli();
  out.open_flows = in.open_flows();
  out.state = static_cast<UpstreamState>(in.state());
  return out;
}

std::string Encode(const NodeMessage& message) {
  pb::NodeMessage out;
  out.set_version(kNodeProtocolVersion);
  std::visit(BodyWriter{&out}, message);
  return out.SerializeAsString();
}

Result<NodeMessage> DecodeNodeMessage(std::string_view bytes) {
  pb::NodeMessage in;
  BOOST_OUTCOME_TRY(
      ParseVersioned(bytes, kMaxNodeMessageBytes, kNodeProtocolVersion, &in));
  switch (in.body_case()) {
    case pb::NodeMessage::kHello:
      return ReadHello(in.hello());
    case pb::NodeMessage::kUpdate:
      return ReadUpdate(in.update());
    case pb::NodeMessage::kJoin:
      return NodeMessage(CoreJoin{in.join().address(), in.join().token(),
                                  in.join().member(), in.join().leaving(),
                                  in.join().founding()});
    case pb::NodeMessage::kJoinReply:
      return NodeMessage(
          CoreJoinReply{in.join_reply().token(), in.join_reply().member(),
                        in.join_reply().removed(), in.join_reply().leader()});
    case pb::NodeMessage::kConsensus:
      return NodeMessage(
          CoreConsensus{in.consensus().message(), in.consensus().from()});
    case pb::NodeMessage::kHandOver:
      return NodeMessage(CoreHandOver{in.hand_over().member()});
    case pb::NodeMessage::BODY_NOT_SET:
      break;
  }
  return Malformed("message has no known body");
}

}  // namespace cornelhill
