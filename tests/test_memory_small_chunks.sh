#!/usr/bin/env bash
# Guards against a host that exceeds its memory by many bodies in chunks of one byte.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd small-chunks 96 1048576
