#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/result.h"

namespace valijson {
class Schema;
}  // namespace valijson

namespace cornelhill {

using Json = nlohmann::json;

// Steps from the root of a document to a field: keys and array indexes.
using FieldPath = std::vector<std::string>;

// Reads at most `max_bytes`. Fails with `kIo` or `kTooLarge`. Thread-safe.
Result<std::string> ReadTextFile(const std::string& path, size_t max_bytes);

// Parses `text` and refuses duplicate keys and nesting deeper than 16 levels.
// `file` is the name used in errors. Thread-safe.
Result<Json> ParseJson(std::string_view text, const std::string& file);

// Formats as "control[0].name". Thread-safe.
std::string ToString(const Json& document, const FieldPath& path);

// Makes the error "FILE: FIELD: VALUE is not accepted; expected EXPECTED", or
// "FILE: FIELD: missing; expected EXPECTED" where `document` lacks the field.
Error FieldError(const std::string& file, const Json& document,
                 const FieldPath& path, const std::string& expected);

// Checks documents against one definition of a JSON Schema. Thread-safe once
// constructed.
class SchemaChecker {
 public:
  // Requires a valid schema; `definition` is a key of its "definitions", or
  // empty for the schema's root.
  SchemaChecker(std::string_view schema, const std::string& definition);
  ~SchemaChecker();
  SchemaChecker(const SchemaChecker&) = delete;
  SchemaChecker& operator=(const SchemaChecker&) = delete;

  // Returns the first violation as a one-line error.
  Result<void> Check(const Json& document, const std::string& file) const;

  // Makes the error for a field that the schema accepts and a further rule
  // does not; the expectation is that of the schema.
  Error Refuse(const std::string& file, const Json& document,
               const FieldPath& path) const;

  // Returns the schema of the field at `path` with references resolved, or
  // null where the schema has no such field.
  Json FieldSchema(const FieldPath& path) const;

  // Merges a node of the schema with what it refers to; its own keywords win.
  Json Resolve(Json node) const;

 private:
  Result<void> CheckNode(const Json& node, const Json& document,
                         const Json& value, FieldPath& path,
                         const std::string& file) const;

  Json root;
  Json top;  // The root with references resolved, without "definitions".
  std::unique_ptr<valijson::Schema> compiled;
};

// Says in words what a resolved field schema accepts, e.g. "an integer from 1
// to 64". Thread-safe.
std::string Accepts(const Json& field_schema);

}  // namespace cornelhill
