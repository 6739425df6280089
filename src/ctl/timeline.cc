#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <map>
#include <optional>
#include <utility>

#include "cornelhill/base/hash.h"
#include "cornelhill/ctl/processes.h"
#include "cornelhill/observe/timeline_codec.h"

ABSL_FLAG(std::string, flow, "",
          "Only events of this flow, e.g. udp/10.0.0.5:40001>10.0.255.1:443.");
ABSL_FLAG(std::string, service_id, "",
          "Only events of this service, by the number that events show.");
ABSL_FLAG(std::string, upstream, "",
          "Only events of this upstream, by instance name or number.");
ABSL_FLAG(std::string, revision, "",
          "Only events of this configuration revision.");
ABSL_FLAG(std::string, from, "",
          "Only events at or after this time, e.g. 2026-12-04T07:02:00.123Z.");
ABSL_FLAG(std::string, to, "", "Only events at or before this time.");
ABSL_FLAG(std::string, html, "",
          "File for the timeline as a page without external resources; nothing "
          "is printed then.");

namespace cornelhill {

namespace {

template <typename T>
std::optional<T> ParseNumber(const std::string& text) {
  T value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return value;
}

Error NotAccepted(const std::string& flag, const std::string& value,
                  const std::string& expected) {
  return Error{ErrorCode::kInvalidArgument, flag + ": \"" + value +
                                                "\" is not accepted; "
                                                "expected " +
                                                expected};
}

Result<std::optional<Millis>> ParseTime(const std::string& flag,
                                        const std::string& text) {
  if (text.empty()) return std::optional<Millis>();
  absl::Time time;
  std::string ignored;
  if (!absl::ParseTime(absl::RFC3339_full, text, &time, &ignored) ||
      time < absl::UnixEpoch()) {
    return NotAccepted(flag, text, "a time like 2026-12-04T07:02:00.123Z");
  }
  return std::optional<Millis>(Millis(absl::ToUnixMillis(time)));
}

Result<EventFilter> FilterFromFlags() {
  EventFilter filter;
  const std::string flow = absl::GetFlag(FLAGS_flow);
  if (!flow.empty()) {
    const Result<FlowKey> key = ParseFlowKey(flow);
    if (!key.has_value()) {
      return Error{ErrorCode::kInvalidArgument,
                   "--flow: " + key.error().message};
    }
    filter.flow = key.value();
  }
  const std::string service = absl::GetFlag(FLAGS_service_id);
  if (!service.empty()) {
    const auto id = ParseNumber<uint32_t>(service);
    if (!id) return NotAccepted("--service_id", service, "a number");
    filter.service = ServiceId(*id);
  }
  const std::string upstream = absl::GetFlag(FLAGS_upstream);
  if (!upstream.empty()) {
    // Settings derive the id of an instance from its name in the same way.
    filter.upstream =
        InstanceId(ParseNumber<uint64_t>(upstream).value_or(Hash64(upstream)));
  }
  const std::string revision = absl::GetFlag(FLAGS_revision);
  if (!revision.empty()) {
    const auto number = ParseNumber<uint64_t>(revision);
    if (!number) return NotAccepted("--revision", revision, "a number");
    filter.revision = Revision(*number);
  }
  BOOST_OUTCOME_TRY(from, ParseTime("--from", absl::GetFlag(FLAGS_from)));
  BOOST_OUTCOME_TRY(to, ParseTime("--to", absl::GetFlag(FLAGS_to)));
  filter.from = from;
  filter.to = to;
  return filter;
}

ExitCode RunTimeline(Invocation& invocation) {
  const auto filter = FilterFromFlags();
  if (!filter.has_value()) return ReportError(invocation, filter.error());
  const auto processes = ProcessesFromFlags();
  if (!processes.has_value()) return ReportError(invocation, processes.error());
  InspectClient client(processes.value());
  const auto started = client.Start();
  if (!started.has_value()) return ReportError(invocation, started.error());

  const EventQuery query{NextQuery(), filter.value(), kMaxTimelineEvents};
  std::vector<std::string> asked;
  std::map<std::string, std::string> requests;
  for (const ProcessAddress& process : processes.value()) {
    asked.push_back(process.name);
    requests[process.name] = Encode(TimelineMessage{{WallNow(), 0}, query});
  }
  std::vector<EventReply> replies;
  const std::vector<std::string> unanswered = client.Ask(
      requests, ProcessTimeout(),
      [&](const std::string& name, const std::string& bytes) {
        Result<TimelineMessage> message = DecodeTimelineMessage(bytes);
        if (!message.has_value()) return false;
        auto* reply = std::get_if<EventReply>(&message.value().body);
        if (reply == nullptr || reply->query != query.query) return false;
        if (reply->process != name) {
          // Its own name is the evidence; the list is wrong.
          invocation.err << "cornelhillctl: the process listed as " << name
                         << " answers as " << reply->process << "\n";
          std::ranges::replace(asked, name, reply->process);
        }
        replies.push_back(std::move(*reply));
        return true;
      });
  const ExitCode code =
      ReportUnanswered(invocation, processes.value(), unanswered);
  if (code != ExitCode::kDone) return code;
  const Timeline timeline = MergeTimeline(filter.value(), asked, replies);
  const std::string path = absl::GetFlag(FLAGS_html);
  if (path.empty()) {
    PrintTimeline(invocation, timeline);
    return ExitCode::kDone;
  }
  std::ofstream file(path, std::ios::binary);
  file << RenderHtml(timeline);
  file.close();
  if (!file) {
    return ReportError(invocation,
                       Error{ErrorCode::kIo, path + ": cannot be written"});
  }
  return ExitCode::kDone;
}

const Registration<Subcommand> registration(
    "timeline",
    {.summary = "Merges the latest events of processes in causal order.",
     .flags = ProcessFlagsAnd({"flow", "service_id", "upstream", "revision",
                               "from", "to", "html"}),
     .details = "Names the processes that did not answer and those whose "
                "earliest events may be\nmissing. Exits with 4 only where no "
                "process answered.",
     .run = RunTimeline});

}  // namespace

void PrintTimeline(Invocation& invocation, const Timeline& timeline) {
  invocation.out << (invocation.output == OutputFormat::kJson
                         ? RenderJson(timeline)
                         : RenderText(timeline));
}

}  // namespace cornelhill
