#pragma once

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cornelhill/base/flow_key.h"

namespace cornelhill {

constexpr uint32_t kLoopback = 0x7f000001;

// Returns a loopback address with a port that is free at the time of the call.
// `type` is SOCK_STREAM or SOCK_DGRAM.
inline Endpoint FreeEndpoint(int type) {
  const int probe = socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kLoopback);
  socklen_t length = sizeof(address);
  cr_assert_eq(bind(probe, reinterpret_cast<sockaddr*>(&address), length), 0);
  cr_assert_eq(
      getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length), 0);
  close(probe);
  return {kLoopback, ntohs(address.sin_port)};
}

}  // namespace cornelhill
