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
int PipeOutput() {
  std::array<int, 2> ends{};
  cr_assert_eq(pipe(ends.data()), 0);
  cr_assert_geq(dup2(ends[1], STDOUT_FILENO), 0);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  return ends[0];
}

std::string ReadAll(int end) {
  std::string out;
  std::array<char, 4096> buffer{};
  for (;;) {
    const ssize_t bytes = read(end, buffer.data(), buffer.size());
    if (bytes <= 0) return out;
    out.append(buffer.data(), static_cast<size_t>(bytes));
  }
}

// Fails, by never ending, where a process waits for the reader of its log.
Test(log, a_full_pipe_stalls_nothing_and_is_counted, .timeout = 60) {
  PipeOutput();
  InitLogging("test");
  const std::string padding(500, 'x');
  for (int i = 0; i < 1000; ++i) {
    LogLine("event_" + std::to_string(i)).Add("padding", padding);
  }
  cr_assert_gt(DroppedLogLines(), 500U);
}

// Fails where lines below the level are written.
Test(log, lines_below_the_level_are_left_out) {
  for (const char* name : {"warn", "off"}) {
    const int end = PipeOutput();
    InitLogging("test", ParseLogLevel(name).value());
    LogLine("calm").Add("key", 1);
    LogLine("warning").Warn();
    const std::string written = ReadAll(end);
    cr_assert_eq(written.find("calm"), std::string::npos);
    cr_assert_eq(written.find("warning") == std::string::npos,
                 std::string_view(name) == "off");
  }
  cr_assert_not(ParseLogLevel("loud").has_value());
}

// Fails where a flood of one event is written whole, or hides other events.
Test(log, a_flood_of_one_event_is_bounded) {
  const int end = PipeOutput();
  InitLogging("test");
  for (int i = 0; i < 500; ++i) LogLine("flood").Add("number", i);
  LogLine("other").Add("key", "a value");
  std::istringstream lines(ReadAll(end));
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
  cr_assert(floods >= kMaxLinesPerSecond && floods <= 2 * kMaxLinesPerSecond,
            "%u lines", floods);
  cr_assert_eq(others, 1U);
}

}  // namespace
}  // namespace cornelhill
