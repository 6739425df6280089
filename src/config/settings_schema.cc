#include "cornelhill/config/schemas.h"

namespace cornelhill {

// Besides the keywords of draft 7 the schemas carry `unit` and `accepts`,
// which `docs/settings.md` and the error messages are made from. The syntax
// "ipv4-port" excludes port 0 and address 0.0.0.0; "ipv4-port-bind" excludes
// port 0 only.
std::string_view SettingsSchema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of cornelhilld",
  "oneOf": [
    {"$ref": "#/definitions/balancer"},
    {"$ref": "#/definitions/agent"},
    {"$ref": "#/definitions/control"}
  ],
  "definitions": {
    "balancer": {
      "type": "object",
      "properties": {
        "role": {"$ref": "#/definitions/role"},
        "instance": {"$ref": "#/definitions/instance"},
        "region": {"$ref": "#/definitions/region"},
        "failure_domain": {"$ref": "#/definitions/failure_domain"},
        "control": {"$ref": "#/definitions/control_list"},
        "data_address": {"$ref": "#/definitions/data_address"},
        "metrics_address": {"$ref": "#/definitions/metrics_address"},
        "timeline_address": {"$ref": "#/definitions/timeline_address"},
        "log_level": {"$ref": "#/definitions/log_level"},
        "ingress": {"$ref": "#/definitions/ingress"},
        "flow_cache_entries": {
          "type": "integer",
          "minimum": 1024,
          "maximum": 16777216,
          "default": 262144,
          "unit": "flows",
          "description": "Upper bound of the flow cache; an entry takes under 100 bytes."
        }
      },
      "required": ["role", "instance", "region", "failure_domain", "control", "data_address", "ingress"],
      "additionalProperties": false
    },
    "agent": {
      "type": "object",
      "properties": {
        "role": {"$ref": "#/definitions/role"},
        "instance": {"$ref": "#/definitions/instance"},
        "region": {"$ref": "#/definitions/region"},
        "failure_domain": {"$ref": "#/definitions/failure_domain"},
        "control": {"$ref": "#/definitions/control_list"},
        "data_address": {"$ref": "#/definitions/data_address"},
        "metrics_address": {"$ref": "#/definitions/metrics_address"},
        "timeline_address": {"$ref": "#/definitions/timeline_address"},
        "log_level": {"$ref": "#/definitions/log_level"},
        "application": {
          "$ref": "#/definitions/name",
          "description": "Application announced by the agent; the service that declares it is served here."
        },
        "slots": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1024,
          "unit": "slots",
          "description": "Requests the upstream runs at the same time."
        },
        "connections": {
          "type": "integer",
          "minimum": 1,
          "maximum": 100000,
          "default": 2000,
          "unit": "flows",
          "description": "Open flows the upstream takes."
        },
        "weight": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000,
          "default": 100,
          "description": "Share of the service's buckets relative to the other upstreams."
        },
        "delivery": {"$ref": "#/definitions/delivery"}
      },
      "required": ["role", "instance", "region", "failure_domain", "control", "data_address", "application", "slots", "delivery"],
      "additionalProperties": false
    },
    "control": {
      "type": "object",
      "properties": {
        "role": {"$ref": "#/definitions/role"},
        "instance": {"$ref": "#/definitions/instance"},
        "region": {"$ref": "#/definitions/region"},
        "failure_domain": {"$ref": "#/definitions/failure_domain"},
        "control": {"$ref": "#/definitions/control_list"},
        "metrics_address": {"$ref": "#/definitions/metrics_address"},
        "timeline_address": {"$ref": "#/definitions/timeline_address"},
        "log_level": {"$ref": "#/definitions/log_level"},
        "member": {
          "$ref": "#/definitions/name",
          "accepts": "a name from the control list",
          "description": "The entry of the control list that this process is."
        },
        "data_directory": {
          "type": "string",
          "minLength": 1,
          "maxLength": 1024,
          "accepts": "a path of 1 to 1024 bytes",
          "description": "Directory of the replicated log; durable storage."
        }
      },
      "required": ["role", "instance", "region", "failure_domain", "control", "member", "data_directory"],
      "additionalProperties": false
    },
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9-]{1,64}$",
      "maxLength": 64,
      "accepts": "1 to 64 characters of a-z, 0-9 and -"
    },
    "endpoint": {
      "type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "maxLength": 21,
      "syntax": "ipv4-port",
      "accepts": "IPV4:PORT other than 0.0.0.0 and port 0, e.g. 127.0.0.1:7000"
    },
    "role": {
      "enum": ["balancer", "agent", "control"],
      "description": "What the process does."
    },
    "instance": {
      "$ref": "#/definitions/name",
      "description": "Unique name of the instance; its ID is the hash of the name."
    },
    "region": {
      "$ref": "#/definitions/name",
      "description": "Region of the instance."
    },
    "failure_domain": {
      "$ref": "#/definitions/name",
      "description": "Failure domain of the instance."
    },
    "control_list": {
      "type": "array",
      "minItems": 1,
      "maxItems": 9,
      "accepts": "a list of 1 to 9 entries with unique names and addresses",
      "description": "The control instances.",
      "items": {
        "type": "object",
        "properties": {
          "name": {
            "$ref": "#/definitions/name",
            "description": "Member name of the control instance; unique in the list."
          },
          "address": {
            "$ref": "#/definitions/endpoint",
            "description": "ZeroMQ endpoint of the control instance; unique in the list."
          }
        },
        "required": ["name", "address"],
        "additionalProperties": false
      }
    },
    "data_address": {
      "$ref": "#/definitions/endpoint",
      "description": "UDP address for messages between balancer and agent."
    },
    "metrics_address": {
      "type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "maxLength": 21,
      "syntax": "ipv4-port-bind",
      "accepts": "IPV4:PORT other than port 0, e.g. 127.0.0.1:9100",
      "default": null,
      "description": "HTTP address of the metrics; no metrics are served without it."
    },
    "timeline_address": {
      "$ref": "#/definitions/endpoint",
      "default": null,
      "description": "ZeroMQ address of the event timeline; no timeline is served without it."
    },
    "log_level": {
      "enum": ["debug", "info", "warn", "error"],
      "default": "info",
      "description": "Lowest level that is logged."
    },
    "plugin": {
      "enum": ["udp", "ip"],
      "description": "Plug-in that reads and writes the packets."
    },
    "ingress": {
      "type": "object",
      "accepts": "an object with plugin, address and fabric",
      "description": "The balancer's side towards the fabric.",
      "properties": {
        "plugin": {"$ref": "#/definitions/plugin"},
        "address": {
          "$ref": "#/definitions/endpoint",
          "description": "Address the fabric's tunnel is received on."
        },
        "fabric": {
          "$ref": "#/definitions/endpoint",
          "description": "Fabric's end of the return tunnel."
        },
        "threads": {
          "type": "integer",
          "minimum": 1,
          "maximum": 64,
          "default": 2,
          "unit": "threads",
          "description": "Threads that receive packets."
        }
      },
      "required": ["plugin", "address", "fabric"],
      "additionalProperties": false
    },
    "delivery": {
      "type": "object",
      "accepts": "an object with plugin, address and upstream",
      "description": "The agent's side towards its upstream.",
      "properties": {
        "plugin": {"$ref": "#/definitions/plugin"},
        "address": {
          "$ref": "#/definitions/endpoint",
          "description": "The agent's own address towards the upstream."
        },
        "upstream": {
          "$ref": "#/definitions/endpoint",
          "description": "Address of the upstream."
        }
      },
      "required": ["plugin", "address", "upstream"],
      "additionalProperties": false
    }
  }
}
)json";
}

}  // namespace cornelhill
