#include "cornelhill/config/answers.h"

#include <array>
#include <utility>

#include "config/schema_checker.h"
#include "config/unique_services.h"
#include "cornelhill/config/schemas.h"

namespace cornelhill {

namespace {

constexpr size_t kMaxAnswersBytes = 4194304;

constexpr std::array<std::pair<Priority, std::string_view>, 4> kPriorities = {{
    {Priority::kBrokenFlows, "broken_flows"},
    {Priority::kHeadOfLineBlocking, "head_of_line_blocking"},
    {Priority::kPeakService, "peak_service"},
    {Priority::kImbalance, "imbalance"},
}};

template <typename T>
std::optional<T> ReadOptional(const Json& object, const char* key) {
  if (!object.contains(key)) return std::nullopt;
  return object[key].get<T>();
}

template <typename T>
void WriteOptional(Json& object, const char* key,
                   const std::optional<T>& value) {
  if (value.has_value()) object[key] = *value;
}

void WriteText(Json& object, const char* key, const std::string& value) {
  if (!value.empty()) object[key] = value;
}

// Requires a value that passed the check.
ServiceAnswers ReadService(const Json& value) {
  ServiceAnswers service;
  service.name = value["name"];
  service.address = ParseEndpoint(value["address"].get<std::string>()).value();
  service.protocol =
      value.value("protocol", "udp") == "tcp" ? Protocol::kTcp : Protocol::kUdp;
  service.application = value.value("application", service.name);
  service.upstreams = value["upstreams"];
  service.slots = value["slots"];
  service.connections = ReadOptional<uint32_t>(value, "connections");
  service.short_work = value.value("short_work", "");
  service.short_work_ms = ReadOptional<uint32_t>(value, "short_work_ms");
  service.short_work_bytes = ReadOptional<uint32_t>(value, "short_work_bytes");
  service.long_work = value.value("long_work", "");
  service.long_work_ms = ReadOptional<uint32_t>(value, "long_work_ms");
  service.patience_ms = ReadOptional<uint32_t>(value, "patience_ms");
  service.caller_peak_rate = ReadOptional<uint32_t>(value, "caller_peak_rate");
  return service;
}

Json WriteService(const ServiceAnswers& service) {
  Json value = {
      {"name", service.name},
      {"address", ToString(service.address)},
      {"protocol", service.protocol == Protocol::kTcp ? "tcp" : "udp"},
      {"application", service.application},
      {"upstreams", service.upstreams},
      {"slots", service.slots}};
  WriteOptional(value, "connections", service.connections);
  WriteText(value, "short_work", service.short_work);
  WriteOptional(value, "short_work_ms", service.short_work_ms);
  WriteOptional(value, "short_work_bytes", service.short_work_bytes);
  WriteText(value, "long_work", service.long_work);
  WriteOptional(value, "long_work_ms", service.long_work_ms);
  WriteOptional(value, "patience_ms", service.patience_ms);
  WriteOptional(value, "caller_peak_rate", service.caller_peak_rate);
  return value;
}

}  // namespace

std::string_view ToString(Priority priority) {
  return kPriorities.at(static_cast<size_t>(priority)).second;
}

Result<Answers> ParseAnswers(std::string_view text, const std::string& file) {
  static const SchemaChecker checker(AnswersSchema(), "");
  BOOST_OUTCOME_TRY(document, ParseJson(text, file));
  BOOST_OUTCOME_TRY(checker.Check(document, file));
  Answers answers;
  answers.team = document["team"];
  for (const auto& [priority, name] : kPriorities) {
    if (document["top_priority"] == name) answers.top_priority = priority;
  }
  answers.sudden_demand = ReadOptional<bool>(document, "sudden_demand");
  answers.stragglers = ReadOptional<bool>(document, "stragglers");
  answers.heavy_callers = ReadOptional<bool>(document, "heavy_callers");
  std::vector<ServiceDeclaration> declared;
  for (const Json& value : document["services"]) {
    answers.services.push_back(ReadService(value));
    const ServiceAnswers& service = answers.services.back();
    declared.push_back({service.name, service.address, service.protocol,
                        service.application, SchedulingRules()});
  }
  BOOST_OUTCOME_TRY(CheckUnique(declared, document, file));
  return answers;
}

Result<Answers> LoadAnswers(const std::string& path) {
  BOOST_OUTCOME_TRY(text, ReadTextFile(path, kMaxAnswersBytes));
  return ParseAnswers(text, path);
}

std::string WriteAnswers(const Answers& answers) {
  Json document = {{"team", answers.team},
                   {"top_priority", ToString(answers.top_priority)}};
  WriteOptional(document, "sudden_demand", answers.sudden_demand);
  WriteOptional(document, "stragglers", answers.stragglers);
  WriteOptional(document, "heavy_callers", answers.heavy_callers);
  document["services"] = Json::array();
  for (const ServiceAnswers& service : answers.services) {
    document["services"].push_back(WriteService(service));
  }
  return document.dump(2) + "\n";
}

}  // namespace cornelhill
