#pragma once

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace cornelhill::fake {

// Returns whether `text` equals the file tests/control/golden/NAME. If
// CORNELHILL_UPDATE_GOLDEN is set, writes the file instead and returns true.
inline bool MatchesGolden(const std::string& name, const std::string& text) {
  const std::string path = "tests/control/golden/" + name;
  if (std::getenv("CORNELHILL_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
    return true;
  }
  std::ifstream file(path);
  const std::string want((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  if (want == text) return true;
  std::cerr << path << " differs from:\n" << text;
  return false;
}

}  // namespace cornelhill::fake
