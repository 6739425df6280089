#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/turn/scheduling_rules.h"

namespace cornelhill {

// What an operator declares of one service.
struct ServiceDeclaration {
  std::string name;
  // Where callers send their packets. No two services share an address.
  Endpoint address;
  Protocol protocol = Protocol::kUdp;
  // The application name that an upstream's agent must announce to serve this
  // service. No two services share an application.
  std::string application;
  SchedulingRules rules;

  bool operator==(const ServiceDeclaration&) const = default;
};

// Most services of one declaration.
constexpr size_t kMaxServices = 4096;

// Everything that operators declare; kept in version control as JSON.
struct Declaration {
  std::vector<ServiceDeclaration> services;  // Ordered by name.

  bool operator==(const Declaration&) const = default;
};

}  // namespace cornelhill
