#include "tools/common/net.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace cornelhill {

Endpoint ParseEndpointOrExit(const std::string& flag, const std::string& text) {
  const Result<Endpoint> endpoint = ParseEndpoint(text);
  if (endpoint.has_value()) return endpoint.value();
  std::cerr << "--" << flag << ": " << endpoint.error().message << "\n";
  std::exit(2);
}

std::vector<Endpoint> ParseEndpointsOrExit(const std::string& flag,
                                           const std::string& list) {
  std::vector<Endpoint> endpoints;
  std::stringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');) {
    endpoints.push_back(ParseEndpointOrExit(flag, item));
  }
  return endpoints;
}

}  // namespace cornelhill
