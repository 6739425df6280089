#include "cornelhill/config/questionnaire.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <set>
#include <sstream>

#include "cornelhill/base/random.h"
#include "cornelhill/config/declaration_json.h"
#include "cornelhill/config/rule_fields.h"
#include "tests/common/golden.h"

namespace cornelhill {
namespace {

constexpr uint64_t kSeed = 20260712;

std::string Example(const std::string& team, const std::string& kind) {
  return "examples/" + team + "." + kind;
}

GeneratedDeclaration GenerateExample(const std::string& team) {
  const Result<Answers> answers = LoadAnswers(Example(team, "answers.json"));
  cr_assert(answers.has_value(), "%s", answers.error().message.c_str());
  return Generate(answers.value());
}

// Guards against examples that the questionnaire no longer generates.
Test(questionnaire, examples_are_what_the_answers_generate) {
  for (const char* team : {"formamianto-norte", "sideline-vision"}) {
    const GeneratedDeclaration generated = GenerateExample(team);
    ExpectGoldenFile(Example(team, "declaration.json"),
                     WriteDeclaration(generated.declaration));
    ExpectGoldenFile(Example(team, "reasons.txt"), RenderReasons(generated));
  }
}

// Guards against a top priority without effect: the team that suffers from
// head-of-line blocking limits long work earlier and queues less.
Test(questionnaire, priorities_lead_to_different_rules) {
  const SchedulingRules broken =
      GenerateExample("formamianto-norte").declaration.services[0].rules;
  const SchedulingRules blocking =
      GenerateExample("sideline-vision").declaration.services[1].rules;
  cr_assert(blocking.short_quantum < broken.short_quantum);
  cr_assert(blocking.short_bytes < broken.short_bytes);
  cr_assert(blocking.straggler_after < broken.straggler_after);
  cr_assert(blocking.straggler_permille < broken.straggler_permille);
  cr_assert(blocking.max_wait < broken.max_wait);
  cr_assert(blocking.retry_permille < broken.retry_permille);
}

Answers RandomAnswers(Random& random) {
  const auto maybe = [&random](const Question& question) {
    std::optional<uint32_t> value;
    if (random.Chance(0.6)) {
      const uint64_t span = question.maximum - question.minimum;
      value = question.minimum + static_cast<uint32_t>(random.Below(span + 1));
    }
    return value;
  };
  const auto maybe_bool = [&random]() -> std::optional<bool> {
    if (random.Chance(0.3)) return std::nullopt;
    return random.Chance(0.5);
  };
  const auto find = [](std::string_view name) -> const Question& {
    return *std::ranges::find(ServiceQuestions(), name, &Question::name);
  };
  Answers answers;
  answers.team = "team";
  answers.top_priority = static_cast<Priority>(random.Below(4));
  answers.sudden_demand = maybe_bool();
  answers.stragglers = maybe_bool();
  answers.heavy_callers = maybe_bool();
  for (uint64_t i = 0; i <= random.Below(3); ++i) {
    ServiceAnswers service;
    service.name = service.application = "s" + std::to_string(i);
    service.address = {0x7f000001, static_cast<uint16_t>(7000 + i)};
    service.upstreams = 1 + static_cast<uint32_t>(random.Below(10000));
    service.slots = 1 + static_cast<uint32_t>(random.Below(1024));
    if (random.Chance(0.2)) service.upstreams = service.slots = 1;
    service.connections = maybe(find("connections"));
    service.short_work_ms = maybe(find("short_work_ms"));
    service.short_work_bytes = maybe(find("short_work_bytes"));
    service.long_work_ms = maybe(find("long_work_ms"));
    service.patience_ms = maybe(find("patience_ms"));
    service.caller_peak_rate = maybe(find("caller_peak_rate"));
    answers.services.push_back(std::move(service));
  }
  return answers;
}

// Guards against answers whose generated declaration is refused, and against
// settings without an origin.
Test(questionnaire, any_answers_generate_an_accepted_declaration) {
  std::printf("seed=%lu\n", kSeed);
  Random random(kSeed);
  for (int round = 0; round < 500; ++round) {
    const Answers answers = RandomAnswers(random);
    const Result<Answers> read = ParseAnswers(WriteAnswers(answers), "FILE");
    cr_assert(read.has_value(), "%s", read.error().message.c_str());
    cr_assert(read.value() == answers);
    const GeneratedDeclaration generated = Generate(answers);
    const Result<Declaration> parsed =
        ParseDeclaration(WriteDeclaration(generated.declaration), "FILE");
    cr_assert(parsed.has_value(), "%s", parsed.error().message.c_str());
    std::set<std::pair<std::string, std::string>> explained;
    for (const DerivedSetting& setting : generated.settings) {
      cr_assert(explained.emplace(setting.service, setting.setting).second);
      cr_assert_not(setting.answer.empty() || setting.reason.empty());
    }
    cr_assert_eq(explained.size(),
                 answers.services.size() * (3 + RuleFields().size()));
  }
}

// Guards against a reserve that agents round to another number of slots than
// the reason states.
Test(questionnaire, reserve_is_exact_in_slots) {
  for (uint32_t upstreams = 1; upstreams <= 9000; upstreams += 37) {
    for (const uint32_t slots : {2U, 4U, 7U}) {
      Answers answers;
      answers.top_priority = Priority::kHeadOfLineBlocking;
      ServiceAnswers service;
      service.name = "s";
      service.upstreams = upstreams;
      service.slots = slots;
      answers.services = {service};
      const uint64_t pool = uint64_t{upstreams} * slots;
      const GeneratedDeclaration generated = Generate(answers);
      const uint64_t permille =
          generated.declaration.services[0].rules.short_reserve_permille;
      const uint64_t reserved = (pool * permille + 999) / 1000;
      const std::string stated =
          std::to_string(reserved) + " of " + std::to_string(pool) + " slots";
      cr_assert_neq(RenderReasons(generated).find(stated), std::string::npos,
                    "%s", stated.c_str());
    }
  }
}

// Guards against a dialogue that loops, loses an answer or accepts a bad one.
Test(questionnaire, dialogue_is_golden) {
  std::istringstream input(ReadFile("tests/config/dialogue.input.txt"));
  std::ostringstream output;
  const Result<Answers> answers = Ask(input, output);
  cr_assert(answers.has_value(), "%s", answers.error().message.c_str());
  ExpectGoldenFile("tests/config/dialogue.golden.txt",
                   output.str() + "\n" + WriteAnswers(answers.value()));

  std::istringstream cut("team-a\nbroken_flows\n");
  std::ostringstream ignored;
  cr_assert(Ask(cut, ignored).error().message ==
            "sudden_demand: missing, the input ended; expected yes or no");
}

}  // namespace
}  // namespace cornelhill
