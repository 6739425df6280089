#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"

namespace cornelhill {

inline boost::asio::ip::udp::endpoint ToAsio(const Endpoint& endpoint) {
  return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

inline Endpoint FromAsio(const boost::asio::ip::udp::endpoint& endpoint) {
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

// Parse "A:P,B:P" and "A:P"; exit with an error message if an item is invalid.
std::vector<Endpoint> ParseEndpointsOrExit(const std::string& flag,
                                           const std::string& list);
Endpoint ParseEndpointOrExit(const std::string& flag, const std::string& text);

}  // namespace cornelhill
