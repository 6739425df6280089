#include "cornelhill/ctl/network.h"

#include <absl/flags/flag.h>
#include <unistd.h>

#include <chrono>
#include <sstream>
#include <thread>
#include <utility>

ABSL_FLAG(std::string, control, "",
          "Addresses of the control instances, IPV4:PORT,IPV4:PORT... (no "
          "default).");
ABSL_FLAG(int64_t, timeout, 10000,
          "How long to wait for an answer, in ms (default 10000).");
ABSL_FLAG(std::string, request_id, "",
          "Request id of an earlier call whose answer was lost; control then "
          "repeats that answer (default: a new one).");
ABSL_FLAG(std::string, operator_name, "",
          "Who asks, for the history (default: the user id).");

namespace cornelhill {

namespace {

constexpr std::chrono::milliseconds kPollPeriod(200);

Result<std::vector<Endpoint>> ControlAddresses() {
  const std::string list = absl::GetFlag(FLAGS_control);
  if (list.empty()) {
    return Error{ErrorCode::kInvalidArgument,
                 "--control is required, e.g. "
                 "--control=127.0.1.1:7100,127.0.1.2:7100"};
  }
  std::vector<Endpoint> addresses;
  std::stringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');) {
    const Result<Endpoint> address = ParseEndpoint(item);
    if (!address.has_value()) {
      return Error{ErrorCode::kInvalidArgument,
                   "--control: " + address.error().message};
    }
    addresses.push_back(address.value());
  }
  return addresses;
}

std::string OutcomeName(OperatorOutcome outcome) {
  switch (outcome) {
    case OperatorOutcome::kOk:
      return "in the log";
    case OperatorOutcome::kUnchanged:
      return "unchanged";
    case OperatorOutcome::kConflict:
      return "conflict";
    case OperatorOutcome::kNotFound:
      return "not found";
    case OperatorOutcome::kInvalid:
      return "not accepted";
    case OperatorOutcome::kNotLeader:
      return "not the leader";
    case OperatorOutcome::kCannotConfirm:
      return "cannot confirm";
  }
  return "unknown";
}

}  // namespace

std::vector<std::string> NetworkFlags() {
  return {"control", "timeout", "operator_name", "request_id"};
}

std::vector<std::string> NetworkFlagsAnd(std::vector<std::string> more) {
  std::vector<std::string> flags = NetworkFlags();
  flags.insert(flags.end(), more.begin(), more.end());
  return flags;
}

OperatorRequest MakeRequest(OperatorRequestKind kind) {
  OperatorRequest request;
  request.kind = kind;
  request.request_id = absl::GetFlag(FLAGS_request_id);
  if (request.request_id.empty()) request.request_id = NewRequestId();
  request.operator_name = absl::GetFlag(FLAGS_operator_name);
  if (request.operator_name.empty()) {
    request.operator_name = "uid-" + std::to_string(getuid());
  }
  return request;
}

Result<OperatorResponse> Ask(const OperatorRequest& request) {
  BOOST_OUTCOME_TRY(addresses, ControlAddresses());
  OperatorClient client(addresses);
  BOOST_OUTCOME_TRY(client.Start());
  return client.Ask(request, Millis(absl::GetFlag(FLAGS_timeout)));
}

ExitCode ReportChange(Invocation& invocation, const OperatorRequest& request,
                      const Result<OperatorResponse>& response) {
  if (!response.has_value()) {
    const ExitCode code = ReportError(invocation, response.error());
    if (code == ExitCode::kUnavailable) {
      invocation.err << "cornelhillctl: the change may be in effect; repeat "
                        "the call with --request_id="
                     << request.request_id;
      if (request.kind == OperatorRequestKind::kApply) {
        invocation.err << " --base=" << request.base.Value();
      }
      invocation.err << " to learn what became of it\n";
    }
    return code;
  }
  const OperatorResponse& answer = response.value();
  Table table{{"outcome", "revision", "request_id", "detail"}, {}};
  std::string detail = answer.message;
  if (answer.outcome == OperatorOutcome::kConflict) {
    detail += (detail.empty() ? "" : "; ") + std::string("lost to revision ") +
              std::to_string(answer.lost_to.revision.Value()) + " by " +
              answer.lost_to.operator_name + ", request " +
              answer.lost_to.request_id;
  }
  table.rows.push_back({OutcomeName(answer.outcome),
                        std::to_string(answer.revision.Value()),
                        request.request_id, detail});
  PrintTable(invocation, table);
  return answer.outcome == OperatorOutcome::kOk ||
                 answer.outcome == OperatorOutcome::kUnchanged
             ? ExitCode::kDone
             : ExitCode::kRefused;
}

ExitCode WaitForRevision(Invocation& invocation, Revision revision) {
  const Millis end = MonotonicNow() + Millis(absl::GetFlag(FLAGS_timeout));
  OperatorResponse last;
  while (MonotonicNow() < end) {
    OperatorRequest request = MakeRequest(OperatorRequestKind::kStatus);
    request.request_id = NewRequestId();
    const Result<OperatorResponse> response = Ask(request);
    if (!response.has_value()) return ReportError(invocation, response.error());
    last = response.value();
    if (last.report.processes > 0 && last.report.lowest >= revision) {
      Table table{{"revision", "in_effect_at"}, {}};
      table.rows.push_back(
          {std::to_string(revision.Value()),
           std::to_string(last.report.processes) + " processes"});
      PrintTable(invocation, table);
      return ExitCode::kDone;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return ReportError(
      invocation,
      Error{ErrorCode::kUnavailable,
            "revision " + std::to_string(revision.Value()) +
                " is not in effect everywhere after " +
                std::to_string(absl::GetFlag(FLAGS_timeout)) +
                " ms: lowest is " + std::to_string(last.report.lowest.Value()) +
                " at " + std::to_string(last.report.lagging.size()) +
                " listed processes; see cornelhillctl status"});
}

}  // namespace cornelhill
