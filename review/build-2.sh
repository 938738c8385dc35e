#!/usr/bin/env bash
# Builds the cases of the second review, with their stand-ins, into target/review-2. Needs the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
standins=(tests/standins/replica_standin.cpp tests/standins/store_standin.cpp
  tests/failures/child_process.cpp review/harness-2/fleet.cpp)
libraries=(entry traffic mirror admission net wire routing membership http1 timeline base)
archives=()
for it in "${libraries[@]}"; do
  found=$(find target/src -name "libendivelatch_$it.a")
  archives+=("$found")
done
flags=(-std=c++20 -O2 -Wall -Wextra -Iinclude -Itests -Isrc)
objects=()
for it in "${standins[@]}"; do
  object="$out/$(basename "$it" .cpp).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$it" -o "$object" &
done
wait
for it in review/[0-9]*/program.cpp; do
  number=$(basename "$(dirname "$it")")
  g++ "${flags[@]}" "$it" "${objects[@]}" -Wl,--start-group "${archives[@]}" -Wl,--end-group \
    -lev -lhttp_parser -lspdlog -lfmt -lpthread -lcrypto -o "$out/case-$number" &
done
wait
