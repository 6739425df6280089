#include "cornelhill/config/generate.h"

#include <algorithm>
#include <utility>

#include "cornelhill/config/rule_fields.h"

namespace cornelhill {

namespace {

// A rule's value with the answer it comes from and the reason.
struct Choice {
  int64_t value = 0;
  std::string answer;
  std::string reason;
};

// Adds the settings of one service to the result.
class ServiceGenerator {
 public:
  ServiceGenerator(const Answers& answers, const ServiceAnswers& service)
      : answers(answers), service(service) {
    this->declared.name = service.name;
    this->declared.address = service.address;
    this->declared.protocol = service.protocol;
    this->declared.application = service.application;
  }

  void Run(GeneratedDeclaration& generated) {
    const ServiceDeclaration& made = this->declared;
    this->Given("address", ToString(made.address), "address",
                "Callers reach the service here.");
    this->Given("protocol", made.protocol == Protocol::kTcp ? "tcp" : "udp",
                "protocol", "Callers use this protocol.");
    this->Given("application", made.application, "application",
                "Agents that announce this application serve the service, and "
                "no others.");

    this->Choose("short_quantum_ms", this->ShortQuantum());
    this->Choose("short_bytes", this->ShortBytes());
    this->Choose("short_reserve_permille", this->ShortReserve());
    this->Choose("straggler_permille", this->StragglerShare());
    this->Choose("straggler_after_ms", this->StragglerAfter());
    this->Choose("max_wait_ms", this->MaxWait());
    this->Choose("max_queued", this->MaxQueued());
    this->Choose("max_queued_per_caller", this->MaxQueuedPerCaller());
    this->Choose("caller_rate", this->CallerRate());
    this->Choose("retry_permille", this->RetryShare());
    this->KeepTheRest();

    generated.declaration.services.push_back(this->declared);
    std::ranges::move(this->settings, std::back_inserter(generated.settings));
  }

 private:
  bool Blocking() const {
    return this->answers.top_priority == Priority::kHeadOfLineBlocking;
  }
  bool Broken() const {
    return this->answers.top_priority == Priority::kBrokenFlows;
  }
  std::string ShortWork() const {
    return this->service.short_work.empty() ? "short requests"
                                            : this->service.short_work;
  }
  std::string LongWork() const {
    return this->service.long_work.empty() ? "long requests"
                                           : this->service.long_work;
  }
  std::string PriorityAnswer() const {
    return "top_priority = " +
           std::string(ToString(this->answers.top_priority));
  }

  // Returns e.g. "slots = 2" or "patience_ms unknown".
  template <typename T>
  static std::string Answer(const std::string& name,
                            const std::optional<T>& value) {
    if (!value.has_value()) return name + " unknown";
    if constexpr (std::is_same_v<T, bool>) {
      return name + " = " + (*value ? "yes" : "no");
    } else {
      return name + " = " + std::to_string(*value);
    }
  }

  void Given(const std::string& setting, const std::string& value,
             const std::string& question, const std::string& reason) {
    this->settings.push_back(
        {this->service.name, setting, value, question + " = " + value, reason});
  }

  // Sets a rule, limited to its range.
  void Choose(std::string_view name, Choice choice) {
    const RuleField& field = *FindRuleField(name);
    const int64_t value =
        std::clamp(choice.value, field.minimum, field.maximum);
    SetRule(this->declared.rules, field, value);
    this->settings.push_back({this->service.name, "rules." + std::string(name),
                              std::to_string(value), std::move(choice.answer),
                              std::move(choice.reason)});
  }

  // Lists the rules that no question affects.
  void KeepTheRest() {
    for (const RuleField& field : RuleFields()) {
      const std::string setting = "rules." + std::string(field.name);
      if (std::ranges::find(this->settings, setting,
                            &DerivedSetting::setting) != this->settings.end()) {
        continue;
      }
      this->settings.push_back(
          {this->service.name, setting,
           std::to_string(GetRule(this->declared.rules, field)), "none",
           "This is the default; no answer affects it."});
    }
  }

