#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelhill {

// Lines below the level are not written.
enum class LogLevel : uint8_t { kInfo = 0, kWarn = 1, kError = 2, kOff = 3 };

// Parses "info", "warn", "error" or "off"; returns nullopt for other text.
// Thread-safe.
std::optional<LogLevel> ParseLogLevel(std::string_view text);

// Sets up logging to standard output. Call once, before other threads
// start. `process` is printed on every line. A line whose write would block is
// dropped.
void InitLogging(const std::string& process, LogLevel level = LogLevel::kInfo);

// Returns the number of lines dropped because standard output was not writable.
// Thread-safe.
uint64_t DroppedLogLines();

// Maximum number of lines written per event name and second; the first line of
// the next window reports how many were suppressed. Bounded because log writes
// add to the cost of serving a request.
constexpr uint32_t kMaxLinesPerEventPerSecond = 20;

// One log line of key=value pairs, written when the object is destroyed:
//   LogLine("upstream_joined").Add("service", name).Add("slots", 2);
// A value that is empty or contains white space, a quote, a backslash or an
// equals sign is quoted. Each line is written in one call. An object must not
// be shared between threads.
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

  // Sets the level of the line; the default is info.
  LogLine& Warn();
  LogLine& Error();

 private:
  std::string text;
  LogLevel level = LogLevel::kInfo;
  bool suppressed = false;
};

}  // namespace cornelhill
