#pragma once

#include <string>

#include "control.pb.h"
#include "cornelhill/base/result.h"
#include "cornelhill/control/command.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/service_change.h"
#include "wire/flow_proto.h"

namespace cornelhill {

// Conversions shared by the message codec, the command codec and the snapshot.

Error Malformed(const std::string& reason);

// Fails with `kMalformed` if `text` is longer than `limit` bytes.
Result<void> CheckLength(const std::string& text, size_t limit,
                         const char* field);

// `FromProto` fails with `kMalformed` if a value is out of range.
void ToProto(const SchedulingRules& in, pb::TurnRules* out);
void ToProto(const Declaration& in, pb::Declaration* out);
void ToProto(const ServiceDeclaration& in, pb::ServiceDeclaration* out);
void ToProto(const Announcement& in, pb::Announcement* out);
void ToProto(const ChangeRef& in, pb::ChangeRef* out);
void ToProto(const CommandResponse& in, pb::CommandResponse* out);
void ToProto(const UpstreamInfo& in, pb::Upstream* out);
void ToProto(const ServiceChange& in, pb::ServiceChange* out);
void ToProto(const HistoryEntry& in, pb::HistoryEntry* out);

Result<SchedulingRules> FromProto(const pb::TurnRules& in);
Result<Declaration> FromProto(const pb::Declaration& in);
Result<ServiceDeclaration> FromProto(const pb::ServiceDeclaration& in);
Result<Announcement> FromProto(const pb::Announcement& in);
Result<ChangeRef> FromProto(const pb::ChangeRef& in);
Result<CommandResponse> FromProto(const pb::CommandResponse& in);
Result<UpstreamInfo> FromProto(const pb::Upstream& in);
Result<ServiceChange> FromProto(const pb::ServiceChange& in);
Result<HistoryEntry> FromProto(const pb::HistoryEntry& in);

}  // namespace cornelhill
