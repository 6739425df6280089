#include <string>

#include "cornelhill/ctl/network.h"

namespace cornelhill {

namespace {

ExitCode RunStatus(Invocation& invocation) {
  const auto response = Ask(MakeRequest(OperatorRequestKind::kStatus));
  if (!response.has_value()) return ReportError(invocation, response.error());
  const OperatorResponse& answer = response.value();
  Table table{{"item", "value"}, {}};
  table.rows.push_back({"term", std::to_string(answer.term)});
  table.rows.push_back({"revision", std::to_string(answer.revision.Value())});
  table.rows.push_back({"declaration_revision",
                        std::to_string(answer.declaration_revision.Value())});
  table.rows.push_back({"processes", std::to_string(answer.report.processes)});
  table.rows.push_back(
      {"lowest_revision", std::to_string(answer.report.lowest.Value())});
  for (const Lagging& behind : answer.report.lagging) {
    table.rows.push_back(
        {"behind", "instance " + std::to_string(behind.instance.Value()) +
                       " has revision " +
                       std::to_string(behind.revision.Value())});
  }
  for (const ServiceStatus& service : answer.services) {
    table.rows.push_back(
        {"service", service.name + " at " + ToString(service.address) + ": " +
                        std::to_string(service.upstreams) + " upstreams, " +
                        std::to_string(service.draining) + " draining, " +
                        std::to_string(service.slots) + " slots"});
  }
  PrintTable(invocation, table);
  return ExitCode::kDone;
}

ExitCode RunServices(Invocation& invocation) {
  const auto response = Ask(MakeRequest(OperatorRequestKind::kServices));
  if (!response.has_value()) return ReportError(invocation, response.error());
  Table table{{"service", "address", "application", "upstreams", "draining",
               "slots", "revision"},
              {}};
  for (const ServiceStatus& service : response.value().services) {
    table.rows.push_back(
        {service.name, ToString(service.address), service.application,
         std::to_string(service.upstreams), std::to_string(service.draining),
         std::to_string(service.slots),
         std::to_string(service.revision.Value())});
  }
  PrintTable(invocation, table);
  return ExitCode::kDone;
}

ExitCode RunUpstreams(Invocation& invocation) {
  OperatorRequest request = MakeRequest(OperatorRequestKind::kUpstreams);
  if (!invocation.arguments.empty()) request.service = invocation.arguments[0];
  const auto response = Ask(request);
  if (!response.has_value()) return ReportError(invocation, response.error());
  Table table{{"instance", "agent", "slots", "weight", "state", "incarnation"},
              {}};
  for (const UpstreamInfo& upstream : response.value().upstreams) {
    table.rows.push_back(
        {std::to_string(upstream.instance.Value()), ToString(upstream.agent),
         std::to_string(upstream.slots), std::to_string(upstream.weight),
         upstream.draining ? "draining" : "active",
         std::to_string(upstream.incarnation.Value())});
  }
  PrintTable(invocation, table);
  return ExitCode::kDone;
}

ExitCode RunHistory(Invocation& invocation) {
  const auto response = Ask(MakeRequest(OperatorRequestKind::kHistory));
  if (!response.has_value()) return ReportError(invocation, response.error());
  Table table{{"revision", "operator", "request_id", "change"}, {}};
  for (const HistoryEntry& entry : response.value().history) {
    table.rows.push_back({std::to_string(entry.change.revision.Value()),
                          entry.change.operator_name, entry.change.request_id,
                          entry.summary});
  }
  PrintTable(invocation, table);
  return ExitCode::kDone;
}

ExitCode RunMembers(Invocation& invocation) {
  const auto response = Ask(MakeRequest(OperatorRequestKind::kMembers));
  if (!response.has_value()) return ReportError(invocation, response.error());
  Table table{{"member", "address", "votes", "leader"}, {}};
  for (const MemberStatus& member : response.value().members) {
    table.rows.push_back(
        {std::to_string(member.instance.Value()), ToString(member.endpoint),
         member.voter ? "yes" : "no", member.leader ? "yes" : "no"});
  }
  PrintTable(invocation, table);
  if (!response.value().message.empty()) {
    invocation.err << "cornelhillctl: " << response.value().message << "\n";
  }
  return ExitCode::kDone;
}

const Registration<Subcommand> status_registration(
    "status", {.summary = "Shows the revision, who has it and the services.",
               .flags = NetworkFlags(),
               .run = RunStatus});
const Registration<Subcommand> services_registration(
    "services", {.summary = "Lists the services in effect.",
                 .flags = NetworkFlags(),
                 .run = RunServices});
const Registration<Subcommand> upstreams_registration(
    "upstreams", {.summary = "Lists the upstreams of all services or of one.",
                  .arguments = "[SERVICE]",
                  .max_arguments = 1,
                  .flags = NetworkFlags(),
                  .run = RunUpstreams});
const Registration<Subcommand> history_registration(
    "history", {.summary = "Lists the last changes, the latest first.",
                .flags = NetworkFlags(),
                .run = RunHistory});
const Registration<Subcommand> members_registration(
    "members", {.summary = "Lists the control instances and their votes.",
                .flags = NetworkFlags(),
                .run = RunMembers});

}  // namespace

}  // namespace cornelhill
