#include "cornelhill/config/schemas.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "config/schema_checker.h"
#include "cornelhill/config/settings.h"
#include "tests/common/golden.h"

namespace cornelhill {
namespace {

struct Row {
  std::string path;
  std::string roles;
  std::string rest;
};

std::string Text(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Adds a row for each field below `node`, or its role to the existing row.
void AddRows(const SchemaChecker& checker, const Json& node,
             const std::string& prefix, const std::string& role,
             std::vector<Row>& rows) {
  for (const auto& [key, child] : node["properties"].items()) {
    const Json field = checker.Resolve(child);
    const bool is_list = field.value("type", "") == "array";
    const std::string path = prefix + key + (is_list ? "[]" : "");
    const bool required = node.contains("required") &&
                          std::ranges::find(node["required"], Json(key)) !=
                              node["required"].end();
    std::string standard = required ? "required" : "none";
    if (field.contains("default") && !field["default"].is_null()) {
      standard = "`" + Text(field["default"]) + "`";
    }
    const auto known = std::ranges::find(rows, path, &Row::path);
    if (known != rows.end()) {
      known->roles += ", " + role;
    } else {
      rows.push_back({path, role,
                      field.value("unit", "") + " | " + standard + " | " +
                          Accepts(field) + " | " +
                          field["description"].get<std::string>() + " |\n"});
    }
    const Json& inner = is_list ? checker.Resolve(field["items"]) : field;
    if (inner.contains("properties")) {
      AddRows(checker, inner, path + ".", role, rows);
    }
  }
}

// Replaces what is between the markers of `section`.
std::string Replace(const std::string& page, const std::string& section,
                    const std::string& content) {
  const std::string begin = "<!-- begin: " + section + " -->\n";
  const size_t from = page.find(begin);
  const size_t to = page.find("<!-- end: " + section + " -->");
  cr_assert(from != page.npos && to != page.npos);
  return page.substr(0, from + begin.size()) + content + page.substr(to);
}

// Guards against editors that check files against an old schema.
Test(schemas, committed_copies_equal_the_library) {
  ExpectGoldenFile("schema/answers.schema.json", std::string(AnswersSchema()));
  ExpectGoldenFile("schema/declaration.schema.json",
                   std::string(DeclarationSchema()));
  ExpectGoldenFile("schema/settings.schema.json",
                   std::string(SettingsSchema()));
}

// Guards against a documented default, unit or range that is not in force.
Test(schemas, page_states_what_the_schemas_accept) {
  std::string page = ReadFile("docs/settings.md");
  std::vector<Row> rows;
  for (const Role role : {Role::kBalancer, Role::kAgent, Role::kControl}) {
    const std::string name(ToString(role));
    const SchemaChecker checker(SettingsSchema(), name);
    AddRows(checker, checker.FieldSchema({}), "", name, rows);
  }
  std::string table =
      "| field | roles | unit | default | accepted | meaning |\n"
      "|---|---|---|---|---|---|\n";
  for (const Row& row : rows) {
    table += "| `" + row.path + "` | " + row.roles + " | " + row.rest;
  }
  page = Replace(page, "settings", table);

  for (const auto& [section, schema] :
       {std::pair("declaration", DeclarationSchema()),
        std::pair("answers", AnswersSchema())}) {
    rows.clear();
    const SchemaChecker checker(schema, "");
    AddRows(checker, checker.FieldSchema({}), "", "", rows);
    table =
        "| field | unit | default | accepted | meaning |\n"
        "|---|---|---|---|---|\n";
    for (const Row& row : rows) table += "| `" + row.path + "` | " + row.rest;
    page = Replace(page, section, table);
  }
  ExpectGoldenFile("docs/settings.md", page);
}

}  // namespace
}  // namespace cornelhill
