#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"

namespace cornelhill::soak {

// Fills the placeholders `{{a.b}}`, `{{a.0}}` and `{{a|json}}` of a settings
// template. Fails if a placeholder has no value. Thread-safe.
Result<std::string> FillTemplate(std::string_view text,
                                 const nlohmann::json& values);

}  // namespace cornelhill::soak
