#!/usr/bin/env bash
# Runs all benches; writes name=value lines and plots to bench/out.
#
# bench.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
mkdir -p bench/out
status=0
for program in "$build"/bench/bench_*; do
    [ -x "$program" ] && [ -f "$program" ] || continue
    name=$(basename "$program")
    echo "== $name"
    "$program" | tee "bench/out/$name.txt" || status=1
done
for script in bench/bench_*.sh; do
    name=$(basename "$script" .sh)
    echo "== $name"
    bash "$script" "$build" | tee "bench/out/$name.txt" || status=1
done
for plot in bench/*.gnuplot; do
    [ -f "$plot" ] && (cd bench/out && gnuplot "../$(basename "$plot")") || true
done
exit $status
