#include "cornelhill/base/process_signals.h"

#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>

namespace cornelhill {
namespace {

// Guards against a process that ends because the reader of its log has gone.
Test(process_signals, a_write_to_a_closed_pipe_fails_with_an_error) {
  IgnoreWriteSignals();
  std::array<int, 2> ends{};
  cr_assert_eq(pipe(ends.data()), 0);
  close(ends[0]);
  cr_assert_eq(write(ends[1], "x", 1), -1);
  cr_assert_eq(errno, EPIPE);
}

// Guards against core members that end when their disk takes no more bytes.
Test(process_signals, a_write_beyond_the_file_size_limit_fails_with_an_error) {
  IgnoreWriteSignals();
  std::FILE* file = std::tmpfile();
  cr_assert_not_null(file);
  const rlimit full{0, RLIM_INFINITY};
  cr_assert_eq(setrlimit(RLIMIT_FSIZE, &full), 0);
  cr_assert_eq(write(fileno(file), "x", 1), -1);
  cr_assert_eq(errno, EFBIG);
  std::fclose(file);
}

}  // namespace
}  // namespace cornelhill
