#!/usr/bin/env bash
# Guards against a host that blocks on writing its log. If the reader of its
# standard output stops reading, the host must drop log lines and count them, and
# must not lose requests.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/gateway.sh
BIN=$(realpath "$1")
work=$(mktemp -d)
ip=$(loopback_address 0)
trap 'kill "$reader" "$host" "$platform" 2>/dev/null; rm -rf "$work"' EXIT

fail() { echo "not ok: $*"; exit 1; }

# lost_lines: prints the number of lost log lines that the host counts
lost_lines() {
    exec 9<>"/dev/tcp/$ip/8082" || return
    printf 'GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' >&9
    tr -d '\r' <&9 | sed -n 's/^agatecrank_log_lines_lost{} //p'
    exec 9<&-
}

mkfifo "$work/lines"
sleep 100 <"$work/lines" &
reader=$!
"$BIN/standins/standin-platform" --seed 1 --hosts "$ip:8080" --upstreams 20 --rate 300 \
    --start-ms 1500 --load-ms 4000 --rest-ms 1000 --served-least 0.95 >"$work/platform" 2>&1 &
platform=$!
{
    gateway_settings 0 "$(store_ports "$work/platform")"
    printf '[logging]\ndecision_lines_per_s = 1000000\n'
} >"$work/host.toml"
"$BIN/packages/agatecrankd/agatecrankd" --config "$work/host.toml" >"$work/lines" 2>"$work/errors" &
host=$!
for _ in $(seq 600); do
    grep -q '^faults=over' "$work/platform" && break
    lost=$(lost_lines 2>/dev/null)
    sleep 0.1
done
wait "$platform" || fail "calls were not served: $(cat "$work/platform" "$work/errors")"
[ "${lost:-0}" -gt 0 ] || fail "the host counted no lost log line although the reader did not read"
echo "ok: $lost log lines lost, $(grep -E '^served_at_rest=' "$work/platform")"
kill "$host"
wait "$host" || fail "the host exited with code $? after SIGTERM"
