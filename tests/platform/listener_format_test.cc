#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/segment/listener_table.h"

namespace cornelhill {
namespace {

using Json = nlohmann::json;

Json Document() {
  return Json::parse(R"({"version":7,"routes":[
    {"name":"r-1","host":"198.18.0.1","path_prefix":"/8443/",
     "type":"idempotent","timeout_ms":500,"target_latency_ms":120,
     "priority":2,"backends":[{"service":"a","weight":90},
     {"service":"b","weight":10}],"max_attempts":2},
    {"name":"r-2","host":"198.18.0.2","path_prefix":"/8443/",
     "type":"upload","timeout_ms":3000,"target_latency_ms":500,
     "priority":2,"service":"b","max_attempts":2}],
    "services":[{"name":"a","health_path":"/health","max_conns":2000,
     "protocol":"h1","tls":false},{"name":"b","health_path":"/health",
     "max_conns":2000,"protocol":"h1","tls":false}],
    "limits":{"idle_timeout_ms":15000}})");
}

Result<ListenerSet> Read(const Json& document) {
  return ListenerFormatRegistry::Global()
      .Find("platform")
      ->read(document.dump());
}

Test(listener_format, parses_listeners) {
  const ListenerSet set = Read(Document()).value();
  cr_assert_eq(set.version, 7U);
  cr_assert_eq(set.listeners.size(), 2U);
  cr_assert(set.listeners[0].address == (Endpoint{0xc6120001, 8443}));
  cr_assert_eq(set.listeners[0].shares.size(), 2U);
  cr_assert_eq(set.listeners[0].shares[0].weight, 90U);
  cr_assert(set.listeners[1].shares[0].service == ServiceKeyOf("b"));
  cr_assert(set.listeners[1].work == WorkKind::kUpload);
}

// A document was refused as a whole when one route carried downloads.
Test(listener_format, reads_every_kind_of_work) {
  const std::vector<std::pair<std::string, WorkKind>> kinds = {
      {"idempotent", WorkKind::kIdempotent},
      {"non_idempotent", WorkKind::kNonIdempotent},
      {"upload", WorkKind::kUpload},
      {"download", WorkKind::kDownload}};
  for (const auto& [name, kind] : kinds) {
    Json document = Document();
    document["routes"][0]["type"] = name;
    const Result<ListenerSet> set = Read(document);
    cr_assert(set.has_value(), "%s", name.c_str());
    cr_assert(set.value().listeners[0].work == kind, "%s", name.c_str());
  }
}

// The operator sees which field and value were refused and what is accepted.
Test(listener_format, refusal_of_an_unknown_kind_names_the_accepted_ones) {
  Json document = Document();
  document["routes"][1]["type"] = "stream";
  const Result<ListenerSet> set = Read(document);
  cr_assert(!set.has_value());
  cr_assert_str_eq(set.error().message.c_str(),
                   "routes[1].type: \"stream\" is not idempotent, "
                   "non_idempotent, upload or download");
}

// Accepting any of these would apply a configuration that the operator did not
// intend.
Test(listener_format, rejects_invalid_documents) {
  std::vector<Json> invalid(12, Document());
  invalid[0]["routes"][1]["service"] = "c";
  invalid[1]["routes"][1]["host"] = "198.18.0.1";
  invalid[2]["routes"][0]["timeout_ms"] = 0;
  invalid[3]["routes"][0].erase("backends");
  invalid[4]["routes"][0]["backends"][0]["weight"] = 0;
  invalid[4]["routes"][0]["backends"][1]["weight"] = 0;
  invalid[5]["version"] = "7";
  invalid[6].erase("services");
  invalid[7]["routes"][0]["path_prefix"] = "/x/";
  invalid[8]["routes"][0]["type"] = "other";
  invalid[9]["routes"][0]["backends"][0].erase("weight");
  invalid[10]["routes"] = 5;
  invalid[11]["routes"][0]["host"] = "host.example";
  for (size_t i = 0; i < invalid.size(); ++i) {
    cr_assert_not(Read(invalid[i]).has_value(), "document %zu", i);
  }
}

// Guards against acknowledging and then serving a text that no reader of JSON
// accepts: the parser takes a zero byte for the end of the text, and an address
// was read up to one.
Test(listener_format, rejects_documents_with_zero_bytes) {
  const ListenerFormat& format =
      *ListenerFormatRegistry::Global().Find("platform");
  const std::string whole = Document().dump();
  const std::string zero(1, '\0');
  cr_assert_not(format.read(whole + zero).has_value());
  cr_assert_not(format.read(whole + zero + "rest").has_value());
  cr_assert_not(format.read(whole + "\n" + zero + whole).has_value());
  Json document = Document();
  document["routes"][0]["host"] = "198.18.0.1" + zero + "x";
  cr_assert_not(Read(document).has_value());
}

// Guards against accepting a document that was truncated in transit, and
// against crashes on corrupted bytes.
Test(listener_format, rejects_truncated_and_survives_corrupted_documents) {
  const ListenerFormat& format =
      *ListenerFormatRegistry::Global().Find("platform");
  const std::string whole = Document().dump();
  for (size_t size = 0; size < whole.size(); ++size) {
    cr_assert_not(format.read(whole.substr(0, size)).has_value());
  }
  Random random(20261204);
  for (int i = 0; i < 5000; ++i) {
    std::string bytes = whole;
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    (void)format.read(bytes);
  }
}

}  // namespace
}  // namespace cornelhill
