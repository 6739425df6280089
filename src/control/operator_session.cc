#include "cornelhill/control/operator_session.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <map>
#include <utility>

#include "cornelhill/control/control_codec.h"

namespace cornelhill {

namespace {

OperatorRequest RequestOf(OperatorRequestKind kind) {
  OperatorRequest request;
  request.kind = kind;
  return request;
}

ServiceStatus StatusOf(const ServiceView& view, std::string_view application) {
  ServiceStatus status;
  status.id = view.id;
  status.incarnation = view.incarnation;
  status.revision = view.revision;
  status.name = view.name;
  status.address = view.address;
  status.application = application;
  status.upstreams = static_cast<uint32_t>(view.upstreams.size());
  for (const UpstreamInfo& upstream : view.upstreams) {
    if (upstream.draining) ++status.draining;
    status.slots += upstream.slots;
  }
  return status;
}

OperatorResponse ResponseTo(const OperatorContext& context,
                            const OperatorRequest& request) {
  OperatorResponse response;
  response.request_id = request.request_id;
  response.term = context.term;
  response.revision = context.state->CurrentRevision();
  response.declaration_revision = context.state->DeclarationChange().revision;
  return response;
}

OperatorOutcome OutcomeOf(CommandOutcome outcome) {
  switch (outcome) {
    case CommandOutcome::kApplied:
      return OperatorOutcome::kOk;
    case CommandOutcome::kUnchanged:
      return OperatorOutcome::kUnchanged;
    case CommandOutcome::kConflict:
      return OperatorOutcome::kConflict;
    case CommandOutcome::kNotFound:
      return OperatorOutcome::kNotFound;
    case CommandOutcome::kInvalid:
    case CommandOutcome::kStaleIncarnation:
      break;
  }
  return OperatorOutcome::kInvalid;
}

}  // namespace

OperatorRequest StatusRequest() {
  return RequestOf(OperatorRequestKind::kStatus);
}

OperatorRequest ServicesRequest() {
  return RequestOf(OperatorRequestKind::kServices);
}

OperatorRequest UpstreamsRequest(const std::string& service) {
  OperatorRequest request = RequestOf(OperatorRequestKind::kUpstreams);
  request.service = service;
  return request;
}

OperatorRequest DrainRequest(InstanceId instance, bool draining) {
  OperatorRequest request = RequestOf(draining ? OperatorRequestKind::kDrain
                                               : OperatorRequestKind::kUndrain);
  request.instance = instance;
  return request;
}

OperatorRequest WeightRequest(InstanceId instance, uint32_t weight) {
  OperatorRequest request = RequestOf(OperatorRequestKind::kWeight);
  request.instance = instance;
  request.weight = weight;
  return request;
}

OperatorRequest ApplyRequest(Revision base, const Declaration& declaration) {
  OperatorRequest request = RequestOf(OperatorRequestKind::kApply);
  request.base = base;
  request.declaration = declaration;
  return request;
}

OperatorRequest DeclarationRequest() {
  return RequestOf(OperatorRequestKind::kDeclaration);
}

OperatorRequest HistoryRequest(uint32_t limit) {
  OperatorRequest request = RequestOf(OperatorRequestKind::kHistory);
  request.limit = limit;
  return request;
}

OperatorRequest MembersRequest() {
  return RequestOf(OperatorRequestKind::kMembers);
}

OperatorSession::OperatorSession(const std::string& operator_name,
                                 const std::vector<Endpoint>& control,
                                 uint64_t seed)
    : operator_name(operator_name), control(control), random(seed) {
  assert(!control.empty());
}

AddressedOperatorRequest OperatorSession::Begin(Millis now,
                                                OperatorRequest request) {
  // Not drawn among the arguments below, whose evaluation order is unspecified:
  // a seed gives the same IDs on every architecture.
  const uint64_t low = this->random.Next();
  const uint64_t high = this->random.Next();
  std::array<char, 33> id{};
  std::snprintf(
      id.data(), id.size(), "%016llx%016llx",
      static_cast<unsigned long long>(high),  // NOLINT(google-runtime-int)
      static_cast<unsigned long long>(low));  // NOLINT(google-runtime-int)
  request.request_id = id.data();
  request.operator_name = this->operator_name;
  this->pending = std::move(request);
  return this->Send(now);
}

AddressedOperatorRequest OperatorSession::Send(Millis now) {
  Endpoint to;
  if (this->leader) {
    to = *this->leader;
    // Used once: if the leader does not respond, the other instances are tried.
    this->leader.reset();
  } else {
    to = this->control[this->next_control % this->control.size()];
    ++this->next_control;
  }
  this->next_send =
      now + kOperatorRetryDelay +
      Millis(static_cast<int64_t>(this->random.Below(
          static_cast<uint64_t>(kOperatorRetryDelay.Count() / 2))));
  return {to, *this->pending};
}

std::optional<AddressedOperatorRequest> OperatorSession::OnTick(Millis now) {
  if (!this->pending || now < this->next_send) return std::nullopt;
  return this->Send(now);
}

std::optional<OperatorResponse> OperatorSession::OnResponse(
    Millis now, const OperatorResponse& response) {
  if (!this->pending || this->pending->request_id != response.request_id) {
    return std::nullopt;
  }
  if (response.outcome == OperatorOutcome::kNotLeader) {
    if (response.leader.port != 0) {
      this->leader = response.leader;
      this->next_send = now;
    }
    return std::nullopt;
  }
  if (response.outcome == OperatorOutcome::kCannotConfirm) return std::nullopt;
  this->pending.reset();
  return response;
}

std::optional<OperatorResponse> RefuseUnlessConfirmedLeader(
    const OperatorContext& context, const OperatorRequest& request) {
  OperatorResponse response;
  response.request_id = request.request_id;
  if (!context.leading) {
    response.outcome = OperatorOutcome::kNotLeader;
    response.message = "another control instance is the leader";
    if (context.leader) response.leader = *context.leader;
    return response;
  }
  if (!context.confirmed) {
    response.outcome = OperatorOutcome::kCannotConfirm;
    response.message =
        "the control instance cannot reach a quorum, so it cannot confirm "
        "that its state is the latest";
    return response;
  }
  return std::nullopt;
}

std::optional<Command> ToCommand(const OperatorRequest& request) {
  Command command{request.request_id, request.operator_name, {}};
  // An empty operator name is reserved for commands of the lease table.
  if (command.operator_name.empty()) command.operator_name = "unknown";
  switch (request.kind) {
    case OperatorRequestKind::kDrain:
    case OperatorRequestKind::kUndrain:
      command.body = UpstreamDrain{request.instance,
                                   request.kind == OperatorRequestKind::kDrain};
      return command;
    case OperatorRequestKind::kWeight:
      command.body = UpstreamWeight{request.instance, request.weight};
      return command;
    case OperatorRequestKind::kApply:
      command.body = PutDeclaration{request.base, request.declaration};
      return command;
    case OperatorRequestKind::kStatus:
    case OperatorRequestKind::kServices:
    case OperatorRequestKind::kUpstreams:
    case OperatorRequestKind::kDeclaration:
    case OperatorRequestKind::kHistory:
    case OperatorRequestKind::kMembers:
      break;
  }
  return std::nullopt;
}

OperatorResponse AnswerRead(const OperatorContext& context,
                            const OperatorRequest& request) {
  OperatorResponse response = ResponseTo(context, request);
  const ServiceStore& store = context.state->Store();
  switch (request.kind) {
    case OperatorRequestKind::kStatus:
      response.report = context.report;
      response.members = context.members;
      break;
    case OperatorRequestKind::kServices:
      for (const ServiceView* view : store.Views()) {
        response.services.push_back(
            StatusOf(*view, store.ApplicationOf(view->id)));
      }
      break;
    case OperatorRequestKind::kUpstreams:
      if (!request.service.empty() &&
          store.FindByName(request.service) == nullptr) {
        response.outcome = OperatorOutcome::kNotFound;
        response.message =
            "service \"" + request.service + "\" is not declared";
        break;
      }
      for (const ServiceView* view : store.Views()) {
        if (!request.service.empty() && view->name != request.service) continue;
        response.upstreams.insert(response.upstreams.end(),
                                  view->upstreams.begin(),
                                  view->upstreams.end());
      }
      break;
    case OperatorRequestKind::kDeclaration:
      response.declaration = context.state->CurrentDeclaration();
      break;
    case OperatorRequestKind::kHistory:
      response.history = context.state->History(
          request.limit == 0 ? kMaxHistory : request.limit);
      break;
    case OperatorRequestKind::kMembers:
      response.members = context.members;
      break;
    case OperatorRequestKind::kDrain:
    case OperatorRequestKind::kUndrain:
    case OperatorRequestKind::kWeight:
    case OperatorRequestKind::kApply:
      response.outcome = OperatorOutcome::kInvalid;
      response.message = "the request modifies state and is not a read request";
      break;
  }
  return response;
}

OperatorResponse AnswerCommand(const OperatorContext& context,
                               const OperatorRequest& request,
                               const CommandResponse& response) {
  OperatorResponse out = ResponseTo(context, request);
  out.outcome = OutcomeOf(response.outcome);
  out.revision = response.revision;
  out.message = response.message;
  out.lost_to = response.lost_to;
  return out;
}

std::vector<std::string> ListServiceChanges(const Declaration& before,
                                            const Declaration& after) {
  std::map<std::string, const ServiceDeclaration*> old;
  for (const ServiceDeclaration& service : before.services) {
    old[service.name] = &service;
  }
  std::vector<std::string> lines;
  for (const ServiceDeclaration& service : after.services) {
    const auto found = old.find(service.name);
    if (found == old.end()) {
      lines.push_back("+" + service.name);
    } else {
      if (!(*found->second == service)) lines.push_back("~" + service.name);
      old.erase(found);
    }
  }
  for (const auto& [name, service] : old) lines.push_back("-" + name);
  std::sort(lines.begin(), lines.end(),
            [](const std::string& a, const std::string& b) {
              return std::pair(a.substr(1), a[0]) <
                     std::pair(b.substr(1), b[0]);
            });
  return lines;
}

}  // namespace cornelhill
