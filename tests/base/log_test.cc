#include "cornelhill/base/log.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <string>

namespace cornelhill {
namespace {

// Makes standard output a pipe and returns the end to read from.
int RedirectStdoutToPipe() {
  std::array<int, 2> ends{};
  cr_assert_eq(pipe(ends.data()), 0);
  cr_assert_geq(dup2(ends[1], STDOUT_FILENO), 0);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  return ends[0];
}

std::string ReadAll(int read_end) {
  std::string out;
  std::array<char, 4096> buffer{};
  for (;;) {
    const ssize_t bytes = read(read_end, buffer.data(), buffer.size());
    if (bytes <= 0) return out;
    out.append(buffer.data(), static_cast<size_t>(bytes));
  }
}

// Fails, by never ending, where a process waits for the reader of its log.
Test(log, full_pipe_does_not_block_and_drops_are_counted, .timeout = 60) {
  RedirectStdoutToPipe();
  InitLogging("test");
  const std::string padding(500, 'x');
  for (int i = 0; i < 1000; ++i) {
    LogLine("event_" + std::to_string(i)).Add("padding", padding);
  }
  cr_assert_gt(DroppedLogLines(), 500U);
}

// Fails where lines below the level are written.
Test(log, lines_below_the_level_are_not_written) {
  for (const char* name : {"warn", "off"}) {
    const int read_end = RedirectStdoutToPipe();
    InitLogging("test", ParseLogLevel(name).value());
    LogLine("calm").Add("key", 1);
    LogLine("warning").Warn();
    const std::string written = ReadAll(read_end);
    cr_assert_eq(written.find("calm"), std::string::npos);
    cr_assert_eq(written.find("warning") == std::string::npos,
                 std::string_view(name) == "off");
  }
  cr_assert_not(ParseLogLevel("loud").has_value());
}

// Fails where a flood of one event is written whole, or hides other events.
Test(log, repeated_event_is_rate_limited) {
  const int read_end = RedirectStdoutToPipe();
  InitLogging("test");
  for (int i = 0; i < 500; ++i) LogLine("flood").Add("number", i);
  LogLine("other").Add("key", "a value");
  std::istringstream lines(ReadAll(read_end));
  std::string line;
  uint32_t floods = 0;
  uint32_t others = 0;
  while (std::getline(lines, line)) {
    if (line.find("event=flood") != std::string::npos) ++floods;
    if (line.find("event=other key=\"a value\"") != std::string::npos) {
      ++others;
    }
  }
  // The flood may cross from one second to the next.
  cr_assert(floods >= kMaxLinesPerEventPerSecond &&
                floods <= 2 * kMaxLinesPerEventPerSecond,
            "%u lines", floods);
  cr_assert_eq(others, 1U);
}

}  // namespace
}  // namespace cornelhill
