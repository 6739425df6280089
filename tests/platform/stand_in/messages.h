#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"

namespace cornelhill::platform_stand_in {

// What the users' platform, its operators and its upstreams write, for programs
// that stand in for them. All functions are thread-safe.

// Target of an operator's calls.
std::string ConfigTarget();
// Target of the reports of upstream `id`.
std::string ReportTarget(const std::string& id);

struct Route {
  std::string address;  // Of the listener.
  uint16_t port = 0;
  std::string service;
  uint32_t timeout_ms = 1000;
};

// A configuration as an operator sends it.
nlohmann::json ConfigDocument(uint64_t version,
                              const std::vector<Route>& routes,
                              const std::vector<std::string>& services);
nlohmann::json RouteDocument(const Route& route);
// Names of the fields that a fault changes.
std::string RoutePortField();
std::string RouteTimeoutField();

// A report of an upstream that serves new flows.
nlohmann::json ReportDocument(const std::string& service,
                              const Endpoint& address, uint64_t sequence,
                              int64_t born);
// A report of another writer, which lacks a field.
nlohmann::json IncompleteReportDocument(const std::string& service,
                                        const Endpoint& address,
                                        uint64_t sequence, int64_t born);

// What the platform tells a process.
struct ProcessSettings {
  std::string name;
  std::string address;
  std::string failure_domain;
  std::vector<std::string> seeds;
  std::string service;
  std::string data_directory;
  bool bootstrap = false;
  size_t tolerated_failures = 1;
  uint16_t control = 0;
  uint16_t packets = 0;
  uint16_t ready = 0;
  uint16_t outbound = 0;
  uint16_t app = 0;
  uint16_t internal_first = 0;
};

// The fields from which the platform fills in a settings template.
nlohmann::json TemplateValues(const ProcessSettings& settings);

}  // namespace cornelhill::platform_stand_in
