#!/usr/bin/env bash
# Runs all tests of a build folder and prints the totals in the last line. Tests
# named in KNOWN-RED.txt (lines "test: NAME") may fail; they are printed.
#
# test.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
log=$build/ctest.log
ctest --test-dir "$build" -j "${JOBS:-$(nproc)}" --output-on-failure --timeout 300 2>&1 | tee "$log"
failed=$(sed -n 's/^[ \t]*[0-9]* - \([^ ]*\) (.*$/\1/p' "$log")
total=$(sed -n 's/.* tests failed out of \([0-9]*\).*/\1/p' "$log")
[ -n "$total" ] && [ "$total" -gt 0 ] || { echo "ctest ran no test"; exit 1; }
bad=0
red=0
for name in $failed; do
    if printf '%s\n' "$known" | grep -qxF "$name"; then
        echo "known red: $name"
        red=$((red + 1))
    else
        bad=$((bad + 1))
    fi
done
echo "$((total - bad - red)) passed, $bad failed, $red skipped"
[ "$bad" -eq 0 ]
