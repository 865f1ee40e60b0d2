#!/usr/bin/env bash
# run-case.sh FOLDER: runs the case in that folder. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case couldn't run.
set -uo pipefail
folder=$(cd "$1" && pwd)
REPO=$(cd "$folder/../.." && pwd)
program="$REPO/review/standin-2/bin/case-$(basename "$folder")"
RECORD="$folder/record.txt"
WORK=$(mktemp -d)
export REPO RECORD WORK
if [ ! -x "$program" ] ||
    [ ! -x "$REPO/target/packages/agatecrankd/agatecrankd" ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh" |
        tee "$RECORD"
    rm -rf "$WORK"
    exit 2
fi
timeout -s TERM 115 "$program"
code=$?
# The program ends its hosts itself unless it was ended.
for pid in $(cat "$WORK"/*.pid 2>/dev/null); do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
done
if [ "${KEEP_WORK:-0}" = 1 ]; then
    echo "logs: $WORK"
else
    rm -rf "$WORK"
fi
tail -n 3 "$RECORD"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
