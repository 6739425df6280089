// Snapshots of the control state, which bring up new members and allow the log
// to be truncated.

#include <utility>

#include "control/control_proto.h"
#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/control_state.h"
#include "cornelhill/wire/data_codec.h"

namespace cornelhill {

std::string ControlState::Snapshot() const {
  pb::ControlSnapshot out;
  out.set_version(kProtocolVersion);
  out.set_revision(this->CurrentRevision().Value());
  out.set_last_service_id(this->last_service_id.Value());
  out.set_last_incarnation(this->last_incarnation.Value());
  ToProto(this->declaration_change, out.mutable_declaration_change());
  for (const auto& [name, service] : this->services) {
    pb::ServiceRecord* record = out.add_services();
    record->set_id(service.id.Value());
    record->set_incarnation(service.incarnation.Value());
    ToProto(service.declaration, record->mutable_declaration());
  }
  for (const auto& [instance, known] : this->upstreams) {
    pb::UpstreamRecord* record = out.add_upstreams();
    ToProto(known.announcement, record->mutable_announcement());
    record->set_draining(known.draining);
    record->set_weight(known.operator_weight);
  }
  for (const auto& [application, losses] : this->lost) {
    for (const LostUpstream& loss : losses) {
      pb::LostRecord* record = out.add_lost();
      record->set_application(application);
      record->mutable_upstream()->set_instance(loss.instance.Value());
      record->mutable_upstream()->set_incarnation(loss.incarnation.Value());
    }
  }
  for (const auto& [instance, departed_entry] : this->departed) {
    pb::DepartedInstance* record = out.add_departed();
    record->set_instance(instance.Value());
    record->set_incarnation(departed_entry.incarnation.Value());
    record->set_revision(departed_entry.revision.Value());
    record->set_draining(departed_entry.draining);
    record->set_weight(departed_entry.operator_weight);
  }
  const auto add_cache = [](const ResponseCache& cache, auto* records) {
    for (const std::string& id : cache.order) {
      const CachedResponse& cached = cache.responses.at(id);
      pb::RequestRecord* record = records->Add();
      record->set_request_id(id);
      record->set_command_hash(cached.command_hash);
      ToProto(cached.response, record->mutable_response());
    }
  };
  add_cache(this->operator_responses, out.mutable_operator_requests());
  add_cache(this->membership_responses, out.mutable_membership_requests());
  for (const auto* entries :
       {&this->operator_history, &this->membership_history}) {
    for (const HistoryEntry& entry : *entries) {
      ToProto(entry, out.add_history());
    }
  }
  out.mutable_listeners()->set_version(this->listeners.version);
  out.mutable_listeners()->set_document(this->listeners.document);
  for (const ServiceChange& change : this->store.Export()) {
    ToProto(change, out.add_views());
  }
  for (const auto& [id, revision] : this->store.ExportRemovedServices()) {
    pb::RemovedService* removed = out.add_removed_services();
    removed->set_id(id.Value());
    removed->set_revision(revision.Value());
  }
  return out.SerializeAsString();
}

Result<ControlState> ControlState::Restore(std::string_view bytes) {
  if (bytes.size() > kMaxSnapshotBytes) {
    return Error{ErrorCode::kTooLarge, "snapshot of " +
                                           std::to_string(bytes.size()) +
                                           " bytes exceeds the limit of " +
                                           std::to_string(kMaxSnapshotBytes)};
  }
  pb::ControlSnapshot in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Error{ErrorCode::kCorrupt, "snapshot of " +
                                          std::to_string(bytes.size()) +
                                          " bytes is not a valid message"};
  }
  if (in.version() != kProtocolVersion) {
    return Error{ErrorCode::kUnsupportedVersion,
                 "snapshot version " + std::to_string(in.version()) +
                     " is not " + std::to_string(kProtocolVersion)};
  }
  Result<ControlState> state = [&in]() -> Result<ControlState> {
    ControlState out;
    out.last_service_id = ServiceId(in.last_service_id());
    out.last_incarnation = Incarnation(in.last_incarnation());
    out.listeners = {in.listeners().version(), in.listeners().document()};
    BOOST_OUTCOME_TRY(change, FromProto(in.declaration_change()));
    out.declaration_change = std::move(change);
    for (const pb::ServiceRecord& record : in.services()) {
      BOOST_OUTCOME_TRY(declaration, FromProto(record.declaration()));
      const std::string name = declaration.name;
      out.services[name] = {ServiceId(record.id()),
                            Incarnation(record.incarnation()),
                            std::move(declaration)};
    }
    for (const pb::UpstreamRecord& record : in.upstreams()) {
      BOOST_OUTCOME_TRY(announcement, FromProto(record.announcement()));
      out.upstreams_by_application[announcement.application].insert(
          announcement.instance);
      const InstanceId instance = announcement.instance;
      out.upstreams[instance] = {std::move(announcement), record.draining(),
                                 record.weight()};
    }
    for (const pb::LostRecord& record : in.lost()) {
      out.lost[record.application()].push_back(
          {InstanceId(record.upstream().instance()),
           Incarnation(record.upstream().incarnation())});
    }
    for (const pb::DepartedInstance& record : in.departed()) {
      out.departed[InstanceId(record.instance())] = {
          Incarnation(record.incarnation()), Revision(record.revision()),
          record.draining(), record.weight()};
      out.departed_order.emplace(Revision(record.revision()),
                                 InstanceId(record.instance()));
    }
    for (const pb::RequestRecord& record : in.operator_requests()) {
      BOOST_OUTCOME_TRY(response, FromProto(record.response()));
      out.operator_responses.Add(record.request_id(),
                                 {record.command_hash(), std::move(response)});
    }
    for (const pb::RequestRecord& record : in.membership_requests()) {
      BOOST_OUTCOME_TRY(response, FromProto(record.response()));
      out.membership_responses.Add(
          record.request_id(), {record.command_hash(), std::move(response)});
    }
    for (const pb::HistoryEntry& entry : in.history()) {
      BOOST_OUTCOME_TRY(decoded, FromProto(entry));
      out.AppendHistory(std::move(decoded));
    }
    std::vector<ServiceChange> views;
    for (const pb::ServiceChange& change : in.views()) {
      BOOST_OUTCOME_TRY(decoded, FromProto(change));
      views.push_back(std::move(decoded));
    }
    std::vector<std::pair<ServiceId, Revision>> removed;
    for (const pb::RemovedService& service : in.removed_services()) {
      removed.emplace_back(ServiceId(service.id()),
                           Revision(service.revision()));
    }
    out.store = ServiceStore::Import(Revision(in.revision()), views, removed);
    return out;
  }();
  if (state.has_error()) {
    return Error{ErrorCode::kCorrupt, "snapshot: " + state.error().message};
  }
  return state;
}

}  // namespace cornelhill
