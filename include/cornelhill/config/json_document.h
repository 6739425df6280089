#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace cornelhill {

// Parses a text that is one JSON document as a whole. Returns a discarded value
// otherwise. Thread-safe.
nlohmann::json ParseJsonDocument(std::string_view text);

// Returns the position of the first zero byte, at which the parser of the JSON
// library stops as if the text ended, or `npos`. Thread-safe.
size_t FindZeroByte(std::string_view text);

}  // namespace cornelhill
