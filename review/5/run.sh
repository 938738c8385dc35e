#!/usr/bin/env bash
exec "$(dirname "$0")/../harness/run.sh" 5
