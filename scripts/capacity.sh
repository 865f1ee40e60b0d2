#!/usr/bin/env bash
# Computes the tables of docs/CAPACITY.md from measured values and writes them
# between the markers of the page, so that it always agrees with the benches.
#
# capacity.sh                  reads the values of bench/out/*.txt, stores those
#                              that are used in docs/measurements.txt and writes
#                              the page
# capacity.sh --from-page-data writes the page from docs/measurements.txt
# capacity.sh --check          compares the page with docs/measurements.txt;
#                              changes nothing and returns 1 if the page differs
#
# A row with a missing value is printed as "not measured".
set -euo pipefail
cd "$(dirname "$0")/.."
PAGE=docs/CAPACITY.md
DATA=docs/measurements.txt
mode=${1:---from-benches}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# bench_values: prints all name=value lines of bench/out as BENCH/name=value
bench_values() {
    local file bench
    for file in bench/out/bench_*.txt; do
        [ -f "$file" ] || continue
        bench=$(basename "$file" .txt)
        { grep -E '^[A-Za-z0-9_.]+=[^ ]*$' "$file" || true; } | sed "s|^|$bench/|"
    done
}

case $mode in
--from-benches) bench_values >"$scratch/values" ;;
--from-page-data | --check) cp "$DATA" "$scratch/values" ;;
*) echo "usage: capacity.sh [--from-page-data | --check]" >&2; exit 2 ;;
esac

awk -F= -v tables="$scratch" -f scripts/capacity.awk "$scratch/values"

# Replaces the text between "<!-- table NAME -->" and "<!-- end -->".
awk -v tables="$scratch" '
    /^<!-- table [a-z]+ -->$/ {
        print
        file = tables "/" $3 ".table"
        while ((getline line < file) > 0) print line
        skip = 1
        next
    }
    /^<!-- end -->$/ {skip = 0}
    !skip {print}' "$PAGE" >"$scratch/page"

if [ "$mode" = --check ]; then
    diff -u "$PAGE" "$scratch/page"
    exit
fi
cp "$scratch/page" "$PAGE"
[ "$mode" != --from-benches ] || LC_ALL=C sort -u "$scratch/used" >"$DATA"
