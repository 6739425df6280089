#include "cornelhill/config/declaration_json.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "cornelhill/base/random.h"
#include "cornelhill/config/rule_fields.h"
#include "cornelhill/config/settings.h"
#include "tests/common/golden.h"

namespace cornelhill {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kSeed = 20260711;

Declaration RandomDeclaration(Random& random) {
  Declaration declaration;
  const uint64_t count = random.Below(6);
  for (uint32_t i = 0; i < count; ++i) {
    ServiceDeclaration service;
    service.name = "s" + std::to_string(i);
    service.address = {static_cast<uint32_t>(1 + random.Below(0xfffffffe)),
                       static_cast<uint16_t>(1000 + i)};
    service.protocol = random.Chance(0.5) ? Protocol::kTcp : Protocol::kUdp;
    service.application = "app" + std::to_string(i);
    for (const RuleField& field : RuleFields()) {
      const auto span = static_cast<uint64_t>(field.maximum - field.minimum);
      SetRule(service.rules, field,
              field.minimum + static_cast<int64_t>(random.Below(span + 1)));
    }
    service.rules.straggler_after =
        std::max(service.rules.straggler_after, service.rules.short_quantum);
    service.rules.max_queued =
        std::max(service.rules.max_queued, service.rules.max_queued_per_caller);
    declaration.services.push_back(std::move(service));
  }
  return declaration;
}

// Guards against a field that is not written, not read or mixed up with
// another, and against an output that depends on the order of the services.
Test(declaration_json, canonical_form_reads_back_in_any_order) {
  std::printf("seed=%lu\n", kSeed);
  Random random(kSeed);
  for (int round = 0; round < 100; ++round) {
    Declaration declaration = RandomDeclaration(random);
    const std::string text = WriteDeclaration(declaration);
    const Result<Declaration> parsed = ParseDeclaration(text, "FILE");
    cr_assert(parsed.has_value(), "%s", parsed.error().message.c_str());
    cr_assert(parsed.value() == declaration);
    std::ranges::reverse(declaration.services);
    cr_assert(WriteDeclaration(declaration) == text);
  }
}

// Guards against rules that a changed default alters after the declaration was
// accepted: the canonical form states each rule.
Test(declaration_json, canonical_form_is_golden) {
  const Result<Declaration> declaration =
      LoadDeclaration("tests/config/data/two.declaration.json");
  cr_assert(declaration.has_value());
  ExpectGoldenFile("tests/config/data/two.canonical.declaration.json",
                   WriteDeclaration(declaration.value()));
}

struct AnyValue {
  template <typename T>
  operator T() const;  // NOLINT(google-explicit-constructor)
};

// Returns the number of members of an aggregate.
template <typename T, typename... Args>
constexpr size_t MemberCount() {
  if constexpr (requires { T{Args()..., AnyValue()}; }) {
    return MemberCount<T, Args..., AnyValue>();
  } else {
    return sizeof...(Args);
  }
}

// Guards against a rule added to SchedulingRules that no declaration can state.
Test(declaration_json, each_turn_rule_has_a_field) {
  cr_assert_eq(
      RuleFields().size(), MemberCount<SchedulingRules>(),
      "src/config/rule_fields.cc lists %zu rules, SchedulingRules has %zu",
      RuleFields().size(), MemberCount<SchedulingRules>());
}

// Replaces or adds one random value somewhere in `document`.
void Mutate(Random& random, Json& document) {
  static const std::vector<Json> values = {nullptr,
                                           true,
                                           0,
                                           -1,
                                           1e300,
                                           1.5,
                                           18446744073709551615ULL,
                                           "",
                                           "a",
                                           {},
                                           "é",
                                           Json::array({1, "x"}),
                                           Json{{"name", "a"}},
                                           "127.0.0.1:1"};
  Json* node = &document;
  while (node->is_structured() && !node->empty() && random.Chance(0.8)) {
    auto child = node->begin();
    std::advance(child, static_cast<ptrdiff_t>(random.Below(node->size())));
    node = &*child;
  }
  const Json& value = values[random.Below(values.size())];
  if (node->is_object() && random.Chance(0.3)) {
    (*node)["extra"] = value;
  } else if (node->is_array() && random.Chance(0.3)) {
    node->push_back(value);
  } else {
    *node = value;
  }
}

// Guards against a document that ends the process instead of being refused,
// e.g. by an exception of the JSON libraries on an unexpected type.
Test(declaration_json, no_mutated_document_ends_the_process) {
  std::printf("seed=%lu\n", kSeed);
  Random random(kSeed);
  int refused = 0;
  for (const char* name :
       {"balancer.settings.json", "agent.settings.json",
        "control.settings.json", "two.canonical.declaration.json"}) {
    const std::string original =
        ReadFile(std::string("tests/config/data/") + name);
    for (int round = 0; round < 1500; ++round) {
      Json document = Json::parse(original);
      for (uint64_t i = 0; i <= random.Below(3); ++i) Mutate(random, document);
      std::string text = document.dump();
      if (random.Chance(0.2)) {
        text[random.Below(text.size())] = static_cast<char>(random.Below(256));
      }
      const Result<Settings> settings = ParseSettings(text, "FILE");
      const Result<Declaration> declaration = ParseDeclaration(text, "FILE");
      cr_assert(settings.has_error() || declaration.has_error());
      if (settings.has_value() || declaration.has_value()) continue;
      ++refused;
      for (const std::string& message :
           {settings.error().message, declaration.error().message}) {
        cr_assert_eq(std::ranges::count(message, '\n'), 0, "%s",
                     message.c_str());
      }
    }
  }
  cr_assert_gt(refused, 4000);
}

}  // namespace
}  // namespace cornelhill
