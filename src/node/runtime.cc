#include "cornelhill/node/runtime.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "cornelhill/base/log.h"

namespace cornelhill {

Runtime::Runtime() : signals(this->io, SIGINT, SIGTERM, SIGHUP) {
  this->AwaitSignal();
}

void Runtime::Every(Millis period, std::function<void()> action) {
  this->periodic_timers.push_back(
      {boost::asio::steady_timer(this->io), period, std::move(action)});
  this->Schedule(this->periodic_timers.back());
}

void Runtime::Schedule(PeriodicTimer& periodic_timer) {
  periodic_timer.timer.expires_after(
      std::chrono::milliseconds(periodic_timer.period.Count()));
  periodic_timer.timer.async_wait(
      [this, &periodic_timer](const boost::system::error_code& error) {
        if (error) return;
        periodic_timer.action();
        this->Schedule(periodic_timer);
      });
}

void Runtime::OnDrain(std::function<void()> action) {
  this->on_drain = std::move(action);
}

void Runtime::OnReload(std::function<void()> action) {
  this->on_reload = std::move(action);
}

void Runtime::AwaitSignal() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          if (this->on_reload) this->on_reload();
        } else if (this->draining) {
          LogLine("stopped_at_once").Warn();
          std::_Exit(1);
        } else {
          this->draining = true;
          LogLine("drain_started");
          if (this->on_drain) {
            this->on_drain();
          } else {
            this->Stop();
          }
        }
        this->AwaitSignal();
      });
}

void Runtime::Run() { this->io.run(); }

void EndProcess(const std::string& role) {
  LogLine("process_stopped").Add("role", role);
  std::_Exit(0);
}

}  // namespace cornelhill
