#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into review/standin-3/bin.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p bin
for case in crash_in_roll move_in_burst; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread world.cc "$case.cc" -o "bin/$case"
done
