#!/usr/bin/env bash
# Guards against a host that keeps what follows open requests also without room for it.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd pipelined 2500 250000 --seconds 8
