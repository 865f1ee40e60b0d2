#!/usr/bin/env bash
# Measures the cost of the log lines of one gateway host: processor time per
# request and log lines per second, with the default rate limit, without a
# limit, without log lines for requests, and with the default limit under ten
# times the load. Prints name=value lines.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/gateway.sh
BIN=$(realpath "$1")
RATE=${RATE:-100}
SECONDS_EACH=${SECONDS_EACH:-8}
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
IP=$(loopback_address 0)

# ticks PID: prints the processor time of a process in units of 10 ms
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# measure NAME RATE LOGGING: measures one host under load; LOGGING is the TOML
# text of its [logging] section
measure() {
    local name=$1 rate=$2 logging=$3 platform host before after sent lines
    "$BIN/standins/standin-platform" --seed 1 --hosts "$IP:8080" --upstreams 20 --rate "$rate" \
        --start-ms 1500 --load-ms $((SECONDS_EACH * 1000)) --rest-ms 500 --served-least 0 \
        >"$WORK/$name.platform" 2>&1 &
    platform=$!
    {
        gateway_settings 0 "$(store_ports "$WORK/$name.platform")"
        printf '[logging]\n%s\n' "$logging"
    } >"$WORK/host.toml"
    "$BIN/packages/agatecrankd/agatecrankd" --config "$WORK/host.toml" >"$WORK/$name.log" 2>&1 &
    host=$!
    sleep 1.4
    before=$(ticks $host)
    wait $platform
    after=$(ticks $host)
    kill $host && wait $host 2>/dev/null
    sent=$(sed -n 's/^sent=//p' "$WORK/$name.platform")
    lines=$(grep -cE 'event=(route|attempt|refuse|caller-gone) ' "$WORK/$name.log")
    echo "gateway_log_${name}_rate_per_s=$rate"
    echo "gateway_log_${name}_cpu_us_per_request=$(awk -v t=$((after - before)) -v n="$sent" \
        'BEGIN {printf "%.1f", t * 10000 / n}')"
    echo "gateway_log_${name}_lines_per_s=$(awk -v l="$lines" -v s="$SECONDS_EACH" \
        'BEGIN {printf "%.1f", l / s}')"
    echo "gateway_log_${name}_dropped=$(grep -oE 'dropped=[0-9]+' "$WORK/$name.log" |
        awk -F= '{n += $2} END {print n + 0}')"
}

measure bounded "$RATE" ''
measure all "$RATE" 'decision_lines_per_s = 1000000'
measure none "$RATE" 'level = "warn"'
measure tenfold $((RATE * 10)) ''
