#!/usr/bin/env bash
# Runs case 1. TROUBLE=0 leaves out the disruption; the case reads the variable itself.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../harness/run.sh" 1
