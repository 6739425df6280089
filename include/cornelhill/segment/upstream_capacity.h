#pragma once

#include <cstdint>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// Estimates from an agent's own measurements how many requests its upstream
// can have in progress before further ones only wait in the upstream, where
// they can be neither reordered nor given to another upstream. A flow occupies
// no slot of the upstream while it is opened and its request is received, so
// the number exceeds that of the slots. Not thread-safe.
class UpstreamCapacity {
 public:
  // Records the time from the admission of a flow to the last packet of its
  // first request.
  void OnRequestReceived(Millis preparation);

  // Records the time from the last packet of a request to the first packet of
  // its answer.
  void OnAnswer(Millis service);

  // Returns the number of flows to have in progress, at least `slots` and one
  // more.
  uint32_t Limit(uint32_t slots) const;

  // Returns a time from the admission of a flow to its answer that few flows
  // exceed.
  Millis ResponseTime() const;

  // Returns the mean time in which the upstream answers `count` requests.
  Millis TimeToServe(uint32_t count, uint32_t slots) const;

 private:
  // An exponentially weighted mean and mean deviation, in milliseconds.
  struct Mean {
    double mean = 0;
    double deviation = 0;
    bool known = false;

    void Add(Millis sample);
    double HighEstimate() const;
  };

  Mean preparation;
  Mean service;
};

}  // namespace cornelhill
