#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

#include "cornelhill/base/millis.h"
#include "cornelhill/turn/scheduling_rules.h"

namespace cornelhill {

// A field of `SchedulingRules` as it appears in declarations. The schema, the
// reader, the writer and the diff of declarations are made from these.
struct RuleField {
  std::string_view name;  // JSON name.
  std::string_view unit;
  int64_t minimum;
  int64_t maximum;
  std::variant<Millis SchedulingRules::*, uint32_t SchedulingRules::*> member;
  std::string_view description;
};

// Returns the fields in the order of `SchedulingRules`. Thread-safe.
std::span<const RuleField> RuleFields();

// Returns the field with that JSON name, or null. Thread-safe.
const RuleField* FindRuleField(std::string_view name);

// Returns the field's value. Thread-safe.
int64_t GetRule(const SchedulingRules& rules, const RuleField& field);

// Sets the field. Requires `minimum` <= `value` <= `maximum`.
void SetRule(SchedulingRules& rules, const RuleField& field, int64_t value);

}  // namespace cornelhill
