#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/node/api.h"

namespace cornelhill {
namespace {

ApiRequest Read(const std::string& method, const std::string& target,
                const std::string& body = "") {
  return ApiFormatRegistry::Global()
      .Find("platform")
      ->read({method, target, body});
}

constexpr const char* kReport =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":4,"state":"ready","cold_remaining_ms":0,"seq":4,"born":99})";

Test(api_format, parses_requests) {
  cr_assert(std::holds_alternative<ReadyQuery>(Read("GET", "/-/ready")));
  cr_assert(std::holds_alternative<ListenerGet>(Read("GET", "/-/config")));
  const auto report =
      std::get<UpstreamReport>(Read("PUT", "/-/instances/i-7", kReport));
  cr_assert_eq(report.id, "i-7");
  cr_assert_eq(report.service, "s");
  cr_assert_eq(report.incarnation.Value(), 99U);
  cr_assert_eq(report.sequence, 4U);
  cr_assert_eq(report.slots, 4U);
  cr_assert(report.state == UpstreamState::kReady);
  const auto left = std::get<UpstreamLeft>(Read("DELETE", "/-/instances/i-7"));
  cr_assert_eq(left.id, "i-7");
  cr_assert_not(left.incarnation.has_value());
}

// Fails if the departure of one start is taken for that of another one, or if a
// malformed one is taken for any.
Test(api_format, reads_the_start_of_a_departure) {
  const auto left = std::get<UpstreamLeft>(
      Read("DELETE", "/-/instances/i-7", R"({"born":99})"));
  cr_assert_eq(left.incarnation->Value(), 99U);
  for (const char* body : {"{", "[]", "{}", R"({"born":"99"})",
                           R"({"born":-1})", R"({"born":1.5})"}) {
    cr_assert(std::holds_alternative<ApiErrorResponse>(
                  Read("DELETE", "/-/instances/i-7", body)),
              "%s", body);
  }
}

// Guards against one odd entry of another writer that ends the process, or that
// makes an agent ignore its upstream from then on: a start in the far future is
// newer than each start to come.
Test(api_format, rejects_reports_that_name_no_server) {
  const std::vector<std::pair<std::string, std::string>> changes = {
      {R"("10.128.0.9:8080")", R"("10.128.0.9:99999")"},
      {R"("10.128.0.9:8080")", R"("10.128.0.9")"},
      {R"("10.128.0.9:8080")", "17"},
      {R"("address":"10.128.0.9:8080",)", ""},
      {R"("born":99)", R"("born":9223372036854775807)"},
      {R"("born":99)", R"("born":99999999999999999999)"},
      {R"("seq":4)", R"("seq":18446744073709551615)"},
      {R"("slots":4)", R"("slots":1e999)"},
      {R"("slots":4)", R"("slots":4294967297)"},
      {R"("zone":"a")", "\"zone\":" + std::string(100000, '[')},
      {R"("zone":"a")",
       "\"zone\":" + std::string(100000, '[') + std::string(100000, ']')}};
  for (const auto& [from, to] : changes) {
    std::string body(kReport);
    body.replace(body.find(from), from.size(), to);
    const ApiRequest read = Read("PUT", "/-/instances/i-7", body);
    cr_assert(std::holds_alternative<ApiErrorResponse>(read), "%s",
              body.substr(0, 200).c_str());
    cr_assert_eq(std::get<ApiErrorResponse>(read).status, 400U);
  }
}

// Guards against new flows at a draining upstream: a report of another writer
// that lacked fields was taken as the upstream's own and hid the later ones.
Test(api_format, rejects_reports_without_every_field) {
  const auto whole = nlohmann::json::parse(kReport);
  for (const auto& [field, value] : whole.items()) {
    auto odd_types = nlohmann::json::array({nullptr, true, {7}, -1, 1.5});
    if (value.is_string()) odd_types.push_back(7);
    if (value.is_number()) odd_types.push_back("7");
    std::vector<nlohmann::json> bodies(odd_types.size() + 1, whole);
    bodies[0].erase(field);
    for (size_t i = 0; i < odd_types.size(); ++i) {
      bodies[i + 1][field] = odd_types[i];
    }
    for (const auto& body : bodies) {
      const ApiRequest read = Read("PUT", "/-/instances/i-7", body.dump());
      cr_assert(std::holds_alternative<ApiErrorResponse>(read), "%s",
                body.dump().c_str());
      cr_assert_eq(std::get<ApiErrorResponse>(read).status, 400U);
    }
  }
}

// Guards against taking a text that goes on after a zero byte for a report or a
// departure: it can't be read as a whole.
Test(api_format, rejects_bodies_with_zero_bytes) {
  const std::string rest = std::string(1, '\0') + "rest";
  cr_assert(std::holds_alternative<ApiErrorResponse>(
      Read("PUT", "/-/instances/i-7", kReport + rest)));
  cr_assert(std::holds_alternative<ApiErrorResponse>(
      Read("DELETE", "/-/instances/i-7", R"({"born":99})" + rest)));
}

// Guards against accepting a malformed heartbeat, or one that another program
// wrote, as the report of an upstream.
Test(api_format, rejects_malformed_reports) {
  const std::vector<std::string> bodies = {
      "",
      "[]",
      "{",
      R"({"service":"s","slots":4,"state":"ready"})",
      R"({"service":5,"slots":4,"state":"ready","seq":4})",
      R"({"service":"s","slots":0,"state":"ready","seq":4})",
      R"({"service":"s","slots":4,"state":"gone","seq":4})",
      R"({"service":"s","slots":4,"state":"ready","seq":-1})",
      R"({"service":"s","slots":4,"state":"ready","seq":1,"born":1.5})"};
  for (const std::string& body : bodies) {
    const ApiRequest read = Read("PUT", "/-/instances/i-7", body);
    cr_assert(std::holds_alternative<ApiErrorResponse>(read), "%s",
              body.c_str());
    cr_assert_eq(std::get<ApiErrorResponse>(read).status, 400U);
  }
  Random random(20261204);
  for (int i = 0; i < 5000; ++i) {
    std::string bytes(kReport);
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    (void)Read("PUT", "/-/instances/i-7", bytes);
  }
}

Test(api_format, rejects_unsupported_requests) {
  cr_assert_eq(std::get<ApiErrorResponse>(Read("GET", "/x")).status, 404U);
  cr_assert_eq(std::get<ApiErrorResponse>(Read("POST", "/-/config")).status,
               405U);
  cr_assert_eq(std::get<ApiErrorResponse>(Read("PUT", "/-/config", "{")).status,
               400U);
  cr_assert_eq(std::get<ApiErrorResponse>(Read("GET", "/-/instances/")).status,
               404U);
}

}  // namespace
}  // namespace cornelhill
