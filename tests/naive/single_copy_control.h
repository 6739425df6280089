#pragma once

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cornelhill/control/command.h"
#include "cornelhill/route/service_view.h"

namespace cornelhill::naive {

// Reference model of the control state for the differential test: a single copy
// in one process that keeps every response and rebuilds every view with a full
// scan after each command, without log, snapshots, deltas or limits.
class SingleCopyControl {
 public:
  CommandResponse Apply(Revision revision, const Command& command) {
    const std::string key =
        (command.operator_name.empty() ? "m:" : "o:") + command.request_id;
    if (const auto cached = this->responses.find(key);
        cached != this->responses.end()) {
      if (cached->second.first == command) return cached->second.second;
      return {CommandOutcome::kInvalid, revision, {}, {}};
    }
    CommandResponse response;
    response.revision = revision;
    if (const auto* put = std::get_if<PutDeclaration>(&command.body)) {
      response.outcome = this->Put(revision, command, *put);
      if (response.outcome == CommandOutcome::kConflict) {
        response.lost_to = this->last_declaration_change;
      }
    } else if (const auto* join = std::get_if<UpstreamJoin>(&command.body)) {
      response.outcome = this->Join(join->announcement);
    } else if (const auto* leave = std::get_if<UpstreamLeave>(&command.body)) {
      response.outcome = this->Leave(*leave);
    } else if (const auto* forget = std::get_if<ForgetLost>(&command.body)) {
      response.outcome = this->Forget(*forget);
    } else if (const auto* drain = std::get_if<UpstreamDrain>(&command.body)) {
      response.outcome = this->Change(drain->instance, [drain](Agent* agent) {
        return std::exchange(agent->draining, drain->draining) !=
               drain->draining;
      });
    } else if (const auto* set = std::get_if<UpstreamWeight>(&command.body)) {
      response.outcome = this->Change(set->instance, [set](Agent* agent) {
        return std::exchange(agent->weight, set->weight) != set->weight;
      });
    }
    this->Rebuild(revision);
    this->responses[key] = {command, response};
    return response;
  }

  // Views by service name.
  const std::map<std::string, ServiceView>& Views() const {
    return this->views;
  }

 private:
  struct Agent {
    Announcement announcement;
    bool present = false;
    bool draining = false;
    uint32_t weight = 0;
  };

  CommandOutcome Put(Revision revision, const Command& command,
                     const PutDeclaration& put) {
    if (put.base != this->last_declaration_change.revision) {
      return CommandOutcome::kConflict;
    }
    for (const ServiceDeclaration& a : put.declaration.services) {
      for (const ServiceDeclaration& b : put.declaration.services) {
        if (&a != &b && (a.name == b.name || a.address == b.address ||
                         a.application == b.application)) {
          return CommandOutcome::kInvalid;
        }
      }
    }
    std::map<std::string, std::pair<uint32_t, uint64_t>> next_ids;
    for (const ServiceDeclaration& service : put.declaration.services) {
      const ServiceDeclaration* old = nullptr;
      for (const ServiceDeclaration& candidate : this->declaration.services) {
        if (candidate.name == service.name) old = &candidate;
      }
      std::pair<uint32_t, uint64_t> id;
      id.first = old ? this->ids[service.name].first : ++this->next_id;
      id.second = old && old->address == service.address &&
                          old->application == service.application
                      ? this->ids[service.name].second
                      : ++this->next_incarnation;
      next_ids[service.name] = id;
    }
    this->ids = next_ids;
    this->declaration = put.declaration;
    this->last_declaration_change = {revision, command.operator_name,
                                     command.request_id};
    return CommandOutcome::kApplied;
  }

  CommandOutcome Join(const Announcement& announcement) {
    Agent& agent = this->agents[announcement.instance];
    const Incarnation last = agent.announcement.incarnation;
    if (announcement.incarnation < last ||
        (!agent.present && announcement.incarnation == last)) {
      return CommandOutcome::kStaleIncarnation;
    }
    if (agent.present && agent.announcement == announcement) {
      return CommandOutcome::kUnchanged;
    }
    if (agent.present && announcement.incarnation > last) {
      this->Lose(agent.announcement);
    }
    agent.announcement = announcement;
    agent.present = true;
    return CommandOutcome::kApplied;
  }

  CommandOutcome Leave(const UpstreamLeave& leave) {
    Agent& agent = this->agents[leave.instance];
    if (!agent.present) return CommandOutcome::kUnchanged;
    if (leave.incarnation < agent.announcement.incarnation) {
      return CommandOutcome::kStaleIncarnation;
    }
    if (leave.lost) this->Lose(agent.announcement);
    agent.present = false;
    return CommandOutcome::kApplied;
  }

  void Lose(const Announcement& announcement) {
    this->lost[announcement.application].push_back(
        {announcement.instance, announcement.incarnation});
  }

  CommandOutcome Forget(const ForgetLost& forget) {
    size_t erased = 0;
    for (auto& [application, losses] : this->lost) {
      erased +=
          std::erase(losses, LostUpstream{forget.instance, forget.incarnation});
    }
    return erased > 0 ? CommandOutcome::kApplied : CommandOutcome::kUnchanged;
  }

  template <typename Function>
  CommandOutcome Change(InstanceId instance, Function change) {
    Agent& agent = this->agents[instance];
    if (!agent.present) return CommandOutcome::kNotFound;
    return change(&agent) ? CommandOutcome::kApplied
                          : CommandOutcome::kUnchanged;
  }

  void Rebuild(Revision revision) {
    std::map<std::string, ServiceView> next;
    for (const ServiceDeclaration& service : this->declaration.services) {
      ServiceView view;
      view.id = ServiceId(this->ids[service.name].first);
      view.incarnation = Incarnation(this->ids[service.name].second);
      view.name = service.name;
      view.address = service.address;
      view.rules = service.rules;
      view.lost = this->lost[service.application];
      for (const auto& [instance, agent] : this->agents) {
        const Announcement& announcement = agent.announcement;
        if (!agent.present || announcement.application != service.application) {
          continue;
        }
        view.upstreams.push_back(
            {instance, announcement.incarnation, announcement.agent,
             announcement.failure_domain, announcement.slots,
             agent.weight ? agent.weight : announcement.weight,
             agent.draining});
      }
      // An unchanged view keeps its revision.
      view.revision = revision;
      if (const auto old = this->views.find(service.name);
          old != this->views.end()) {
        ServiceView unchanged = view;
        unchanged.revision = old->second.revision;
        if (unchanged == old->second) view = unchanged;
      }
      next[service.name] = view;
    }
    this->views = next;
  }

  std::map<std::string, std::pair<Command, CommandResponse>> responses;
  Declaration declaration;
  ChangeRef last_declaration_change;
  std::map<std::string, std::pair<uint32_t, uint64_t>> ids;
  uint32_t next_id = 0;
  uint64_t next_incarnation = 0;
  std::map<InstanceId, Agent> agents;
  std::map<std::string, std::vector<LostUpstream>> lost;
  std::map<std::string, ServiceView> views;
};

}  // namespace cornelhill::naive
