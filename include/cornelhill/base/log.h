#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelhill {

// Lines below the level are not written.
enum class LogLevel : uint8_t { kInfo = 0, kWarn = 1, kError = 2, kOff = 3 };

// Reads "info", "warn", "error" or "off". Thread-safe.
std::optional<LogLevel> ParseLogLevel(std::string_view text);

// Prepares logging to standard output. Call once, before other threads start.
// `process` is printed on every line. A line that would block is left out.
void InitLogging(const std::string& process, LogLevel level = LogLevel::kInfo);

// Lines that were left out because standard output was full. Thread-safe.
uint64_t DroppedLogLines();

// Lines of one event name in one second; the next second's first line states
// how many were left out. Writing is part of what a request costs.
constexpr uint32_t kMaxLinesPerEventPerSecond = 20;

// One log line of key=value pairs, written when the object is destroyed:
//   LogLine("upstream_joined").Add("service", name).Add("slots", 2);
// A value with a space, quote or equals sign is quoted. Each line is written
// whole; objects are not shared between threads.
class LogLine {
 public:
  explicit LogLine(std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& Add(std::string_view key, std::string_view value);

  template <std::integral T>
  LogLine& Add(std::string_view key, T value) {
    const std::string text_value = std::to_string(value);
    return this->Add(key, std::string_view{text_value});
  }

  // Marks the line as a warning or an error.
  LogLine& Warn();
  LogLine& Error();

 private:
  std::string text;
  LogLevel level = LogLevel::kInfo;
  bool suppressed = false;
};

}  // namespace cornelhill
