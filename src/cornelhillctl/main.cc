#include <iostream>
#include <string>
#include <vector>

#include "cornelhill/ctl/subcommand.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(
      cornelhill::RunTool(arguments, std::cin, std::cout, std::cerr));
}
