#!/usr/bin/env bash
# Builds the stand-ins and cases of the review under target/review, after the build of the deploy
# file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
libraries=(
  target/src/entry/libendivelatch_entry.a target/src/traffic/libendivelatch_traffic.a
  target/src/net/libendivelatch_net.a target/src/http1/libendivelatch_http1.a
  target/src/base/libendivelatch_base.a
)
flags=(-std=c++20 -O1 -Wall -Wextra -Iinclude)
g++ "${flags[@]}" -c review/harness/fleet.cpp -o "$out/fleet.o"
g++ "${flags[@]}" -c review/harness/process.cpp -o "$out/process.o"
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/fleet.o" "$out/process.o" "${libraries[@]}" \
    -lev -lhttp_parser -o "$out/case-$name"
done
