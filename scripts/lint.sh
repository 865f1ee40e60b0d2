#!/usr/bin/env bash
# Runs cppcheck on all C sources; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/cppcheck
includes=()
for d in packages/*/ packages/core/*/ platform tests/support standins standins/rules; do
    [ -d "$d" ] && includes+=(-I "$d")
done
exec cppcheck --quiet --std=c11 --enable=warning,performance,portability \
    --error-exitcode=1 --inline-suppr --cppcheck-build-dir=build/cppcheck \
    --suppress=missingInclude --suppress='*:*.pb-c.*' --library=gtk \
    -j "$(nproc)" "${includes[@]}" packages platform standins tests bench
