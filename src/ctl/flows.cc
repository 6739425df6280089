#include <algorithm>
#include <map>
#include <utility>

#include "cornelhill/ctl/processes.h"

namespace cornelhill {

namespace {

ExitCode RunFlows(Invocation& invocation) {
  const auto processes = ProcessesFromFlags();
  if (!processes.has_value()) return ReportError(invocation, processes.error());
  InspectClient client(processes.value());
  const auto started = client.Start();
  if (!started.has_value()) return ReportError(invocation, started.error());

  FlowQuery first;
  first.query = NextQuery();
  std::map<std::string, std::string> requests;
  for (const ProcessAddress& process : processes.value()) {
    requests[process.name] = Encode(InspectMessage(first));
  }
  std::vector<FlowReply> replies;
  std::vector<std::string> unanswered;
  uint64_t query = first.query;
  // Each round asks for the next page of those that have one.
  while (!requests.empty()) {
    std::map<std::string, std::string> next;
    FlowQuery following;
    following.query = NextQuery();
    const std::vector<std::string> silent = client.Ask(
        requests, ProcessTimeout(),
        [&](const std::string& name, const std::string& bytes) {
          Result<InspectMessage> message = DecodeInspectMessage(bytes);
          if (!message.has_value()) return false;
          auto* reply = std::get_if<FlowReply>(&message.value());
          if (reply == nullptr || reply->query != query) return false;
          if (reply->more && !reply->flows.empty()) {
            following.after = reply->flows.back().flow;
            next[name] = Encode(InspectMessage(following));
          }
          replies.push_back(std::move(*reply));
          return true;
        });
    unanswered.insert(unanswered.end(), silent.begin(), silent.end());
    query = following.query;
    requests = std::move(next);
  }
  const ExitCode code =
      ReportUnanswered(invocation, processes.value(), unanswered);
  if (code != ExitCode::kDone) return code;
  std::stable_sort(replies.begin(), replies.end(),
                   [](const FlowReply& a, const FlowReply& b) {
                     return a.process < b.process;
                   });
  PrintFlows(invocation, replies);
  return ExitCode::kDone;
}

const Registration<Subcommand> registration(
    "flows",
    {.summary = "Lists the open flows of agents.",
     .flags = ProcessFlagsAnd({}),
     .details = "A flow that opens or closes while the pages of an agent are "
                "fetched may be missing.\nThe age counts from when the agent "
                "accepted the flow. Exits with 4 only where no\nprocess "
                "answered.",
     .run = RunFlows});

}  // namespace

void PrintFlows(Invocation& invocation, const std::vector<FlowReply>& replies) {
  Table table{
      {"process", "flow", "nonce", "state", "class", "balancer", "age_ms"}, {}};
  for (const FlowReply& reply : replies) {
    for (const InspectedFlow& flow : reply.flows) {
      table.rows.push_back(
          {reply.process, ToString(flow.flow),
           std::to_string(flow.nonce.Value()),
           std::string(ToString(flow.state)),
           std::string(
               kWorkClassNames.at(static_cast<size_t>(flow.work_class))),
           ToString(flow.balancer), std::to_string(flow.age.Count())});
    }
  }
  PrintTable(invocation, table);
}

}  // namespace cornelhill
