#include "cornelhill/base/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <climits>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>

#include "cornelhill/base/millis.h"

namespace cornelhill {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\t\\") != value.npos;
}

void AppendQuoted(std::string& out, std::string_view value) {
  out += '"';
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  out += '"';
}

log4cplus::Logger& RootLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

// Limits the lines of each event name per window of one second. Thread-safe.
class LogRateLimiter {
 public:
  // Returns whether the line may be written. On the first line of a new window,
  // stores the number of lines suppressed in the previous one.
  bool Admit(std::string_view event, Millis now, uint64_t* suppressed_lines) {
    const std::lock_guard lock(this->mutex);
    const auto found = this->windows.find(event);
    Window& window = found != this->windows.end()
                         ? found->second
                         : this->windows[std::string(event)];
    if (now - window.start >= kWindow) {
      *suppressed_lines = window.suppressed_lines;
      window = {now, 0, 0};
    }
    if (window.lines >= kMaxLinesPerEventPerSecond) {
      ++window.suppressed_lines;
      return false;
    }
    ++window.lines;
    return true;
  }

 private:
  static constexpr Millis kWindow{1000};

  struct Window {
    Millis start{-1000};
    uint32_t lines = 0;
    uint64_t suppressed_lines = 0;
  };

  std::mutex mutex;
  std::map<std::string, Window, std::less<>> windows;
};

LogRateLimiter& RateLimiter() {
  static LogRateLimiter limiter;
  return limiter;
}

std::atomic<uint64_t> dropped_lines = 0;
std::atomic<LogLevel> min_level = LogLevel::kInfo;

// Writes to standard output; drops a line instead of blocking.
class StdoutAppender : public log4cplus::Appender {
 public:
  ~StdoutAppender() override { this->destructorImpl(); }
  void close() override {}

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    // A pipe that polls as writable accepts `PIPE_BUF` bytes without blocking.
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    std::ostringstream line;
    this->layout->formatAndAppend(line, event);
    std::string bytes = line.str();
    if (bytes.size() > PIPE_BUF) {
      bytes.resize(PIPE_BUF - 1);
      bytes += '\n';
    }
    if (poll(&ready, 1, 0) != 1 ||
        write(STDOUT_FILENO, bytes.data(), bytes.size()) < 0) {
      ++dropped_lines;
    }
  }
};

}  // namespace

uint64_t DroppedLogLines() { return dropped_lines; }

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  if (text == "info") return LogLevel::kInfo;
  if (text == "warn") return LogLevel::kWarn;
  if (text == "error") return LogLevel::kError;
  if (text == "off") return LogLevel::kOff;
  return std::nullopt;
}

void InitLogging(const std::string& process, LogLevel level) {
  min_level = level;
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(new StdoutAppender());
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=" + process + " %m%n"));
  RootLogger().removeAllAppenders();
  RootLogger().addAppender(appender);
  RootLogger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

LogLine::LogLine(std::string_view event) {
  if (min_level == LogLevel::kOff) {
    this->suppressed = true;
    return;
  }
  uint64_t suppressed_lines = 0;
  if (!RateLimiter().Admit(event, MonotonicNow(), &suppressed_lines)) {
    this->suppressed = true;
    return;
  }
  this->text = "event=";
  this->text += event;
  if (suppressed_lines > 0) this->Add("left_out_before", suppressed_lines);
}

LogLine::~LogLine() {
  if (this->suppressed || this->level < min_level) return;
  switch (this->level) {
    case LogLevel::kWarn:
      LOG4CPLUS_WARN(RootLogger(), this->text);
      break;
    case LogLevel::kError:
      LOG4CPLUS_ERROR(RootLogger(), this->text);
      break;
    default:
      LOG4CPLUS_INFO(RootLogger(), this->text);
  }
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  if (this->suppressed) return *this;
  this->text += ' ';
  this->text += key;
  this->text += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(this->text, value);
  } else {
    this->text += value;
  }
  return *this;
}

LogLine& LogLine::Warn() {
  this->level = LogLevel::kWarn;
  return *this;
}

LogLine& LogLine::Error() {
  this->level = LogLevel::kError;
  return *this;
}

}  // namespace cornelhill