  Choice ShortQuantum() const {
    const auto& usual = this->service.short_work_ms;
    if (usual.has_value()) {
      const int64_t factor = this->Blocking() ? 2 : 4;
      return {*usual * factor,
              Answer("short_work_ms", usual) + ", " + this->PriorityAnswer(),
              "Usually " + this->ShortWork() + " end within a " +
                  (this->Blocking() ? "half" : "quarter") +
                  " of this time; what holds a slot longer is long work."};
    }
    const std::string answer =
        this->PriorityAnswer() + ", short_work_ms unknown";
    if (this->Blocking()) {
      return {40, answer,
              "Work is treated as long after 40 ms in a slot, so that " +
                  this->LongWork() + " soon stop competing with " +
                  this->ShortWork() + "."};
    }
    if (this->Broken()) {
      return {150, answer,
              "Repeatable work that overruns this time in a reserved slot is "
              "cancelled and queued again; a longer time cancels less of it."};
    }
    return {100, answer,
            "This is the default, used while the time is unknown."};
  }

  Choice ShortBytes() const {
    const auto& usual = this->service.short_work_bytes;
    if (usual.has_value()) {
      const int64_t factor = this->Blocking() ? 2 : 4;
      return {std::max<int64_t>(*usual * factor, 1024),
              Answer("short_work_bytes", usual) + ", " + this->PriorityAnswer(),
              "A caller that sends " + std::to_string(factor) +
                  " times the usual bytes of " + this->ShortWork() +
                  ", and at least 1024, is sending long work."};
    }
    const std::string answer =
        this->PriorityAnswer() + ", short_work_bytes unknown";
    if (this->Blocking()) {
      return {8192, answer,
              "Uploads are recognised as long work after 8 KiB, before they "
              "have held a slot for the whole quantum."};
    }
    return {16384, answer,
            "This is the default, used while the size is unknown."};
  }

  Choice ShortReserve() const {
    const int64_t pool = int64_t{this->service.upstreams} * this->service.slots;
    // 200 thousandths, about three of fourteen slots: short work waited 103 ms
    // instead of 980 ms at the peak (99th percentile, median of 5 seeds), and
    // long work kept at least its throughput under the naive balancer.
    const int64_t exact = pool * 200;
    const int64_t reserved = std::clamp<int64_t>(
        this->Blocking() ? (exact + 999) / 1000 : (exact + 500) / 1000, 1,
        std::max<int64_t>(pool / 2, 1));
    const std::string counts =
        "upstreams = " + std::to_string(this->service.upstreams) +
        ", slots = " + std::to_string(this->service.slots) + ", " +
        this->PriorityAnswer();
    if (this->service.slots < 2) {
      return {0, counts, "An upstream with one slot cannot keep one free."};
    }
    // Rounded down, since the agents round the slots up.
    const int64_t permille = reserved * 1000 / pool;
    return {permille, counts,
            "This keeps " + std::to_string((pool * permille + 999) / 1000) +
                " of " + std::to_string(pool) + " slots free of " +
                this->LongWork() + ", 20 % rounded " +
                (this->Blocking() ? "up, so that " + this->ShortWork() +
                                        " find a slot at once."
                                  : "to the nearest slot, so that " +
                                        this->LongWork() + " keep the rest.")};
  }

  Choice StragglerShare() const {
    const std::string answer = Answer("stragglers", this->answers.stragglers) +
                               ", " + this->PriorityAnswer();
    if (this->answers.stragglers == false) {
      return {1000, answer, "Without stragglers no share needs a limit."};
    }
    if (this->Blocking()) {
      return {250, answer,
              "Stragglers hold at most a quarter of an upstream's slots, and "
              "at least one, so that they cannot block what waits behind "
              "them."};
    }
    return {500, answer,
            "Stragglers hold at most half of an upstream's slots, and at least "
            "one; the rest serves other work."};
  }

  Choice StragglerAfter() const {
    const int64_t least = this->declared.rules.short_quantum.Count();
    const auto& usual = this->service.long_work_ms;
    if (usual.has_value()) {
      const int64_t factor = this->Blocking() ? 2 : 4;
      return {std::max(*usual * factor, least),
              Answer("long_work_ms", usual) + ", " + this->PriorityAnswer(),
              "Work that holds a slot " + std::to_string(factor) +
                  " times as long as " + this->LongWork() +
                  " usually do is a straggler."};
    }
    const std::string answer =
        this->PriorityAnswer() + ", long_work_ms unknown";
    if (this->Blocking()) {
      return {std::max<int64_t>(2000, least), answer,
              "Work that holds a slot for 2 s is limited early, before it "
              "delays others for longer."};
    }
    if (this->Broken()) {
      return {std::max<int64_t>(10000, least), answer,
              "Ordinary " + this->LongWork() +
                  " are not limited as stragglers before 10 s, so that they "
                  "need not wait for the straggler share."};
    }
    return {std::max<int64_t>(5000, least), answer,
            "This is the default, used while the time is unknown."};
  }

