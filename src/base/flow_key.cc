#include "cornelhill/base/flow_key.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

#include "cornelhill/base/hash.h"

namespace cornelhill {

uint64_t HashFlow(const FlowKey& key) {
  const uint64_t addresses =
      uint64_t{key.caller.address} << 32 | key.service.address;
  const uint64_t ports = uint64_t{key.caller.port} << 32 |
                         uint64_t{key.service.port} << 8 |
                         static_cast<uint64_t>(key.protocol);
  return HashCombine(addresses, ports);
}

BucketIndex BucketOf(const FlowKey& key) {
  return BucketIndex(static_cast<uint16_t>(HashFlow(key) % kBucketCount));
}

std::string ToString(const Endpoint& endpoint) {
  const uint32_t network = htonl(endpoint.address);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &network, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(endpoint.port);
}

std::string ToString(const FlowKey& key) {
  const char* protocol = key.protocol == Protocol::kTcp ? "tcp" : "udp";
  return std::string(protocol) + "/" + ToString(key.caller) + ">" +
         ToString(key.service);
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const auto invalid = [&text] {
    return Fail(ErrorCode::kInvalidArgument,
                "address \"" + text +
                    "\" is not of the form IPV4:PORT, e.g. 127.0.0.1:7000");
  };
  const size_t colon = text.rfind(':');
  // `inet_pton` ends at a zero byte.
  if (colon == std::string::npos || text.find('\0') != std::string::npos) {
    return invalid();
  }
  in_addr parsed{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1) {
    return invalid();
  }
  uint16_t port = 0;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(begin, end, port);
  if (status != std::errc() || stop != end || begin == end) return invalid();
  return Endpoint{ntohl(parsed.s_addr), port};
}

Result<FlowKey> ParseFlowKey(const std::string& text) {
  const auto invalid = [&text] {
    return Fail(ErrorCode::kInvalidArgument,
                "flow \"" + text +
                    "\" is not of the form PROTOCOL/CALLER>SERVICE, e.g. "
                    "udp/127.0.0.1:40000>127.0.10.1:7001");
  };
  const size_t slash = text.find('/');
  const size_t arrow = text.find('>');
  if (slash == std::string::npos || arrow == std::string::npos ||
      arrow < slash) {
    return invalid();
  }
  const std::string protocol = text.substr(0, slash);
  if (protocol != "udp" && protocol != "tcp") return invalid();
  BOOST_OUTCOME_TRY(caller,
                    ParseEndpoint(text.substr(slash + 1, arrow - slash - 1)));
  BOOST_OUTCOME_TRY(service, ParseEndpoint(text.substr(arrow + 1)));
  return FlowKey{caller, service,
                 protocol == "tcp" ? Protocol::kTcp : Protocol::kUdp};
}

}  // namespace cornelhill
