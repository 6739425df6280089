#include "cornelhill/node/one_shot_timer.h"

#include <chrono>
#include <utility>

namespace cornelhill {

OneShotTimer::OneShotTimer(Runtime& runtime, Millis delay,
                           std::function<void()> action)
    : timer(runtime.Io()), delay(delay), action(std::move(action)) {}

void OneShotTimer::Arm() {
  if (this->armed) return;
  this->armed = true;
  this->timer.expires_after(std::chrono::milliseconds(this->delay.Count()));
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    this->armed = false;
    this->action();
  });
}

}  // namespace cornelhill
