#include "cornelhill/config/node_settings.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

namespace cornelhill {
namespace {

using Json = nlohmann::json;

Json Sidecar() {
  return Json{{"platform", "platform"},
              {"role", "sidecar"},
              {"instance", "side-a-1"},
              {"failure_domain", "a"},
              {"address", "10.1.0.13"},
              {"base_port", 7720},
              {"seeds", {"10.1.0.10:8166", "10.2.0.40:8166"}},
              {"packets", "10.1.0.13:8172"},
              {"outbound", "10.1.0.13:8162"},
              {"operators", "10.1.0.13:8166"},
              {"service", "stream"},
              {"upstream", "10.1.0.13:8165"}};
}

Test(node_settings, reads_a_sidecar) {
  const NodeSettings settings =
      ParseNodeSettings(Sidecar().dump(), "side.json").value();
  cr_assert(settings.role == NodeRole::kSidecar);
  cr_assert(settings.CoreAddressOf(settings.seeds[1]) ==
            (Endpoint{0x0a020028, 7720}));
  cr_assert(settings.DataAddress() == (Endpoint{0x0a01000d, 7721}));
  cr_assert(IsNodeSettings(Sidecar().dump()));
  cr_assert_not(IsNodeSettings(R"({"role":"agent"})"));
}

// Fails if the rest of a file after a zero byte is ignored without an error.
Test(node_settings, rejects_zero_bytes) {
  const std::string text = Sidecar().dump() + std::string(1, '\0') + "rest";
  cr_assert_not(ParseNodeSettings(text, "side.json").has_value());
}

// Guards against processes that do not start where the platform states a bound
// as a fraction.
Test(node_settings, durations_in_seconds_may_be_fractions) {
  Json document = Sidecar();
  document["grace_s"] = 2.5;
  document["flow_lifetime_s"] = 60;
  document["heartbeat_ms"] = 1200.5;
  const NodeSettings settings =
      ParseNodeSettings(document.dump(), "side.json").value();
  cr_assert_eq(settings.grace.Count(), 2500);
  cr_assert_eq(settings.flow_lifetime.Count(), 60000);
  cr_assert_eq(settings.heartbeat.Count(), 1200);
  document["grace_s"] = 0.1;
  const auto refused = ParseNodeSettings(document.dump(), "side.json");
  cr_assert_not(refused.has_value());
  cr_assert_neq(refused.error().message.find("field grace_s is 0.1"),
                std::string::npos);
}

// The message names the file, the field, the value and what is accepted.
Test(node_settings, refuses_with_one_clear_line) {
  const auto error_of = [](const Json& document) {
    const auto parsed = ParseNodeSettings(document.dump(), "side.json");
    return parsed.has_value() ? std::string() : parsed.error().message;
  };
  Json document = Sidecar();
  document["seeds"] = {"10.1.0.10"};
  cr_assert_eq(error_of(document),
               "side.json: field seeds is [\"10.1.0.10\"]; accepted: a list of "
               "IPv4 addresses with ports");
  document = Sidecar();
  document.erase("upstream");
  cr_assert_eq(error_of(document),
               "side.json: field upstream is nothing; accepted: this field is "
               "required");
  document = Sidecar();
  document["log_level"] = "loud";
  cr_assert_neq(error_of(document).find("log_level is \"loud\""),
                std::string::npos);
  document.erase("log_level");
  document["grace_ms"] = -1;
  cr_assert_neq(error_of(document).find("grace_ms is -1"), std::string::npos);
  document = Sidecar();
  document["colour"] = 1;
  cr_assert_eq(error_of(document),
               "side.json: field colour is 1; accepted: no such field");
  document = Sidecar();
  document["role"] = "other";
  cr_assert_neq(error_of(document), "");
  cr_assert_not(ParseNodeSettings("{", "x").has_value());
}

}  // namespace
}  // namespace cornelhill
