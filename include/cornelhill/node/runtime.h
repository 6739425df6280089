#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <string>

#include "cornelhill/base/millis.h"

namespace cornelhill {

// The event loop of a process with its timers and signal handlers. All handlers
// run on the thread that calls `Run`.
class Runtime {
 public:
  Runtime();

  boost::asio::io_context& Io() { return this->io; }

  // Calls `action` every `period`, the first time after one period.
  void Every(Millis period, std::function<void()> action);

  // Sets the action for the first SIGTERM or SIGINT; without an action that
  // signal stops the loop. A second signal ends the process at once.
  void OnDrain(std::function<void()> action);

  // Sets the action for SIGHUP.
  void OnReload(std::function<void()> action);

  // Runs the event loop until `Stop` is called.
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

// Logs the end of the process and exits with code 0 without running
// destructors: those of ZeroMQ and the logging library join their threads,
// which took longer than a process is given after SIGTERM.
[[noreturn]] void EndProcess(const std::string& role);

}  // namespace cornelhill
