#!/usr/bin/env bash
# Writes the tables of docs/CAPACITY.md between its markers from measured
# values, so that the page cannot drift from the benches.
#
# capacity.sh                  take the values of bench/out/*.txt, keep those
#                              used in docs/measurements.txt, write the page
# capacity.sh --from-page-data use the committed docs/measurements.txt
# capacity.sh --check          the same, change nothing; 1 if the page differs
#
# A bench line that is missing is printed as "not measured".
set -euo pipefail
cd "$(dirname "$0")/.."
PAGE=docs/CAPACITY.md
DATA=docs/measurements.txt
mode=${1:---from-benches}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# bench_values: every line name=value of bench/out as BENCH/name=value
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

# Replaces what stands between "<!-- table NAME -->" and "<!-- end -->".
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
