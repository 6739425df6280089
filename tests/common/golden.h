#pragma once

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace cornelhill {

// Returns the content of a file, or an empty string if it cannot be read.
inline std::string ReadFile(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

// Fails the test if the golden file at `path` differs from `actual`. Reports
// the first line that differs and writes `actual` to out/actual/PATH.
inline void ExpectGoldenFile(const std::string& path,
                             const std::string& actual) {
  const std::string expected = ReadFile(path);
  if (expected == actual) return;
  const std::filesystem::path copy = "out/actual/" + path;
  std::filesystem::create_directories(copy.parent_path());
  std::ofstream(copy, std::ios::binary) << actual;
  std::istringstream expected_lines(expected);
  std::istringstream actual_lines(actual);
  std::string expected_line;
  std::string actual_line;
  int line = 0;
  do {
    ++line;
    expected_line.clear();
    actual_line.clear();
    std::getline(expected_lines, expected_line);
    std::getline(actual_lines, actual_line);
  } while (expected_line == actual_line && (expected_lines || actual_lines));
  cr_expect_fail("%s:%d: actual \"%s\", expected \"%s\"; full output in %s",
                 path.c_str(), line, actual_line.c_str(), expected_line.c_str(),
                 copy.c_str());
}

}  // namespace cornelhill
