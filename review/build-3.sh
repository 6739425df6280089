#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/review-3. They need
# the C++ library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in crash_in_roll move_in_burst; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standin-3 \
    review/standin-3/world.cpp "review/standin-3/$case.cpp" \
    -o "target/review-3/$case"
done
