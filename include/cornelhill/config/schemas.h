#pragma once

#include <string_view>

namespace cornelhill {

// JSON Schemas (draft 7). `schema/` holds a copy of each for editors; a test
// compares them. Thread-safe.

// Settings of `cornelhilld`.
std::string_view SettingsSchema();

// Declarations; the rules come from `RuleFields`.
std::string_view DeclarationSchema();

// Answers; the fields come from `TeamQuestions` and `ServiceQuestions`.
std::string_view AnswersSchema();

}  // namespace cornelhill
