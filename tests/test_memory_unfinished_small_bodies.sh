#!/usr/bin/env bash
# Guards against small bodies that stand still and keep all larger ones out.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd unfinished 900 28000
for _ in $(seq "$ORDINARY_TRIES"); do
    timeout 30 "$BIN/standins/standin-crowd" --target "$TARGET" --kind whole --bytes 200000 \
        --connections 1 --wait 1 >>"$WORK/ordinary.out" 2>&1 && exit 0
    sleep 0.3
done
fail "a body of 200 kB is not served"
