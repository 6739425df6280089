#include "cornelhill/base/log.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <string>

namespace cornelhill {
namespace {

// Redirects standard output to a pipe and returns its read end.
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

// Guards against a process that blocks because nobody reads its log. Such a
// failure shows as a timeout.
Test(log, full_pipe_does_not_block_and_drops_are_counted, .timeout = 60) {
  RedirectStdoutToPipe();
  InitLogging("test");
  const std::string padding(500, 'x');
  for (int i = 0; i < 1000; ++i) {
    LogLine("event_" + std::to_string(i)).Add("padding", padding);
  }
  cr_assert_gt(DroppedLogLines(), 500U);
}

// Guards against writing lines below the configured level.
Test(log, lines_below_the_level_are_not_written) {
  for (const char* name : {"warn", "off"}) {
    const int read_end = RedirectStdoutToPipe();
    InitLogging("test", ParseLogLevel(name).value());
    LogLine("info_event").Add("key", 1);
    LogLine("warn_event").Warn();
    const std::string written = ReadAll(read_end);
    cr_assert_eq(written.find("info_event"), std::string::npos);
    cr_assert_eq(written.find("warn_event") == std::string::npos,
                 std::string_view(name) == "off");
  }
  cr_assert_not(ParseLogLevel("verbose").has_value());
}

// Guards against writing every line of a frequent event, and against
// suppressing other events along with it.
Test(log, repeated_event_is_rate_limited) {
  const int read_end = RedirectStdoutToPipe();
  InitLogging("test");
  for (int i = 0; i < 500; ++i) LogLine("repeated").Add("number", i);
  LogLine("other").Add("key", "a value");
  std::istringstream lines(ReadAll(read_end));
  std::string line;
  uint32_t repeated_lines = 0;
  uint32_t other_lines = 0;
  while (std::getline(lines, line)) {
    if (line.find("event=repeated") != std::string::npos) ++repeated_lines;
    if (line.find("event=other key=\"a value\"") != std::string::npos) {
      ++other_lines;
    }
  }
  // The lines may fall into two rate-limiting windows.
  cr_assert(repeated_lines >= kMaxLinesPerEventPerSecond &&
                repeated_lines <= 2 * kMaxLinesPerEventPerSecond,
            "%u lines of the repeated event were written", repeated_lines);
  cr_assert_eq(other_lines, 1U);
}

}  // namespace
}  // namespace cornelhill
