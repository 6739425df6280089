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

// Parses "A:P,B:P"; ends the program with one line where an item is bad.
std::vector<Endpoint> ParseEndpointsOrExit(const std::string& flag,
                                           const std::string& list);
Endpoint ParseEndpointOrExit(const std::string& flag, const std::string& text);

}  // namespace cornelhill
