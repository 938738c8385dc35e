#!/usr/bin/env bash
# Runs a case: the number of its folder. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=review/$1
program=target/review/case-$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
if [ ! -x "$program" ] || [ ! -x target/endivelatch ]; then
  echo "not built" >"$folder/record.txt"
  exit 2
fi
timeout -k 5 115 "$program" target/endivelatch "$work" "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
