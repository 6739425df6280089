#include "cornelhill/config/settings.h"

#include <algorithm>
#include <array>
#include <utility>

#include "config/schema_checker.h"
#include "cornelhill/base/hash.h"
#include "cornelhill/config/schemas.h"

namespace cornelhill {

namespace {

constexpr size_t kMaxSettingsBytes = 65536;

constexpr std::array<std::pair<Role, std::string_view>, 3> kRoleNames = {{
    {Role::kBalancer, "balancer"},
    {Role::kAgent, "agent"},
    {Role::kControl, "control"},
}};

const SchemaChecker& CheckerOf(Role role) {
  static const std::array<SchemaChecker, 3> checkers = {
      SchemaChecker(SettingsSchema(), "balancer"),
      SchemaChecker(SettingsSchema(), "agent"),
      SchemaChecker(SettingsSchema(), "control")};
  return checkers.at(static_cast<size_t>(role));
}

// Finds the role before the check, since the role selects the schema.
Result<Role> ReadRole(const Json& document, const std::string& file) {
  if (!document.is_object()) {
    return CheckerOf(Role::kBalancer).Refuse(file, document, {});
  }
  if (document.contains("role")) {
    for (const auto& [role, name] : kRoleNames) {
      if (document["role"] == name) return role;
    }
  }
  return CheckerOf(Role::kBalancer).Refuse(file, document, {"role"});
}

// Refuses fields of other roles by a message that names those roles.
Result<void> CheckFieldsOfRole(Role role, const Json& document,
                               const std::string& file) {
  for (const auto& [key, value] : document.items()) {
    if (!CheckerOf(role).FieldSchema({key}).is_null()) continue;
    std::string others;
    for (const auto& [other, name] : kRoleNames) {
      if (CheckerOf(other).FieldSchema({key}).is_null()) continue;
      others += (others.empty() ? "" : " or ") + std::string(name);
    }
    if (others.empty()) continue;
    return FieldError(file, document, {key},
                      "this field only where role is " + others +
                          ", and role is " + std::string(ToString(role)));
  }
  return boost::outcome_v2::success();
}

// Requires a value that passed the check.
Endpoint ReadEndpoint(const Json& value) {
  return ParseEndpoint(value.get<std::string>()).value();
}

Result<void> CheckControlList(const Json& document, const std::string& file) {
  const Json& list = document["control"];
  for (size_t i = 0; i < list.size(); ++i) {
    for (const char* key : {"name", "address"}) {
      const bool repeated = std::any_of(
          list.begin(), list.begin() + static_cast<ptrdiff_t>(i),
          [&](const Json& earlier) { return earlier[key] == list[i][key]; });
      if (repeated) {
        return FieldError(file, document, {"control", std::to_string(i), key},
                          "a value that no other entry of the list has");
      }
    }
  }
  if (document.contains("member") &&
      std::ranges::none_of(list, [&document](const Json& entry) {
        return entry["name"] == document["member"];
      })) {
    return FieldError(file, document, {"member"},
                      "a name from the control list");
  }
  return boost::outcome_v2::success();
}

IngressSettings ReadIngress(const Json& value) {
  IngressSettings ingress;
  ingress.plugin = value["plugin"];
  ingress.address = ReadEndpoint(value["address"]);
  ingress.fabric = ReadEndpoint(value["fabric"]);
  ingress.threads = value.value("threads", ingress.threads);
  return ingress;
}

DeliverySettings ReadDelivery(const Json& value) {
  return {value["plugin"], ReadEndpoint(value["address"]),
          ReadEndpoint(value["upstream"])};
}

// Requires a document that passed the check.
Settings ReadSettings(Role role, const Json& document) {
  Settings settings;
  settings.role = role;
  settings.instance = document["instance"];
  settings.instance_id = InstanceId(Hash64(settings.instance));
  settings.region = document["region"];
  settings.failure_domain = document["failure_domain"];
  for (const Json& entry : document["control"]) {
    settings.control.push_back({entry["name"], ReadEndpoint(entry["address"])});
  }
  if (document.contains("metrics_address")) {
    settings.metrics_address = ReadEndpoint(document["metrics_address"]);
  }
  if (document.contains("timeline_address")) {
    settings.timeline_address = ReadEndpoint(document["timeline_address"]);
  }
  settings.log_level = document.value("log_level", settings.log_level);
  if (document.contains("data_address")) {
    settings.data_address = ReadEndpoint(document["data_address"]);
  }
  if (document.contains("ingress")) {
    settings.ingress = ReadIngress(document["ingress"]);
  }
  settings.flow_cache_entries =
      document.value("flow_cache_entries", settings.flow_cache_entries);
  settings.application = document.value("application", "");
  settings.slots = document.value("slots", settings.slots);
  settings.connections = document.value("connections", settings.connections);
  settings.weight = document.value("weight", settings.weight);
  if (document.contains("delivery")) {
    settings.delivery = ReadDelivery(document["delivery"]);
  }
  settings.member = document.value("member", "");
  settings.data_directory = document.value("data_directory", "");
  return settings;
}

}  // namespace

std::string_view ToString(Role role) {
  return kRoleNames.at(static_cast<size_t>(role)).second;
}

Result<Settings> ParseSettings(std::string_view text, const std::string& file) {
  BOOST_OUTCOME_TRY(document, ParseJson(text, file));
  BOOST_OUTCOME_TRY(role, ReadRole(document, file));
  BOOST_OUTCOME_TRY(CheckFieldsOfRole(role, document, file));
  BOOST_OUTCOME_TRY(CheckerOf(role).Check(document, file));
  BOOST_OUTCOME_TRY(CheckControlList(document, file));
  return ReadSettings(role, document);
}

Result<Settings> LoadSettings(const std::string& path) {
  BOOST_OUTCOME_TRY(text, ReadTextFile(path, kMaxSettingsBytes));
  return ParseSettings(text, path);
}

}  // namespace cornelhill
