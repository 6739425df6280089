#pragma once

#include <string>
#include <vector>

#include "cornelhill/config/answers.h"
#include "cornelhill/config/declaration.h"

namespace cornelhill {

// One setting of a generated service, with its origin.
struct DerivedSetting {
  std::string service;
  std::string setting;  // e.g. "rules.max_wait_ms".
  std::string value;
  std::string answer;  // e.g. "top_priority = broken_flows".
  std::string reason;  // One sentence.

  bool operator==(const DerivedSetting&) const = default;
};

struct GeneratedDeclaration {
  Declaration declaration;
  // One entry for each setting of each service, ordered by service.
  std::vector<DerivedSetting> settings;
};

// Derives a declaration from answers that passed the check. A pure function;
// thread-safe.
GeneratedDeclaration Generate(const Answers& answers);

// Writes the settings with answers and reasons as plain text. Thread-safe.
std::string RenderReasons(const GeneratedDeclaration& generated);

}  // namespace cornelhill
