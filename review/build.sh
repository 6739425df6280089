#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  name=$(basename "$source" .cpp)
  [[ $name == harness ]] && continue
  sources=("$source")
  [[ $name == server ]] || sources+=(review/standin/harness.cpp)
  rm -f "target/review/$name"
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review/$name" \
    "${sources[@]}"
done
