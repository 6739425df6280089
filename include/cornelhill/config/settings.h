#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"
#include "cornelhill/base/strong_id.h"

namespace cornelhill {

// What a `cornelhilld` process does.
enum class Role : uint8_t { kBalancer, kAgent, kControl };

// Returns the name used in settings, e.g. "balancer". Thread-safe.
std::string_view ToString(Role role);

// One control instance and its ZeroMQ endpoint.
struct ControlMember {
  std::string name;
  Endpoint address;

  bool operator==(const ControlMember&) const = default;
};

// The balancer's side towards the fabric.
struct IngressSettings {
  std::string plugin;  // "udp" or "ip".
  Endpoint address;    // Where the fabric's tunnel is received.
  Endpoint fabric;     // Where the return tunnel ends.
  uint32_t threads = 2;

  bool operator==(const IngressSettings&) const = default;
};

// The agent's side towards its upstream.
struct DeliverySettings {
  std::string plugin;  // "udp" or "ip".
  Endpoint address;    // The agent's own side.
  Endpoint upstream;

  bool operator==(const DeliverySettings&) const = default;
};

// Settings of one `cornelhilld` process. `docs/settings.md` gives the default,
// unit and range of each. Fields of another role keep their defaults.
struct Settings {
  Role role = Role::kBalancer;
  std::string instance;
  InstanceId instance_id;  // Hash64 of `instance`.
  std::string region;
  std::string failure_domain;
  std::vector<ControlMember> control;
  std::optional<Endpoint> metrics_address;
  std::optional<Endpoint> timeline_address;
  std::string log_level = "info";  // "debug", "info", "warn" or "error".

  // Balancer and agent: UDP address of messages between them.
  Endpoint data_address;

  // Balancer.
  IngressSettings ingress;
  uint32_t flow_cache_entries = 262144;

  // Agent.
  std::string application;
  uint32_t slots = 0;
  uint32_t connections = 2000;
  uint32_t weight = 100;
  DeliverySettings delivery;

  // Control: `member` is a name in `control`.
  std::string member;
  std::string data_directory;

  bool operator==(const Settings&) const = default;
};

// Reads and checks the settings file at `path`. The error is one line with the
// file, the field, the value and what is accepted. Thread-safe.
Result<Settings> LoadSettings(const std::string& path);

// Parses and checks `text`; `file` is the name used in errors. Thread-safe.
Result<Settings> ParseSettings(std::string_view text, const std::string& file);

}  // namespace cornelhill
