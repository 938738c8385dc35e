#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] && [ -x target/endivelatch ] || exit 2
timeout -s KILL 118 target/review-2/case-9 review/9/record.txt
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
