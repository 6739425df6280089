#include "tools/soak/settings_template.h"

#include <algorithm>

namespace cornelhill::soak {

namespace {

using Json = nlohmann::json;

Result<std::string> FillPlaceholder(std::string name, const Json& values) {
  constexpr std::string_view kJsonSuffix = "|json";
  const bool as_json = name.ends_with(kJsonSuffix);
  if (as_json) name.resize(name.size() - kJsonSuffix.size());
  std::replace(name.begin(), name.end(), '.', '/');
  const Json::json_pointer pointer("/" + name);
  if (!values.contains(pointer)) {
    return Fail(ErrorCode::kNotFound, "placeholder " + name + " has no value");
  }
  const Json& value = values.at(pointer);
  if (!as_json && value.is_string()) return value.get<std::string>();
  return value.dump();
}

}  // namespace

Result<std::string> FillTemplate(std::string_view text, const Json& values) {
  std::string out;
  while (true) {
    const size_t begin = text.find("{{");
    const size_t end = text.find("}}", begin);
    if (begin == std::string_view::npos || end == std::string_view::npos) break;
    out += text.substr(0, begin);
    BOOST_OUTCOME_TRY(
        filled,
        FillPlaceholder(std::string(text.substr(begin + 2, end - begin - 2)),
                        values));
    out += filled;
    text.remove_prefix(end + 2);
  }
  out += text;
  return out;
}

}  // namespace cornelhill::soak
