#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -pthread -c review/standin-2/world.cpp \
  -o target/review-2/world.o
for source in review/*/scenario.cpp; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -g -pthread "$source" target/review-2/world.o \
    -o "target/review-2/case-$number"
done
