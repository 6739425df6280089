#include "cornelhill/daemon/runtime.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "cornelhill/base/log.h"

namespace cornelhill {

namespace {

constexpr Millis kDropLinePeriod(1000);

}  // namespace

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

void DropLog::Count(DropReason reason, const std::string& name,
                    const std::string& detail, const FlowKey& flow) {
  ++this->total;
  this->observer.CountDrop(reason);
  Window& entry = this->windows[name];
  ++entry.since_last_line;
  const Millis now = MonotonicNow();
  if (now - entry.last_line < kDropLinePeriod) return;
  LogLine("message_dropped")
      .Warn()
      .Add("reason", name)
      .Add("count", entry.since_last_line)
      .Add("detail", detail);
  // The event has no `detail`: an error's text may quote what was received.
  Event event;
  event.kind = EventKind::kPacketDropped;
  event.flow = flow;
  AddReason(reason, &event.detail);
  event.detail.Add("count", entry.since_last_line);
  this->observer.Record(std::move(event));
  entry = Window{0, now};
}

}  // namespace cornelhill
