#pragma once

#include <string>

namespace cornelhill {

// Returns the content of a file of the repository, or an empty string.
std::string ReadFile(const std::string& path);

// Fails the test where the file at `path` differs from `actual`, names the
// first line that differs and leaves `actual` at out/actual/PATH.
void ExpectFile(const std::string& path, const std::string& actual);

}  // namespace cornelhill