  Choice MaxWait() const {
    const auto& patience = this->service.patience_ms;
    const std::string answer =
        this->PriorityAnswer() + ", " + Answer("patience_ms", patience);
    if (this->Broken()) {
      return {patience.value_or(5000), answer,
              "A refusal breaks off what the caller was doing, so work waits " +
                  std::string(patience.has_value() ? "as long as callers do."
                                                   : "up to 5 s instead.")};
    }
    if (this->Blocking()) {
      return {
          patience.has_value() ? *patience / 2 : 1000, answer,
          "Queues stay short: work is refused early with not_run, and " +
              this->ShortWork() +
              " are shed once their wait stays above an eighth of this time."};
    }
    return {patience.has_value() ? *patience / 2 : 2000, answer,
            "A refused caller can still retry before it gives up."};
  }

  Choice MaxQueued() const {
    const auto& connections = this->service.connections;
    return {connections.value_or(2000), Answer("connections", connections),
            connections.has_value()
                ? "An upstream has at most this many open flows, and a flow "
                  "has about one request waiting."
                : "This is the default, used while the number of flows is "
                  "unknown."};
  }

  Choice MaxQueuedPerCaller() const {
    const int64_t most = this->declared.rules.max_queued;
    const std::string answer =
        Answer("heavy_callers", this->answers.heavy_callers);
    if (this->answers.heavy_callers == true) {
      return {
          std::min<int64_t>(64, most), answer,
          "A caller that sends far more than others cannot fill the queue."};
    }
    return {std::min<int64_t>(256, most), answer,
            "This is the default, or max_queued where that is lower; fair "
            "sharing between callers holds in any case."};
  }

  Choice CallerRate() const {
    const auto& peak = this->service.caller_peak_rate;
    if (!peak.has_value()) {
      return {0, Answer("caller_peak_rate", peak),
              "No limit, since a guessed one would refuse ordinary callers."};
    }
    return {int64_t{*peak} * 4, Answer("caller_peak_rate", peak),
            "Four times an ordinary caller's peak stops only callers that "
            "misbehave."};
  }

  Choice RetryShare() const {
    const std::string answer =
        this->PriorityAnswer() + ", " +
        Answer("sudden_demand", this->answers.sudden_demand);
    if (this->Broken()) {
      return {200, answer,
              "Work that was provably not run is tried elsewhere instead of "
              "being refused, up to a fifth of the first attempts."};
    }
    if (this->answers.sudden_demand == true || this->Blocking()) {
      return {50, answer,
              "Retries add load just when slots are scarce, which delays " +
                  this->ShortWork() + "."};
    }
    return {100, answer, "This is the default."};
  }

  const Answers& answers;
  const ServiceAnswers& service;
  ServiceDeclaration declared;
  std::vector<DerivedSetting> settings;
};

}  // namespace

GeneratedDeclaration Generate(const Answers& answers) {
  std::vector<const ServiceAnswers*> ordered;
  for (const ServiceAnswers& service : answers.services) {
    ordered.push_back(&service);
  }
  std::ranges::sort(ordered, {}, [](const auto* service) -> const std::string& {
    return service->name;
  });
  GeneratedDeclaration generated;
  for (const ServiceAnswers* service : ordered) {
    ServiceGenerator(answers, *service).Run(generated);
  }
  return generated;
}

std::string RenderReasons(const GeneratedDeclaration& generated) {
  std::string text;
  std::string_view service;
  for (const DerivedSetting& setting : generated.settings) {
    if (setting.service != service) {
      if (!service.empty()) text += "\n";
      service = setting.service;
      text += "service " + setting.service + "\n";
    }
    text += "  " + setting.setting + " = " + setting.value + "\n    from " +
            setting.answer + "\n    " + setting.reason + "\n";
  }
  return text;
}

}  // namespace cornelhill
