#pragma once

#include <cerrno>
#include <zmq.hpp>

namespace cornelhill {

// Makes a call of libzmq, again as often as a signal interrupts it: the library
// then fails with EINTR instead of continuing. Thread-safe.
template <typename Call>
auto RetryInterrupted(const Call& call) {
  while (true) {
    try {
      return call();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) throw;
    }
  }
}

}  // namespace cornelhill
