#include <criterion/criterion.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cornelhill/config/declaration_json.h"
#include "cornelhill/config/settings.h"
#include "tests/common/golden.h"

namespace cornelhill {
namespace {

using Json = nlohmann::json;

constexpr const char* kGolden = "tests/config/refusals.golden.json";

// Returns the error message, or "accepted".
std::string Message(bool settings, const std::string& text) {
  if (settings) {
    const Result<Settings> result = ParseSettings(text, "FILE");
    return result.has_value() ? "accepted" : result.error().message;
  }
  const Result<Declaration> result = ParseDeclaration(text, "FILE");
  return result.has_value() ? "accepted" : result.error().message;
}

// Each case is a document of tests/config/data with a JSON patch, or a raw
// text. Guards against bad settings and declarations that are accepted, and
// against errors that lack the field, the value or what is accepted.
Test(refusals, each_names_field_value_and_what_is_accepted) {
  const Json cases = Json::parse(ReadFile(kGolden));
  std::string actual = "[\n";
  for (const Json& entry : cases) {
    Json copy = entry;
    const std::string base = entry.value("base", "");
    const bool settings = entry.value("kind", "") == "settings" ||
                          base.find("settings") != base.npos;
    const std::string text =
        base.empty() ? entry["text"].get<std::string>()
                     : Json::parse(ReadFile("tests/config/data/" + base))
                           .patch(entry["patch"])
                           .dump();
    const std::string message = Message(settings, text);
    cr_expect_eq(std::ranges::count(message, '\n'), 0, "%s", message.c_str());
    cr_expect(message.starts_with("FILE: "), "%s: %s", entry.dump().c_str(),
              message.c_str());
    cr_expect_neq(message.find("; expected "), message.npos, "%s",
                  message.c_str());
    copy["error"] = message;
    actual += copy.dump() + (&entry == &cases.back() ? "\n" : ",\n");
  }
  ExpectGoldenFile(kGolden, actual + "]\n");
}

// Fails if the rest of a text after a zero byte is ignored without an error.
Test(refusals, a_zero_byte_is_refused_with_its_position) {
  const std::string text = "{}\n" + std::string(1, '\0') + "{}";
  const std::string message = Message(false, text);
  cr_assert_str_eq(message.c_str(),
                   "FILE: line 2, column 1: a zero byte; expected an object "
                   "in JSON syntax");
}

// Guards against unbounded memory for the violations of a long list, and
// against messages as long as the refused value.
Test(refusals, large_values_are_refused_in_one_short_line) {
  const std::vector<Json> values = {std::string(3000000, 'a'),
                                    Json(std::vector<int>(1000000, 0))};
  for (const Json& value : values) {
    for (const std::string field : {"services", "name", "rules"}) {
      Json service = {{"address", "127.0.0.1:1"}, {"application", "x"}};
      service[field] = value;
      const Json document = {
          {"services", field == "services" ? value : Json::array({service})}};
      const std::string message = Message(false, document.dump());
      // A list that is too long is refused as a whole.
      const std::string path =
          field == "services" ? "services: " : "services[0]." + field + ": ";
      cr_expect(message.starts_with("FILE: " + path), "%s", message.c_str());
      cr_expect_lt(message.size(), 400, "%s", message.c_str());
    }
  }
}

// Guards against reading a file of any size into memory.
Test(refusals, files_that_cannot_be_read_or_are_too_large) {
  cr_assert_eq(LoadSettings("no/such/file").error().message,
               "no/such/file: cannot be read: No such file or directory");
  cr_assert(LoadSettings("tests").error().code == ErrorCode::kIo);
  cr_assert(LoadSettings("/dev/zero").error().code == ErrorCode::kTooLarge);
  cr_assert(LoadDeclaration("/dev/zero").error().code == ErrorCode::kTooLarge);
}

}  // namespace
}  // namespace cornelhill
