#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "cornelhill/base/millis.h"
#include "cornelhill/node/runtime.h"

namespace cornelhill {

// A reusable one-shot timer: `Arm` schedules one call of the action after the
// delay. Runs on the thread of the event loop.
class OneShotTimer {
 public:
  OneShotTimer(Runtime& runtime, Millis delay, std::function<void()> action);

  // Does nothing while the timer is armed. The action may rearm the timer.
  void Arm();

 private:
  boost::asio::steady_timer timer;
  Millis delay;
  std::function<void()> action;
  bool armed = false;
};

}  // namespace cornelhill
