#!/usr/bin/env bash
# Guards against connections that always have a request open and keep others out.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
DESCRIPTORS_MAX=1024
MEMORY_MB=1000
ORDINARY_TRIES=2
start_deployment "$1"
run_crowd pipelined 1200 250000000 --reconnect 1
