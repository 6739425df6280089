#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <string>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// The event loop of a process with its timers and signals. All handlers run on
// the thread that calls `Run`.
class Runtime {
 public:
  Runtime();

  boost::asio::io_context& Io() { return this->io; }

  // Calls `action` every `period`, the first time after one period.
  void Every(Millis period, std::function<void()> action);

  // Sets what SIGTERM or SIGINT starts. A second signal ends the process at
  // once. Without an action the first signal ends the loop.
  void OnDrain(std::function<void()> action);

  // Sets what SIGHUP starts.
  void OnReload(std::function<void()> action);

  // Runs until `Stop`.
  void Run();
  void Stop() { this->io.stop(); }

 private:
  struct PeriodicTimer {
    boost::asio::steady_timer timer;
    Millis period;
    std::function<void()> action;
  };

  void Schedule(PeriodicTimer& periodic_timer);
  void AwaitSignal();

  boost::asio::io_context io;
  boost::asio::signal_set signals;
  std::list<PeriodicTimer> periodic_timers;
  std::function<void()> on_drain;
  std::function<void()> on_reload;
  bool draining = false;
};

// Logs that the process stops and ends it with exit code 0, without running
// destructors: ZeroMQ and the logging library wait for their own threads there,
// which took longer than the time that a process has after SIGTERM.
[[noreturn]] void EndProcess(const std::string& role);

}  // namespace cornelhill
