#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
program=target/review-3/case-13
[ -x "$program" ] && [ -x target/endivelatch ] || exit 2
timeout 110 "$program"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
