#include "cornelhill/config/rule_fields.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace cornelhill {

namespace {

// A new field of SchedulingRules needs one line here; the copies in schema/,
// the page docs/settings.md and the examples are then refreshed from what the
// tests write to out/actual/.
constexpr auto kFields = std::to_array<RuleField>({
    {"short_quantum_ms", "ms", 1, 60000, &SchedulingRules::short_quantum,
     "Slot time after which work counts as long."},
    {"short_bytes", "bytes", 1, 1073741824, &SchedulingRules::short_bytes,
     "Bytes from the caller after which work counts as long."},
    {"short_reserve_permille", "thousandths", 0, 500,
     &SchedulingRules::short_reserve_permille,
     "Share of the pool's slots that long work may not hold, rounded up to "
     "whole slots."},
    {"straggler_permille", "thousandths", 1, 1000,
     &SchedulingRules::straggler_permille,
     "Share of the pool's slots that stragglers may hold."},
    {"straggler_after_ms", "ms", 1, 3600000, &SchedulingRules::straggler_after,
     "Slot time after which work counts as a straggler; at least "
     "short_quantum_ms."},
    {"max_wait_ms", "ms", 1, 600000, &SchedulingRules::max_wait,
     "Longest wait of a request in the queue."},
    {"max_queued_per_caller", "requests", 1, 100000,
     &SchedulingRules::max_queued_per_caller,
     "Requests of one caller that wait at an upstream; at most max_queued."},
    {"max_queued", "requests", 1, 1000000, &SchedulingRules::max_queued,
     "Requests of the service that wait at an upstream."},
    {"caller_rate", "requests per second", 0, 1000000,
     &SchedulingRules::caller_rate,
     "Requests that one caller may start; 0 means no limit."},
    {"retry_permille", "thousandths", 0, 1000, &SchedulingRules::retry_permille,
     "Retries allowed, relative to first attempts."},
});

}  // namespace

std::span<const RuleField> RuleFields() { return kFields; }

const RuleField* FindRuleField(std::string_view name) {
  const auto* found = std::ranges::find(kFields, name, &RuleField::name);
  return found == kFields.end() ? nullptr : found;
}

int64_t GetRule(const SchedulingRules& rules, const RuleField& field) {
  if (const auto* millis =
          std::get_if<Millis SchedulingRules::*>(&field.member)) {
    return (rules.**millis).Count();
  }
  return rules.*std::get<uint32_t SchedulingRules::*>(field.member);
}

void SetRule(SchedulingRules& rules, const RuleField& field, int64_t value) {
  assert(value >= field.minimum && value <= field.maximum);
  if (const auto* millis =
          std::get_if<Millis SchedulingRules::*>(&field.member)) {
    rules.** millis = Millis(value);
  } else {
    rules.*std::get<uint32_t SchedulingRules::*>(field.member) =
        static_cast<uint32_t>(value);
  }
}

}  // namespace cornelhill
