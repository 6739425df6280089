#include "cornelhill/observe/metrics.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "cornelhill/observe/event.h"

namespace cornelhill {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the rows of all tables whose first cell is a name in backquotes and
// that have `columns` cells.
std::vector<std::string> Rows(const std::string& path, size_t columns) {
  std::vector<std::string> rows;
  std::istringstream lines(ReadFile(path));
  for (std::string line; std::getline(lines, line);) {
    const auto bars =
        static_cast<size_t>(std::count(line.begin(), line.end(), '|'));
    if (line.starts_with("| `") && bars == columns + 1) rows.push_back(line);
  }
  return rows;
}

// Guards against a page that lists other events than the code has.
Test(docs, events_page_lists_all_events) {
  constexpr std::array kGroups = {"flow",     "request", "bucket",
                                  "upstream", "control", "process"};
  std::vector<std::string> expected;
  for (size_t i = 0; i < kEventKinds.size(); ++i) {
    const EventKindInfo& info = kEventKinds[i];
    cr_assert_eq(static_cast<size_t>(info.kind), i + 1);
    cr_assert(ParseEventKind(info.name) == info.kind);
    expected.push_back("| `" + std::string(info.name) + "` | " +
                       kGroups[static_cast<size_t>(info.group)] + " | " +
                       std::string(info.meaning) + " |");
  }
  cr_assert(Rows("docs/events.md", 3) == expected);
}

// Guards against a page that lists other metrics, labels or buckets than the
// process exposes.
Test(docs, metrics_page_lists_all_metrics) {
  std::vector<std::string> expected;
  for (const MetricInfo& info : kMetrics) {
    const std::string labels(info.labels.empty() ? "none" : info.labels);
    expected.push_back("| `" + std::string(info.name) + "` | " +
                       std::string(info.type) + " | " + labels + " | " +
                       std::string(info.unit) + " | " + std::string(info.help) +
                       " |");
  }
  cr_assert(Rows("docs/metrics.md", 5) == expected);

  Metrics metrics;
  metrics.OfService("aula");
  std::map<std::string, std::string> types;
  std::map<std::string, std::set<std::string>> labels;
  std::istringstream lines(metrics.Text());
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string hash, keyword, name, type;
    if (line.starts_with("# TYPE")) {
      words >> hash >> keyword >> name >> type;
      types[name] = type;
    }
    for (const char* label : {"service", "class", "verdict", "reason"}) {
      if (line.find(std::string(label) + "=\"") == std::string::npos) continue;
      std::string base = line.substr(0, line.find('{'));
      for (const std::string suffix : {"_bucket", "_sum", "_count"}) {
        if (base.ends_with(suffix)) base.resize(base.size() - suffix.size());
      }
      labels[base].insert(label);
    }
  }
  cr_assert_eq(types.size(), kMetrics.size());
  for (const MetricInfo& info : kMetrics) {
    const std::string name(info.name);
    cr_assert_eq(types[name], std::string(info.type), "type of %s",
                 name.c_str());
    std::set<std::string> listed;
    std::istringstream words{std::string(info.labels)};
    for (std::string word; std::getline(words >> std::ws, word, ',');) {
      listed.insert(word);
    }
    cr_assert(labels[name] == listed, "labels of %s", name.c_str());
  }

  const std::string page = ReadFile("docs/metrics.md");
  for (const std::string_view reason : kDropReasonNames) {
    cr_assert(page.find("`" + std::string(reason) + "`") != std::string::npos);
  }
  for (size_t i = 0; i < kVerdictNames.size(); ++i) {
    cr_assert(ToString(static_cast<Verdict>(i)) == kVerdictNames[i]);
  }
  for (const double bound : kWaitBounds) {
    std::ostringstream number;
    number << bound;
    cr_assert(page.find(number.str()) != std::string::npos);
  }
}

