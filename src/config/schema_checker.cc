#include "config/schema_checker.h"

#define VALIJSON_USE_EXCEPTIONS 1

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/config/json_document.h"

namespace cornelhill {

namespace {

// The deepest document of the project has four levels. The limit bounds the
// recursion of the check and of printing a refused value.
constexpr int kMaxDepth = 16;
// Characters of a refused value that an error message shows.
constexpr size_t kMaxShown = 60;

// Writes a value as JSON on one line, shortened to `kMaxShown` characters.
std::string Show(const Json& value) {
  std::string text = value.dump(-1, ' ', /*ensure_ascii=*/true,
                                Json::error_handler_t::replace);
  if (text.size() > kMaxShown) {
    text.resize(kMaxShown - 3);
    text += "...";
  }
  return text;
}

bool IsPlainKey(const std::string& key) {
  return !key.empty() && key.size() <= kMaxShown &&
         std::ranges::all_of(key, [](char c) {
           return c == '_' || c == '-' || (c >= '0' && c <= '9') ||
                  (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
         });
}

void AppendKey(std::string& path, const std::string& key) {
  if (!path.empty()) path += '.';
  path += IsPlainKey(key) ? key : Show(key);
}

// Returns null where `document` has nothing at `path`.
const Json* FindValue(const Json& document, const FieldPath& path) {
  const Json* value = &document;
  for (const std::string& step : path) {
    if (value->is_array()) {
      size_t index = 0;
      const char* end = step.data() + step.size();
      const auto [stop, status] = std::from_chars(step.data(), end, index);
      if (status != std::errc() || stop != end || index >= value->size()) {
        return nullptr;
      }
      value = &(*value)[index];
    } else if (value->is_object() && value->contains(step)) {
      value = &(*value)[step];
    } else {
      return nullptr;
    }
  }
  return value;
}

std::string JoinKeys(const Json& object) {
  std::string keys;
  for (const auto& [key, value] : object.items()) {
    if (!keys.empty()) keys += ", ";
    keys += key;
  }
  return keys;
}

// A file name is printed as it is, except for what would break the line.
std::string OneLine(std::string text) {
  std::ranges::replace_if(
      text, [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
  return text;
}

Error MakeError(const std::string& file, const std::string& rest) {
  return Error{ErrorCode::kInvalidArgument, OneLine(file) + ": " + rest};
}

// Refuses deep nesting and duplicate keys; the parser would resolve those
// silently in favour of the last one.
class ParseGuard {
 public:
  void Observe(int depth, Json::parse_event_t event, const Json& parsed) {
    using Event = Json::parse_event_t;
    if (depth >= kMaxDepth) this->too_deep = true;
    switch (event) {
      case Event::object_start:
      case Event::array_start:
        this->CountEntry();
        this->open.push_back({event == Event::array_start, 0, {}, {}});
        break;
      case Event::object_end:
      case Event::array_end:
        this->open.pop_back();
        break;
      case Event::key:
        this->open.back().key = parsed.get<std::string>();
        if (!this->open.back().keys.insert(this->open.back().key).second &&
            this->duplicate.empty()) {
          this->duplicate = this->Path();
        }
        break;
      case Event::value:
        this->CountEntry();
        break;
    }
  }

  bool too_deep = false;
  std::string duplicate;  // Path of the first repeated key.

 private:
  struct Container {
    bool is_array;
    size_t entries;
    std::string key;  // The latest one.
    std::set<std::string> keys;
  };

  void CountEntry() {
    if (!this->open.empty()) ++this->open.back().entries;
  }

  std::string Path() const {
    std::string path;
    for (const Container& container : this->open) {
      if (container.is_array) {
        path += '[' + std::to_string(container.entries - 1) + ']';
      } else {
        AppendKey(path, container.key);
      }
    }
    return path;
  }

  std::vector<Container> open;
};

std::string Position(std::string_view text, size_t byte) {
  const std::string_view before =
      text.substr(0, byte == 0 ? 0 : std::min(byte - 1, text.size()));
  const size_t line = 1 + std::ranges::count(before, '\n');
  const size_t start = before.rfind('\n');
  const size_t column =
      start == before.npos ? before.size() + 1 : before.size() - start;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

Result<std::string> ReadTextFile(const std::string& path, size_t max_bytes) {
  errno = 0;
  std::ifstream input(path, std::ios::binary);
  std::string text(max_bytes + 1, '\0');
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (input.bad() || !(input.good() || input.eof())) {
    const char* why = errno == 0 ? "not a readable file" : std::strerror(errno);
    return Fail(ErrorCode::kIo, OneLine(path) + ": cannot be read: " + why);
  }
  text.resize(static_cast<size_t>(input.gcount()));
  if (text.size() > max_bytes) {
    return Fail(ErrorCode::kTooLarge, OneLine(path) + ": larger than " +
                                          std::to_string(max_bytes) +
                                          " bytes; expected a smaller file");
  }
  return text;
}

Result<Json> ParseJson(std::string_view text, const std::string& file) {
  ParseGuard guard;
  const size_t zero_byte = FindZeroByte(text);
  if (zero_byte != text.npos) {
    return MakeError(file, Position(text, zero_byte + 1) +
                               ": a zero byte; expected an object in JSON "
                               "syntax");
  }
  try {
    Json document = Json::parse(
        text, [&guard](int depth, Json::parse_event_t event, Json& parsed) {
          guard.Observe(depth, event, parsed);
          return !guard.too_deep;
        });
    if (guard.too_deep) {
      return MakeError(file, "nested deeper than " + std::to_string(kMaxDepth) +
                                 " levels; expected at most that");
    }
    if (!guard.duplicate.empty()) {
      return MakeError(file,
                       guard.duplicate + ": occurs twice; expected one value");
    }
    return document;
  } catch (const Json::parse_error& error) {
    return MakeError(file, Position(text, error.byte) +
                               ": not valid JSON; expected an object in JSON "
                               "syntax");
  } catch (const Json::exception&) {
    // Numbers outside the range of double are the only other refusal.
    return MakeError(file,
                     "a number is too large; expected numbers up to 1e308");
  }
}

std::string ToString(const Json& document, const FieldPath& path) {
  std::string text;
  const Json* value = &document;
  for (const std::string& step : path) {
    if (value != nullptr && value->is_array()) {
      text += '[';
      text += step;
      text += ']';
    } else {
      AppendKey(text, step);
    }
    if (value != nullptr) value = FindValue(*value, {step});
  }
  return text.empty() ? "document" : text;
}

Error FieldError(const std::string& file, const Json& document,
                 const FieldPath& path, const std::string& expected) {
  const Json* value = FindValue(document, path);
  const std::string fault =
      value == nullptr ? "missing" : Show(*value) + " is not accepted";
  return MakeError(
      file, ToString(document, path) + ": " + fault + "; expected " + expected);
}

std::string Accepts(const Json& field_schema) {
  if (field_schema.contains("accepts")) return field_schema["accepts"];
  if (field_schema.contains("const")) return field_schema["const"].dump();
  if (field_schema.contains("enum")) {
    std::string text = "one of ";
    for (size_t i = 0; i < field_schema["enum"].size(); ++i) {
      if (i > 0) text += ", ";
      text += field_schema["enum"][i].dump();
    }
    return text;
  }
  const std::string type = field_schema.value("type", "");
  if (type == "integer") {
    return "an integer from " + field_schema["minimum"].dump() + " to " +
           field_schema["maximum"].dump();
  }
  if (type == "boolean") return "true or false";
  if (type == "array") {
    return "a list of " + field_schema.value("minItems", Json(0)).dump() +
           " to " + field_schema["maxItems"].dump() + " entries";
  }
  if (type == "object") {
    return "an object with the fields " + JoinKeys(field_schema["properties"]);
  }
  return "a value of type " + type;
}

SchemaChecker::SchemaChecker(std::string_view schema,
                             const std::string& definition)
    : root(Json::parse(schema)),
      compiled(std::make_unique<valijson::Schema>()) {
  if (!definition.empty()) {
    this->root = Json{{"definitions", this->root["definitions"]},
                      {"$ref", "#/definitions/" + definition}};
  }
  this->top = this->Resolve(this->root);
  this->top.erase("definitions");
  valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(this->root),
                        *this->compiled);
}

SchemaChecker::~SchemaChecker() = default;

Json SchemaChecker::Resolve(Json node) const {
  while (node.contains("$ref")) {
    const std::string target = node["$ref"];
    node.erase("$ref");
    Json merged = this->root.at(Json::json_pointer(target.substr(1)));
    merged.update(node);
    node = std::move(merged);
  }
  return node;
}

Json SchemaChecker::FieldSchema(const FieldPath& path) const {
  Json node = this->top;
  for (const std::string& step : path) {
    if (node.contains("items")) {
      node = this->Resolve(node["items"]);
    } else if (node.contains("properties") &&
               node["properties"].contains(step)) {
      node = this->Resolve(node["properties"][step]);
    } else {
      return nullptr;
    }
  }
  return node;
}

Error SchemaChecker::Refuse(const std::string& file, const Json& document,
                            const FieldPath& path) const {
  return FieldError(file, document, path, Accepts(this->FieldSchema(path)));
}

// Checks what the schema language cannot express (addresses), and the lengths
// of lists before the validator runs: it keeps an error for each entry, which
// took 900 MB for a list of 2,000,000 numbers.
Result<void> SchemaChecker::CheckNode(const Json& node, const Json& document,
                                      const Json& value, FieldPath& path,
                                      const std::string& file) const {
  if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    const std::string syntax = node.value("syntax", "");
    if (syntax.starts_with("ipv4-port")) {
      const Result<Endpoint> endpoint = ParseEndpoint(text);
      if (!endpoint.has_value() || endpoint.value().port == 0 ||
          (syntax == "ipv4-port" && endpoint.value().address == 0)) {
        return this->Refuse(file, document, path);
      }
    }
  }
  if (value.is_array() && node.contains("items")) {
    if (value.size() > node["maxItems"].get<size_t>()) {
      return this->Refuse(file, document, path);
    }
    const Json item_node = this->Resolve(node["items"]);
    for (size_t i = 0; i < value.size(); ++i) {
      path.push_back(std::to_string(i));
      BOOST_OUTCOME_TRY(
          this->CheckNode(item_node, document, value[i], path, file));
      path.pop_back();
    }
  }
  if (value.is_object() && node.contains("properties")) {
    for (const auto& [key, child] : value.items()) {
      if (!node["properties"].contains(key)) continue;
      path.push_back(key);
      BOOST_OUTCOME_TRY(this->CheckNode(this->Resolve(node["properties"][key]),
                                        document, child, path, file));
      path.pop_back();
    }
  }
  return boost::outcome_v2::success();
}

Result<void> SchemaChecker::Check(const Json& document,
                                  const std::string& file) const {
  FieldPath path;
  BOOST_OUTCOME_TRY(this->CheckNode(this->top, document, document, path, file));

  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter target(document);
  if (validator.validate(*this->compiled, target, &results)) {
    return boost::outcome_v2::success();
  }
  // The validator reports the innermost violation first. A context entry is
  // "[key]" or "[index]" after the entry for the root.
  const valijson::ValidationResults::Error violation = *results.begin();
  for (size_t i = 1; i < violation.context.size(); ++i) {
    const std::string& step = violation.context[i];
    path.push_back(step.substr(1, step.size() - 2));
  }
  const Json* value = FindValue(document, path);
  const Json node = this->FieldSchema(path);
  if (value != nullptr && value->is_object() && node.contains("properties")) {
    for (const auto& [key, child] : value->items()) {
      if (node["properties"].contains(key)) continue;
      path.push_back(key);
      return MakeError(file, ToString(document, path) +
                                 ": unknown field with value " + Show(child) +
                                 "; expected one of " +
                                 JoinKeys(node["properties"]));
    }
    for (const Json& key : node.value("required", Json::array())) {
      if (value->contains(key)) continue;
      path.push_back(key);
      break;
    }
  }
  return this->Refuse(file, document, path);
}

}  // namespace cornelhill
