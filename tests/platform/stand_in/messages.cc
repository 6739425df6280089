#include "tests/platform/stand_in/messages.h"

namespace cornelhill::platform_stand_in {

using Json = nlohmann::json;

std::string RoutePortField() { return "path_prefix"; }

std::string RouteTimeoutField() { return "timeout_ms"; }

std::string ConfigTarget() { return "/-/config"; }

std::string ReportTarget(const std::string& id) { return "/-/instances/" + id; }

Json RouteDocument(const Route& route) {
  return {{"name", "r-" + std::to_string(route.port)},
          {"host", route.address},
          {RoutePortField(), "/" + std::to_string(route.port) + "/"},
          {"type", "idempotent"},
          {RouteTimeoutField(), route.timeout_ms},
          {"target_latency_ms", 200},
          {"priority", 2},
          {"service", route.service},
          {"max_attempts", 2}};
}

Json ConfigDocument(uint64_t version, const std::vector<Route>& routes,
                    const std::vector<std::string>& services) {
  Json route_list = Json::array();
  for (const Route& route : routes) route_list.push_back(RouteDocument(route));
  Json service_list = Json::array();
  for (const std::string& name : services) {
    service_list.push_back({{"name", name},
                            {"health_path", "/health"},
                            {"max_conns", 2000},
                            {"protocol", "h1"},
                            {"tls", false}});
  }
  return {{"version", version},
          {"routes", route_list},
          {"services", service_list},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

Json ReportDocument(const std::string& service, const Endpoint& address,
                    uint64_t sequence, int64_t born) {
  return {{"service", service},
          {"address", ToString(address)},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"seq", sequence},
          {"born", born}};
}

Json IncompleteReportDocument(const std::string& service,
                              const Endpoint& address, uint64_t sequence,
                              int64_t born) {
  Json report = ReportDocument(service, address, sequence, born);
  report.erase("zone");
  return report;
}

Json TemplateValues(const ProcessSettings& settings) {
  const auto at = [&settings](uint16_t port) {
    return settings.address + ":" + std::to_string(port);
  };
  return {{"node_name", settings.name},
          {"zone", settings.failure_domain},
          {"ip", settings.address},
          {"seeds", settings.seeds},
          {"service", settings.service},
          {"app", at(settings.app)},
          {"data_dir", settings.data_directory},
          {"bootstrap", settings.bootstrap},
          {"internal_port_range", {settings.internal_first}},
          {"listen",
           {{"packet_addr", at(settings.packets)},
            {"ready", at(settings.ready)},
            {"outbound", at(settings.outbound)},
            {"control", at(settings.control)}}},
          {"bounds", {{"grace_s", 6}, {"flow_max_s", 60}}},
          {"limits", {{"memory_mb", 80}}},
          {"fault_tolerance", {{"machines", settings.tolerated_failures}}},
          {"heartbeat_ms", 1200}};
}

}  // namespace cornelhill::platform_stand_in
