#include "tools/soak/configurations.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "tests/platform/stand_in/messages.h"

namespace cornelhill::soak {

namespace {

using Json = nlohmann::json;
namespace platform = platform_stand_in;

constexpr std::array<const char*, 2> kServices = {"alpha", "beta"};
constexpr uint64_t kMaxVersionStep = 4;
constexpr double kRouted = 0.8;
constexpr uint16_t kFirstIdlePort = 9000;
// A port that no valid configuration routes.
constexpr uint16_t kUnroutedPort = 7000;

}  // namespace

Configurations::Configurations(uint64_t seed, std::string listener,
                               uint32_t idle_routes)
    : random(seed), listener(std::move(listener)), idle_routes(idle_routes) {}

Configuration Configurations::Draw() {
  this->version += 1 + this->random.Below(kMaxVersionStep);
  Configuration out;
  out.version = this->version;
  std::vector<platform::Route> routes;
  const auto timeout = static_cast<uint32_t>(1000 + out.version % 1000);
  for (uint16_t i = 0; i < kRoutedPorts; ++i) {
    const auto port = static_cast<uint16_t>(kFirstRoutedPort + i);
    const std::string service = kServices.at(this->random.Below(2));
    if (!this->random.Chance(kRouted)) continue;
    out.routes[port] = service;
    routes.push_back({this->listener, port, service, timeout});
  }
  for (uint32_t i = 0; i < this->idle_routes; ++i) {
    routes.push_back({this->listener, static_cast<uint16_t>(kFirstIdlePort + i),
                      kServices.front(), timeout});
  }
  out.document = platform::ConfigDocument(out.version, routes,
                                          {kServices.begin(), kServices.end()})
                     .dump();
  return out;
}

Configuration Configurations::Next() {
  const std::lock_guard lock(this->mutex);
  return this->Draw();
}

Configuration Configurations::NextInvalid() {
  const std::lock_guard lock(this->mutex);
  Configuration out = this->Draw();
  out.valid = false;
  Json document = Json::parse(out.document);
  Json& routes = document["routes"];
  Json added =
      platform::RouteDocument({this->listener, kUnroutedPort, "alpha", 1000});
  switch (this->random.Below(7)) {
    case 0:
      out.document.resize(out.document.size() / 2);
      return out;
    case 1:
      out.document = std::string(100000, '[');
      return out;
    case 2:
      routes.push_back(added);
      break;
    case 3:
      added["service"] = "unknown";
      break;
    case 4:
      added[platform::RouteTimeoutField()] = 0;
      break;
    case 5:
      out.document += std::string(1, '\0') + "rest";
      return out;
    default:
      added[platform::RoutePortField()] = "/70000/";
  }
  routes.push_back(added);
  out.document = document.dump();
  return out;
}

}  // namespace cornelhill::soak
