#include <nlohmann/json.hpp>
#include <string>

#include "cornelhill/config/rule_fields.h"
#include "cornelhill/config/schemas.h"

namespace cornelhill {

namespace {

constexpr std::string_view kHead = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Declaration of services",
  "type": "object",
  "properties": {
    "services": {
      "type": "array",
      "maxItems": 4096,
      "accepts": "a list of up to 4096 services",
      "description": "The services.",
      "items": {"$ref": "#/definitions/service"}
    }
  },
  "required": ["services"],
  "additionalProperties": false,
  "definitions": {
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9-]{1,64}$",
      "maxLength": 64,
      "accepts": "1 to 64 characters of a-z, 0-9 and -"
    },
    "service": {
      "type": "object",
      "properties": {
        "name": {
          "$ref": "#/definitions/name",
          "description": "Name of the service; unique."
        },
        "address": {
          "type": "string",
          "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
          "maxLength": 21,
          "syntax": "ipv4-port",
          "accepts": "IPV4:PORT other than 0.0.0.0 and port 0, e.g. 127.0.0.1:7000",
          "description": "Where callers send their packets; no two services share one."
        },
        "protocol": {
          "enum": ["tcp", "udp"],
          "default": "udp",
          "description": "IP protocol of the service."
        },
        "application": {
          "$ref": "#/definitions/name",
          "description": "Application that the agents of the upstreams announce; no two services share one."
        },
        "rules": {"$ref": "#/definitions/rules"}
      },
      "required": ["name", "address", "application"],
      "additionalProperties": false
    },
    "rules": {
      "type": "object",
      "accepts": "an object with the rules below",
      "description": "Rules of scheduling and limits; a missing rule has its default.",
      "properties": {
)json";

constexpr std::string_view kTail = R"json(      },
      "additionalProperties": false
    }
  }
}
)json";

std::string Quoted(std::string_view text) {
  return nlohmann::json(text).dump();
}

std::string Build() {
  std::string schema(kHead);
  const SchedulingRules defaults;
  const std::string indent(10, ' ');
  for (const RuleField& field : RuleFields()) {
    schema += "        " + Quoted(field.name) + ": {\n";
    schema += indent + "\"type\": \"integer\",\n";
    schema += indent + "\"minimum\": " + std::to_string(field.minimum) + ",\n";
    schema += indent + "\"maximum\": " + std::to_string(field.maximum) + ",\n";
    schema += indent +
              "\"default\": " + std::to_string(GetRule(defaults, field)) +
              ",\n";
    schema += indent + "\"unit\": " + Quoted(field.unit) + ",\n";
    schema += indent + "\"description\": " + Quoted(field.description) + "\n";
    schema += &field == &RuleFields().back() ? "        }\n" : "        },\n";
  }
  schema += kTail;
  return schema;
}

}  // namespace

std::string_view DeclarationSchema() {
  static const std::string schema = Build();
  return schema;
}

}  // namespace cornelhill
