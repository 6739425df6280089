#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "cornelhill/ctl/processes.h"

namespace cornelhill {

namespace {

ExitCode RunWhy(Invocation& invocation) {
  const Result<FlowKey> flow = ParseFlowKey(invocation.arguments[0]);
  if (!flow.has_value()) return ReportError(invocation, flow.error());
  const auto processes = ProcessesFromFlags();
  if (!processes.has_value()) return ReportError(invocation, processes.error());
  InspectClient client(processes.value());
  const auto started = client.Start();
  if (!started.has_value()) return ReportError(invocation, started.error());

  const WhyQuery query{NextQuery(), flow.value()};
  std::map<std::string, std::string> requests;
  for (const ProcessAddress& process : processes.value()) {
    requests[process.name] = Encode(InspectMessage(query));
  }
  std::vector<WhyReply> replies;
  const std::vector<std::string> unanswered =
      client.Ask(requests, ProcessTimeout(),
                 [&](const std::string&, const std::string& bytes) {
                   Result<InspectMessage> message = DecodeInspectMessage(bytes);
                   if (!message.has_value()) return false;
                   auto* reply = std::get_if<WhyReply>(&message.value());
                   if (reply == nullptr || reply->query != query.query)
                     return false;
                   replies.push_back(std::move(*reply));
                   return true;
                 });
  const ExitCode code =
      ReportUnanswered(invocation, processes.value(), unanswered);
  if (code != ExitCode::kDone) return code;
  const bool found = std::ranges::any_of(
      replies, [](const WhyReply& reply) { return !reply.decisions.empty(); });
  if (!found) {
    return ReportError(
        invocation,
        Error{ErrorCode::kNotFound,
              "none of " + std::to_string(replies.size()) +
                  " processes that answered holds a decision on flow " +
                  ToString(flow.value()) + "; an agent keeps its latest " +
                  std::to_string(DecisionRing::kCapacity) +
                  " starts and as many refusals"});
  }
  PrintDecisions(invocation, replies);
  return ExitCode::kDone;
}

struct Found {
  std::string process;
  ExplainedDecision decision;
};

std::vector<Found> ByTime(const std::vector<WhyReply>& replies) {
  std::vector<Found> found;
  for (const WhyReply& reply : replies) {
    for (const ExplainedDecision& decision : reply.decisions) {
      found.push_back({reply.process, decision});
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const Found& a, const Found& b) {
                     return a.decision.decided != b.decision.decided
                                ? a.decision.decided < b.decision.decided
                                : a.process < b.process;
                   });
  return found;
}

std::string ClassName(WorkClass work_class) {
  return std::string(kWorkClassNames.at(static_cast<size_t>(work_class)));
}

const Registration<Subcommand> registration(
    "why",
    {.summary = "Explains why the requests of a flow waited or were refused.",
     .arguments = "FLOW",
     .min_arguments = 1,
     .max_arguments = 1,
     .flags = ProcessFlagsAnd({}),
     .details = "Prints the scheduling decisions on the flow, e.g. "
                "\"udp/10.0.0.5:40001>10.0.255.1:443\",\nin sentences that can "
                "be read to the caller. Exits with 3 where no process holds "
                "a\ndecision on it and with 4 where none answered.",
     .run = RunWhy});

}  // namespace

void PrintDecisions(Invocation& invocation,
                    const std::vector<WhyReply>& replies) {
  if (invocation.output == OutputFormat::kJson) {
    auto list = nlohmann::ordered_json::array();
    for (const auto& [process, decision] : ByTime(replies)) {
      list.push_back({{"process", process},
                      {"time", WallTime(decision.decided)},
                      {"nonce", std::to_string(decision.nonce.Value())},
                      {"request", decision.request.Value()},
                      {"outcome", ToString(decision.outcome)},
                      {"class", ClassName(decision.work_class)},
                      {"waited_ms", decision.waited.Count()},
                      {"revision", decision.revision.Value()},
                      {"explanation", decision.text}});
    }
    invocation.out << list.dump(2) << "\n";
  } else {
    for (const auto& [process, decision] : ByTime(replies)) {
      invocation.out << WallTime(decision.decided) << " " << process
                     << ", configuration revision " << decision.revision.Value()
                     << ":\n  " << decision.text << "\n";
    }
  }
  for (const WhyReply& reply : replies) {
    if (!reply.truncated) continue;
    invocation.err << "cornelhillctl: earlier decisions of " << reply.process
                   << " were left out\n";
  }
}

}  // namespace cornelhill
