#include "cornelhill/config/declaration_json.h"

#include <algorithm>

#include "config/schema_checker.h"
#include "config/unique_services.h"
#include "cornelhill/config/rule_fields.h"
#include "cornelhill/config/schemas.h"

namespace cornelhill {

namespace {

const SchemaChecker& Checker() {
  static const SchemaChecker checker(DeclarationSchema(), "");
  return checker;
}

// Rules whose ranges depend on each other. A value that is not stated is its
// default, which is then named in the error.
Result<void> CheckRules(const SchedulingRules& rules, size_t index,
                        const Json& document, const std::string& file) {
  const auto refuse = [&](const char* name, const char* other,
                          const std::string& expected) {
    const bool stated = document["services"][index]["rules"].contains(name);
    return FieldError(
        file, document,
        {"services", std::to_string(index), "rules", stated ? name : other},
        expected);
  };
  if (rules.straggler_after < rules.short_quantum) {
    return refuse("straggler_after_ms", "short_quantum_ms",
                  "straggler_after_ms (" +
                      std::to_string(rules.straggler_after.Count()) +
                      ") to be at least short_quantum_ms (" +
                      std::to_string(rules.short_quantum.Count()) + ")");
  }
  if (rules.max_queued_per_caller > rules.max_queued) {
    return refuse("max_queued_per_caller", "max_queued",
                  "max_queued_per_caller (" +
                      std::to_string(rules.max_queued_per_caller) +
                      ") to be at most max_queued (" +
                      std::to_string(rules.max_queued) + ")");
  }
  return boost::outcome_v2::success();
}

// Requires a value that passed the check.
ServiceDeclaration ReadService(const Json& value) {
  ServiceDeclaration service;
  service.name = value["name"];
  service.address = ParseEndpoint(value["address"].get<std::string>()).value();
  service.protocol =
      value.value("protocol", "udp") == "tcp" ? Protocol::kTcp : Protocol::kUdp;
  service.application = value["application"];
  const Json rules = value.value("rules", Json::object());
  for (const RuleField& field : RuleFields()) {
    if (!rules.contains(field.name)) continue;
    SetRule(service.rules, field, rules[field.name].get<int64_t>());
  }
  return service;
}

Json WriteService(const ServiceDeclaration& service) {
  Json rules = Json::object();
  for (const RuleField& field : RuleFields()) {
    rules[std::string(field.name)] = GetRule(service.rules, field);
  }
  return Json{{"name", service.name},
              {"address", ToString(service.address)},
              {"protocol", service.protocol == Protocol::kTcp ? "tcp" : "udp"},
              {"application", service.application},
              {"rules", std::move(rules)}};
}

}  // namespace

Result<Declaration> ParseDeclaration(std::string_view text,
                                     const std::string& file) {
  BOOST_OUTCOME_TRY(document, ParseJson(text, file));
  BOOST_OUTCOME_TRY(Checker().Check(document, file));
  Declaration declaration;
  for (const Json& value : document["services"]) {
    declaration.services.push_back(ReadService(value));
  }
  BOOST_OUTCOME_TRY(CheckUnique(declaration.services, document, file));
  for (size_t i = 0; i < declaration.services.size(); ++i) {
    BOOST_OUTCOME_TRY(
        CheckRules(declaration.services[i].rules, i, document, file));
  }
  std::ranges::sort(declaration.services, {}, &ServiceDeclaration::name);
  return declaration;
}

Result<Declaration> LoadDeclaration(const std::string& path) {
  BOOST_OUTCOME_TRY(text, ReadTextFile(path, kMaxDeclarationBytes));
  return ParseDeclaration(text, path);
}

std::string WriteDeclaration(const Declaration& declaration) {
  std::vector<const ServiceDeclaration*> ordered;
  for (const ServiceDeclaration& service : declaration.services) {
    ordered.push_back(&service);
  }
  std::ranges::sort(ordered, {}, [](const auto* service) -> const std::string& {
    return service->name;
  });
  Json services = Json::array();
  for (const ServiceDeclaration* service : ordered) {
    services.push_back(WriteService(*service));
  }
  return Json{{"services", std::move(services)}}.dump(2) + "\n";
}

}  // namespace cornelhill
