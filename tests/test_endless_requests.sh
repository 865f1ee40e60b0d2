#!/usr/bin/env bash
# Guards against a body without end that the ports for other hosts, readiness and
# metrics read as long as it lasts.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/gateway.sh
BIN=$(realpath "$1")
# Longer than a host reads on after its response.
SEND_TIME_S=10
work=$(mktemp -d)
failed=0
ip=$(loopback_address 0)
trap 'kill "$host" "$platform" 2>/dev/null; rm -rf "$work"' EXIT

fail() { echo "not ok: $*"; exit 1; }

# get PORT PATH: prints the status line
get() {
    exec 9<>"/dev/tcp/$ip/$1" || return
    printf 'GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' "$2" >&9
    head -n 1 <&9
    exec 9<&-
}

# send_endless PORT LINE: sends a request whose body does not end, until the
# connection is closed; fails with 124 if it is not
send_endless() {
    timeout "$SEND_TIME_S" bash -c 'exec 9<>"/dev/tcp/$0/$1" || exit 3
        printf "%s HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000000\r\n\r\n" "$2" >&9
        while head -c 16384 /dev/zero >&9; do sleep 0.01; done' "$ip" "$1" "$2" 2>/dev/null
}

"$BIN/standins/standin-platform" --seed 1 --hosts "$ip:8080" --upstreams 4 --rate 10 \
    --start-ms 1000 --load-ms 60000 >"$work/platform" 2>&1 &
platform=$!
gateway_settings 0 "$(store_ports "$work/platform")" >"$work/host.toml"
"$BIN/packages/agatecrankd/agatecrankd" --config "$work/host.toml" >"$work/log" 2>&1 &
host=$!
for _ in $(seq 300); do
    get 8081 / 2>/dev/null | grep -q 200 && break
    sleep 0.1
done
while read -r port line; do
    send_endless "$port" "$line"
    case $? in
    3) fail "port $port does not listen" ;;
    124) echo "not ok: port $port still reads $line after $SEND_TIME_S s"; failed=1 ;;
    *) echo "ok: port $port closed after $line" ;;
    esac
    get 8082 /metrics | grep -q 200 || fail "no metrics after $line at port $port"
done <<'REQUESTS'
8081 GET /
8082 GET /metrics
8083 POST /register?host=x
8083 GET /newest?topic=keyed.op
8084 POST /once/1
REQUESTS
[ "$failed" = 0 ] || exit 1
kill "$host"
wait "$host" || fail "the host exited with code $? after SIGTERM"
