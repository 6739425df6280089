#pragma once

#include <string_view>

namespace cornelhill {

// JSON Schema (draft 7) of the settings of `cornelhilld`. `schema/` holds a
// copy for editors. Thread-safe.
std::string_view SettingsSchema();

}  // namespace cornelhill
