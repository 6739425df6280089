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
  this->periodics.push_back(
      {boost::asio::steady_timer(this->io), period, std::move(action)});
  this->Schedule(this->periodics.back());
}

void Runtime::Schedule(Periodic& periodic) {
  periodic.timer.expires_after(
      std::chrono::milliseconds(periodic.period.Count()));
  periodic.timer.async_wait(
      [this, &periodic](const boost::system::error_code& error) {
        if (error) return;
        periodic.action();
        this->Schedule(periodic);
      });
}

void Runtime::OnDrain(std::function<void()> action) {
  this->drain = std::move(action);
}

void Runtime::OnReload(std::function<void()> action) {
  this->reload = std::move(action);
}

void Runtime::AwaitSignal() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          if (this->reload) this->reload();
        } else if (this->draining) {
          LogLine("stopped_at_once").Warn();
          std::_Exit(1);
        } else {
          this->draining = true;
          LogLine("drain_started");
          if (this->drain) {
            this->drain();
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
