#!/usr/bin/env bash
# Guards against a host that counts less than what the fields of header blocks take.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd fields 250 16000
