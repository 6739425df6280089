#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include "cornelhill/base/random.h"
#include "tools/soak/config_judge.h"

namespace cornelhill::soak {

// First of the ports that configurations route.
constexpr uint16_t kFirstRoutedPort = 8000;
constexpr uint16_t kRoutedPorts = 16;

struct Configuration {
  uint64_t version = 0;
  std::string document;
  Routes routes;
  bool valid = true;
};

// Draws the configurations of a run. Thread-safe.
class Configurations {
 public:
  // All routes have the host `listener`; `idle_routes` more see no traffic.
  Configurations(uint64_t seed, std::string listener, uint32_t idle_routes);

  // Returns a configuration with a higher version than all before. Each port is
  // routed or not, to either service, independently of other versions.
  Configuration Next();
  // Returns a configuration that must be refused.
  Configuration NextInvalid();

 private:
  Configuration Draw();

  std::mutex mutex;
  Random random;
  std::string listener;
  uint32_t idle_routes;
  uint64_t version = 0;
};

}  // namespace cornelhill::soak
