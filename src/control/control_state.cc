#include "cornelhill/control/control_state.h"

#include <cassert>
#include <iterator>
#include <utility>
#include <variant>

#include "control/control_proto.h"
#include "cornelhill/base/hash.h"
#include "cornelhill/control/control_codec.h"
#include "cornelhill/wire/data_codec.h"

namespace cornelhill {

namespace {

CommandResponse MakeResponse(CommandOutcome outcome, Revision revision,
                             std::string message) {
  return {outcome, revision, std::move(message), {}};
}

// Returns an error message, or an empty string if the declaration is valid.
std::string ValidateDeclaration(const Declaration& declaration) {
  if (declaration.services.size() > kMaxServices) {
    return "declaration of " + std::to_string(declaration.services.size()) +
           " services is larger than " + std::to_string(kMaxServices);
  }
  std::set<std::string> names;
  std::set<std::string> applications;
  std::set<std::pair<Endpoint, Protocol>> addresses;
  for (const ServiceDeclaration& service : declaration.services) {
    if (service.name.empty() || service.name.size() > kMaxNameBytes) {
      return "service name \"" + service.name.substr(0, kMaxNameBytes) +
             "\" is empty or longer than " + std::to_string(kMaxNameBytes) +
             " bytes";
    }
    if (service.application.empty() ||
        service.application.size() > kMaxNameBytes) {
      return "service \"" + service.name +
             "\" has an application name that is empty or longer than " +
             std::to_string(kMaxNameBytes) + " bytes";
    }
    if (!names.insert(service.name).second) {
      return "service \"" + service.name + "\" is declared twice";
    }
    if (!applications.insert(service.application).second) {
      return "application \"" + service.application +
             "\" is declared by two services";
    }
    if (!addresses.emplace(service.address, service.protocol).second) {
      return "address " + ToString(service.address) +
             " is declared by two services";
    }
  }
  return {};
}

UpstreamInfo ToUpstreamInfo(const RegisteredUpstream& known) {
  UpstreamInfo info;
  info.instance = known.announcement.instance;
  info.incarnation = known.announcement.incarnation;
  info.agent = known.announcement.agent;
  info.failure_domain = known.announcement.failure_domain;
  info.slots = known.announcement.slots;
  info.weight = known.operator_weight != 0 ? known.operator_weight
                                           : known.announcement.weight;
  info.draining = known.draining;
  return info;
}

}  // namespace

void ControlState::ResponseCache::Add(const std::string& id,
                                      CachedResponse response) {
  this->responses.emplace(id, std::move(response));
  this->order.push_back(id);
  if (this->order.size() > kMaxCachedResponses) {
    this->responses.erase(this->order.front());
    this->order.pop_front();
  }
}

ControlState::ResponseCache& ControlState::ResponseCacheFor(
    const Command& command) {
  return command.operator_name.empty() ? this->membership_responses
                                       : this->operator_responses;
}

std::optional<CommandResponse> ControlState::ResponseOf(
    const std::string& request_id) const {
  for (const ResponseCache* cache :
       {&this->operator_responses, &this->membership_responses}) {
    const auto found = cache->responses.find(request_id);
    if (found != cache->responses.end()) return found->second.response;
  }
  return std::nullopt;
}

CommandResponse ControlState::Apply(Revision revision, const Command& command) {
  this->Skip(revision);
  if (command.request_id.empty() ||
      command.request_id.size() > kMaxRequestIdBytes ||
      command.operator_name.size() > kMaxNameBytes) {
    return MakeResponse(CommandOutcome::kInvalid, revision,
                        "request id is empty or longer than " +
                            std::to_string(kMaxRequestIdBytes) +
                            " bytes, or operator name longer than " +
                            std::to_string(kMaxNameBytes));
  }
  ResponseCache& cache = this->ResponseCacheFor(command);
  const uint64_t command_hash = Hash64(Encode(command));
  const auto cached = cache.responses.find(command.request_id);
  if (cached != cache.responses.end()) {
    if (cached->second.command_hash == command_hash) {
      return cached->second.response;
    }
    return MakeResponse(CommandOutcome::kInvalid, revision,
                        "request id \"" + command.request_id +
                            "\" was used for another command");
  }
  CommandResponse response = this->Execute(revision, command);
  cache.Add(command.request_id, {command_hash, response});
  return response;
}

void ControlState::Skip(Revision revision) {
  assert(revision > this->CurrentRevision());
  this->store.Advance(revision);
}

CommandResponse ControlState::Execute(Revision revision,
                                      const Command& command) {
  return std::visit(
      [this, revision, &command](const auto& body) {
        return this->Execute(revision, command, body);
      },
      command.body);
}

CommandResponse ControlState::Execute(Revision revision, const Command& command,
                                      const PutDeclaration& put) {
  if (put.base != this->declaration_change.revision) {
    CommandResponse response = MakeResponse(
        CommandOutcome::kConflict, revision,
        "base revision " + std::to_string(put.base.Value()) +
            " was replaced by revision " +
            std::to_string(this->declaration_change.revision.Value()) +
            " of \"" + this->declaration_change.operator_name +
            "\", request \"" + this->declaration_change.request_id + "\"");
    response.lost_to = this->declaration_change;
    return response;
  }
  std::string error = ValidateDeclaration(put.declaration);
  if (!error.empty()) {
    return MakeResponse(CommandOutcome::kInvalid, revision, std::move(error));
  }

  std::map<std::string, Service> next;
  size_t added = 0;
  size_t changed = 0;
  for (const ServiceDeclaration& declared : put.declaration.services) {
    Service service;
    service.declaration = declared;
    const auto found = this->services.find(declared.name);
    if (found == this->services.end()) {
      ++added;
      this->last_service_id = ServiceId(this->last_service_id.Value() + 1);
      service.id = this->last_service_id;
    } else {
      const ServiceDeclaration& old = found->second.declaration;
      service.id = found->second.id;
      service.incarnation = found->second.incarnation;
      if (old != declared) ++changed;
      if (old.address != declared.address ||
          old.protocol != declared.protocol ||
          old.application != declared.application) {
        service.incarnation = Incarnation();
      }
    }
    if (service.incarnation == Incarnation()) {
      this->last_incarnation = Incarnation(this->last_incarnation.Value() + 1);
      service.incarnation = this->last_incarnation;
    }
    next.emplace(declared.name, std::move(service));
  }
  size_t removed = 0;
  for (const auto& [name, service] : this->services) {
    if (next.contains(name)) continue;
    ++removed;
    this->store.Put(revision, service.id, std::nullopt, {});
  }
  this->services = std::move(next);
  for (const auto& [name, service] : this->services) {
    this->RefreshView(revision, service);
  }
  this->declaration_change = {revision, command.operator_name,
                              command.request_id};
  this->RecordChange(revision, command,
                     "declaration: " + std::to_string(added) + " added, " +
                         std::to_string(changed) + " changed, " +
                         std::to_string(removed) + " removed");
  return MakeResponse(CommandOutcome::kApplied, revision, {});
}

CommandResponse ControlState::Execute(Revision revision, const Command& command,
                                      const UpstreamJoin& join) {
  const Announcement& announcement = join.announcement;
  if (announcement.application.empty() ||
      announcement.application.size() > kMaxNameBytes ||
      announcement.slots == 0 || announcement.slots > kMaxSlots ||
      announcement.weight == 0 || announcement.weight > kMaxWeight) {
    return MakeResponse(CommandOutcome::kInvalid, revision,
                        "upstream " +
                            std::to_string(announcement.instance.Value()) +
                            " announces no application, or slots or a weight "
                            "outside 1 to " +
                            std::to_string(kMaxSlots) + " and 1 to " +
                            std::to_string(kMaxWeight));
  }
  // The decoders of views and snapshots reject more than this.
  const auto members =
      this->upstreams_by_application.find(announcement.application);
  if (members != this->upstreams_by_application.end() &&
      members->second.size() >= kMaxUpstreamsPerService &&
      !members->second.contains(announcement.instance)) {
    return MakeResponse(CommandOutcome::kInvalid, revision,
                        "application " + announcement.application + " has " +
                            std::to_string(kMaxUpstreamsPerService) +
                            " upstreams, the most that one may have");
  }
  RegisteredUpstream next;
  next.announcement = announcement;
  next.announcement.sequence = 0;
  const auto found = this->upstreams.find(announcement.instance);
  const auto departed_entry = this->departed.find(announcement.instance);
  const bool stale =
      found != this->upstreams.end()
          ? announcement.incarnation < found->second.announcement.incarnation
          : departed_entry != this->departed.end() &&
                announcement.incarnation <= departed_entry->second.incarnation;
  if (stale) {
    return MakeResponse(
        CommandOutcome::kStaleIncarnation, revision,
        "incarnation " + std::to_string(announcement.incarnation.Value()) +
            " of upstream " + std::to_string(announcement.instance.Value()) +
            " is not above the last one, " +
            std::to_string(
                this->LastIncarnation(announcement.instance).Value()));
  }
  std::string previous_application;
  if (found != this->upstreams.end()) {
    next.draining = found->second.draining;
    next.operator_weight = found->second.operator_weight;
    if (next == found->second) {
      return MakeResponse(CommandOutcome::kUnchanged, revision, {});
    }
    previous_application = found->second.announcement.application;
    // A restarted agent has lost its previous incarnation's flow state.
    if (announcement.incarnation > found->second.announcement.incarnation) {
      this->RecordLoss(found->second.announcement);
    }
    this->upstreams_by_application[previous_application].erase(
        announcement.instance);
    if (this->upstreams_by_application[previous_application].empty()) {
      this->upstreams_by_application.erase(previous_application);
    }
  } else if (departed_entry != this->departed.end()) {
    next.draining = departed_entry->second.draining;
    next.operator_weight = departed_entry->second.operator_weight;
    this->departed_order.erase(
        {departed_entry->second.revision, departed_entry->first});
    this->departed.erase(departed_entry);
  }
  this->upstreams[announcement.instance] = std::move(next);
  this->upstreams_by_application[announcement.application].insert(
      announcement.instance);
  if (!previous_application.empty() &&
      previous_application != announcement.application) {
    this->RefreshView(revision, previous_application);
  }
  this->RefreshView(revision, announcement.application);
  this->RecordChange(revision, command,
                     "upstream " +
                         std::to_string(announcement.instance.Value()) +
                         " joined for application " + announcement.application);
  return MakeResponse(CommandOutcome::kApplied, revision, {});
}

CommandResponse ControlState::Execute(Revision revision, const Command& command,
                                      const UpstreamLeave& leave) {
  const auto found = this->upstreams.find(leave.instance);
  if (found == this->upstreams.end()) {
    return MakeResponse(CommandOutcome::kUnchanged, revision, {});
  }
  if (leave.incarnation < found->second.announcement.incarnation) {
    return MakeResponse(
        CommandOutcome::kStaleIncarnation, revision,
        "upstream " + std::to_string(leave.instance.Value()) +
            " has joined under incarnation " +
            std::to_string(found->second.announcement.incarnation.Value()));
  }
  const std::string application = found->second.announcement.application;
  if (leave.lost) this->RecordLoss(found->second.announcement);
  this->RemoveUpstream(revision, leave.instance);
  this->RefreshView(revision, application);
  this->RecordChange(revision, command,
                     "upstream " + std::to_string(leave.instance.Value()) +
                         " left application " + application);
  return MakeResponse(CommandOutcome::kApplied, revision, {});
}

CommandResponse ControlState::Execute(Revision revision, const Command& command,
                                      const UpstreamDrain& drain) {
  const auto found = this->upstreams.find(drain.instance);
  if (found == this->upstreams.end()) {
    return MakeResponse(
        CommandOutcome::kNotFound, revision,
        "upstream " + std::to_string(drain.instance.Value()) + " is not known");
  }
  if (found->second.draining == drain.draining) {
    return MakeResponse(CommandOutcome::kUnchanged, revision, {});
  }
  found->second.draining = drain.draining;
  this->RefreshView(revision, found->second.announcement.application);
  this->RecordChange(revision, command,
                     "upstream " + std::to_string(drain.instance.Value()) +
                         (drain.draining ? " drains" : " drains no longer"));
  return MakeResponse(CommandOutcome::kApplied, revision, {});
}

CommandResponse ControlState::Execute(Revision revision,
                                      const Command& /*command*/,
                                      const PutListeners& put) {
  if (put.version <= this->listeners.version) {
    return MakeResponse(CommandOutcome::kUnchanged, revision, {});
  }
  this->listeners = put;
  return MakeResponse(CommandOutcome::kApplied, revision, {});
}

CommandResponse ControlState::Execute(Revision revision, const Command& command,
                                      const UpstreamWeight& weight) {
  if (weight.weight > kMaxWeight) {
    return MakeResponse(CommandOutcome::kInvalid, revision,
                        "weight " + std::to_string(weight.weight) +
                            " is above " + std::to_string(kMaxWeight));
  }
  const auto found = this->upstreams.find(weight.instance);
  if (found == this->upstreams.end()) {
    return MakeResponse(CommandOutcome::kNotFound, revision,
                        "upstream " + std::to_string(weight.instance.Value()) +
                            " is not known");
  }
  if (found->second.operator_weight == weight.weight) {
    return MakeResponse(CommandOutcome::kUnchanged, revision, {});
  }
  found->second.operator_weight = weight.weight;
  this->RefreshView(revision, found->second.announcement.application);
  this->RecordChange(revision, command,
                     "upstream " + std::to_string(weight.instance.Value()) +
                         " has weight " + std::to_string(weight.weight));
  return MakeResponse(CommandOutcome::kApplied, revision, {});
}

void ControlState::RecordLoss(const Announcement& announcement) {
  std::vector<LostUpstream>& losses = this->lost[announcement.application];
  losses.push_back({announcement.instance, announcement.incarnation});
  // Evict the oldest, which is the next to expire.
  if (losses.size() > kMaxUpstreamsPerService) losses.erase(losses.begin());
}

CommandResponse ControlState::Execute(Revision revision,
                                      const Command& /*command*/,
                                      const ForgetLost& forget) {
  const LostUpstream wanted{forget.instance, forget.incarnation};
  for (auto& [application, losses] : this->lost) {
    if (std::erase(losses, wanted) == 0) continue;
    const std::string name = application;
    if (losses.empty()) this->lost.erase(name);
    this->RefreshView(revision, name);
    return MakeResponse(CommandOutcome::kApplied, revision, {});
  }
  return MakeResponse(CommandOutcome::kUnchanged, revision, {});
}

void ControlState::RemoveUpstream(Revision revision, InstanceId instance) {
  const auto found = this->upstreams.find(instance);
  const RegisteredUpstream& known = found->second;
  const std::string& application = known.announcement.application;
  this->upstreams_by_application[application].erase(instance);
  if (this->upstreams_by_application[application].empty()) {
    this->upstreams_by_application.erase(application);
  }
  this->departed[instance] = {known.announcement.incarnation, revision,
                              known.draining, known.operator_weight};
  this->departed_order.emplace(revision, instance);
  this->upstreams.erase(found);
  if (this->departed.size() > kMaxDepartedInstances) {
    const auto oldest = this->departed_order.begin();
    this->departed.erase(oldest->second);
    this->departed_order.erase(oldest);
  }
}

void ControlState::RefreshView(Revision revision,
                               const std::string& application) {
  for (const auto& [name, service] : this->services) {
    if (service.declaration.application == application) {
      this->RefreshView(revision, service);
      return;
    }
  }
}

void ControlState::RefreshView(Revision revision, const Service& service) {
  ServiceView view;
  view.id = service.id;
  view.incarnation = service.incarnation;
  view.name = service.declaration.name;
  view.address = service.declaration.address;
  view.rules = service.declaration.rules;
  const auto losses = this->lost.find(service.declaration.application);
  if (losses != this->lost.end()) view.lost = losses->second;
  const auto members =
      this->upstreams_by_application.find(service.declaration.application);
  if (members != this->upstreams_by_application.end()) {
    for (const InstanceId instance : members->second) {
      view.upstreams.push_back(ToUpstreamInfo(this->upstreams.at(instance)));
    }
  }
  this->store.Put(revision, service.id, view, service.declaration.application);
}

void ControlState::RecordChange(Revision revision, const Command& command,
                                std::string summary) {
  this->AppendHistory({{revision, command.operator_name, command.request_id},
                       std::move(summary)});
}

void ControlState::AppendHistory(HistoryEntry entry) {
  std::deque<HistoryEntry>& history = entry.change.operator_name.empty()
                                          ? this->membership_history
                                          : this->operator_history;
  history.push_back(std::move(entry));
  if (history.size() > kMaxHistory / 2) history.pop_front();
}

Declaration ControlState::CurrentDeclaration() const {
  Declaration declaration;
  for (const auto& [name, service] : this->services) {
    declaration.services.push_back(service.declaration);
  }
  return declaration;
}

Incarnation ControlState::LastIncarnation(InstanceId instance) const {
  const auto found = this->upstreams.find(instance);
  if (found != this->upstreams.end()) {
    return found->second.announcement.incarnation;
  }
  const auto departed_entry = this->departed.find(instance);
  return departed_entry == this->departed.end()
             ? Incarnation()
             : departed_entry->second.incarnation;
}

std::vector<HistoryEntry> ControlState::History(size_t limit) const {
  std::vector<HistoryEntry> merged;
  std::merge(this->operator_history.begin(), this->operator_history.end(),
             this->membership_history.begin(), this->membership_history.end(),
             std::back_inserter(merged),
             [](const HistoryEntry& a, const HistoryEntry& b) {
               return a.change.revision < b.change.revision;
             });
  std::reverse(merged.begin(), merged.end());
  if (merged.size() > limit) merged.resize(limit);
  return merged;
}

}  // namespace cornelhill
