#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 in target/review-3/, each with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for it in review/1[1-5]/scenario.cpp; do
  [ -f "$it" ] || continue
  case=$(basename "$(dirname "$it")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case-$case" "$it" review/harness-3/*.cpp
done