// Guards against a value that is recorded under another metric or unit.
Test(metrics, values_appear_under_their_names) {
  Metrics metrics;
  ServiceMetrics& aula = metrics.OfService("aula");
  cr_assert_eq(&aula, &metrics.OfService("aula"));
  aula.PacketReceived();
  aula.AnswerPacketSent();
  aula.AnswerPacketSent();
  for (int i = 0; i < 3; ++i) aula.FlowStarted();
  for (int i = 0; i < 4; ++i) aula.RequestEnded(Verdict::kMayHaveRun);
  for (int i = 0; i < 5; ++i) aula.RequestRetried();
  aula.RequestWaited(WorkClass::kLong, Millis(150));
  aula.SetQueued(WorkClass::kShort, 6);
  aula.SetBusySlots(WorkClass::kStraggler, 7);
  aula.SetSlots(8);
  aula.SetOpenFlows(9);
  metrics.PacketDropped(DropReason::kHopLimit);
  metrics.SetRevision(Revision(19));
  const std::string text = metrics.Text();
  for (const char* line : {
           "cornelhill_packets_total{service=\"aula\"} 1\n",
           "cornelhill_answer_packets_total{service=\"aula\"} 2\n",
           "cornelhill_flows_started_total{service=\"aula\"} 3\n",
           "cornelhill_requests_total{service=\"aula\","
           "verdict=\"may_have_run\"} 4\n",
           "cornelhill_retries_total{service=\"aula\"} 5\n",
           "cornelhill_queue_wait_seconds_bucket{class=\"long\","
           "service=\"aula\",le=\"0.1\"} 0\n",
           "cornelhill_queue_wait_seconds_bucket{class=\"long\","
           "service=\"aula\",le=\"0.2\"} 1\n",
           "cornelhill_queued_requests{class=\"short\",service=\"aula\"} 6\n",
           "cornelhill_busy_slots{class=\"straggler\",service=\"aula\"} 7\n",
           "cornelhill_slots{service=\"aula\"} 8\n",
           "cornelhill_open_flows{service=\"aula\"} 9\n",
           "cornelhill_packets_dropped_total{reason=\"hop_limit\"} 1\n",
           "cornelhill_revision_in_effect 19\n",
       }) {
    cr_assert(text.find(line) != std::string::npos, "missing: %s", line);
  }
}

// Guards against label values without a bound.
Test(metrics, services_beyond_the_limit_share_one_label_value) {
  Metrics metrics(2);
  for (int i = 0; i < 10; ++i) {
    metrics.OfService("service-" + std::to_string(i)).PacketReceived();
  }
  const std::string text = metrics.Text();
  cr_assert(text.find("packets_total{service=\"other\"} 8\n") !=
            std::string::npos);
  cr_assert(text.find("service-2") == std::string::npos);
}

std::string Get(uint16_t port, const std::string& path) {
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string answer;
  if (connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0) {
    const std::string request =
        "GET " + path + " HTTP/1.0\r\nHost: localhost\r\n\r\n";
    (void)!write(client, request.data(), request.size());
    std::array<char, 4096> buffer{};
    for (ssize_t got; (got = read(client, buffer.data(), buffer.size())) > 0;) {
      answer.append(buffer.data(), static_cast<size_t>(got));
    }
  }
  close(client);
  return answer;
}

// Guards against a server that starts without an address, a scrape that does
// not answer, and a port in use that ends the process.
Test(metrics, are_exposed_only_at_a_configured_address) {
  Metrics metrics;
  cr_assert(metrics.Expose("").has_value());
  cr_assert_eq(metrics.ExposedPort(), 0);
  metrics.SetRevision(Revision(19));
  cr_assert(metrics.Expose("127.0.0.1:0").has_value());
  const uint16_t port = metrics.ExposedPort();
  cr_assert_neq(port, 0);
  cr_assert(Get(port, "/metrics").find("cornelhill_revision_in_effect 19") !=
            std::string::npos);

  Metrics second;
  cr_assert(second.Expose("127.0.0.1:" + std::to_string(port)).error().code ==
            ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace cornelhill
