#!/usr/bin/env bash
# Measures one balancer host without traffic, with the host lists and service
# tables of deployments of several sizes: resident memory, processor time and
# size of the host list. scripts/capacity.sh computes slopes from the results.
# Prints name=value lines.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$(realpath "$1")"
AGATECRANK=$BIN/packages/agatecrank/agatecrank
IDLE_S=10
fail() { echo "bench failed: $*" >&2; exit 1; }

# cpu_ticks NAME: prints the processor time of a process in units of 10 ms
cpu_ticks() { awk '{print $14 + $15}' "/proc/$(cat "$WORK/$1.pid")/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$(cat "$WORK/$1.pid")/status"; }
stop() { kill "$(cat "$WORK/$1.pid")"; wait "$(cat "$WORK/$1.pid")" 2>/dev/null; }

# services FROM TO: prints a configuration of services without probes, so that
# the measurement has no probe traffic
services() { seq "$1" "$2" | awk '{printf "[service.s%d]\nprobe_requests_per_s = 0\n", $1}'; }

# list UPSTREAMS SERVICES: prints a host list of upstreams in 13 failure domains
list() {
    awk -v n="$1" -v services="$2" 'BEGIN {
        printf "{\"hosts\":["
        for (i = 0; i < n; i++)
            printf "%s{\"id\":\"u-%d\",\"role\":\"upstream\",\"address\":\"127.0.0.1\",\"port\":9,\"service\":\"s%d\",\"domain\":\"d%d\",\"state\":\"live\",\"labels\":{\"pool\":\"main\"}}", (i ? "," : ""), i, i % services + 1, i % 13
        print "]}"}'
}

# measure UPSTREAMS SERVICES INTERVAL_MS: starts a host that reads the host list
# at this interval, and measures it
measure() {
    local name=u$1-i$3 size=$1 interval=$3 port before
    list "$size" "$2" >"$WORK/$name.json"
    start "list-$name" "$BIN/standins/standin-hostlist" --port 0 --file "$WORK/$name.json"
    port=$(wait_port "list-$name") || fail "cannot start the host list"
    LIST_PORT=$port start_host "$name" d0 || fail "cannot start $name"
    stop "$name"
    sed -i "s/^interval_ms = .*/interval_ms = $interval/" "$WORK/$name.toml"
    start "$name" "$BIN/packages/agatecrankd/agatecrankd" --config "$WORK/$name.toml"
    sleep 5
    grep -q event=ready "$WORK/$name.err" || fail "$name is not ready"
    before=$(cpu_ticks "$name")
    sleep "$IDLE_S"
    echo "slopes_cpu_share_${size}_upstreams_interval_${interval}_ms=$(awk -v t=$(($(cpu_ticks "$name") - before)) \
        -v s="$IDLE_S" 'BEGIN {printf "%.4f", t / 100 / s}')"
    echo "slopes_resident_kb_${size}_upstreams_interval_${interval}_ms=$(resident_kb "$name")"
    echo "slopes_host_list_bytes_${size}_upstreams=$(http_get "$port" /hosts | wc -c)"
    stop "$name"
    stop "list-$name"
}

start_platform || fail "cannot start the log service and the host list"
operator_settings amina || fail "cannot create the operator's key"
printf '[operator.amina]\npublic_key = "%s"\nlines = ["*"]\n' "$PUBLIC_KEY" >"$WORK/c0.toml"
services 1 550 >"$WORK/c1.toml"
services 551 1100 >"$WORK/c2.toml"
for n in 0 1 2; do
    "$AGATECRANK" publish -c "$WORK/amina.toml" "$WORK/c$n.toml" >/dev/null 2>&1 || fail "cannot publish c$n.toml"
done
echo "slopes_idle_s=$IDLE_S"
echo "slopes_services=1100"
measure 35 2 1000
measure 1700 1100 1000
measure 17000 1100 1000
measure 17000 1100 10000
