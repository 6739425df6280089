#include "cornelhill/config/json_document.h"

namespace cornelhill {

using Json = nlohmann::json;

Json ParseJsonDocument(std::string_view text) {
  if (FindZeroByte(text) != text.npos) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

size_t FindZeroByte(std::string_view text) { return text.find('\0'); }

}  // namespace cornelhill
