#!/usr/bin/env bash
# Measures one balancer host on loopback: the latency that it adds to direct
# calls of the same upstreams, processor time per request, memory, and the cost
# of decision log lines. Prints name=value lines.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$(realpath "$1")"
RATE=${RATE:-1000}
SECONDS_EACH=${SECONDS_EACH:-6}
fail() { echo "bench failed: $*" >&2; exit 1; }

# load NAME TARGETS OPTIONS...: runs callers and waits until they end
load() {
    local name=$1 targets=$2
    shift 2
    "$BIN/standins/standin-caller" --targets "$targets" --service claims-desk \
        --token demo-token-a --path /policy/42 --rate "$RATE" \
        --duration-s "$SECONDS_EACH" --answer-bytes 1000 --deadline-ms 2000 \
        --seed 21 "$@" >"$WORK/$name.txt" 2>"$WORK/$name.caller.err" ||
        fail "callers of the run $name failed: $(cat "$WORK/$name.txt" "$WORK/$name.caller.err")"
}

# cpu_ticks NAME: prints the processor time of a process in units of 10 ms
cpu_ticks() { awk '{print $14 + $15}' "/proc/$(cat "$WORK/$1.pid")/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$(cat "$WORK/$1.pid")/status"; }
ratio() { awk -v a="$1" -v b="$2" 'BEGIN {printf "%.3f", (b > 0 ? a / b : 0)}'; }

start_platform || fail "cannot start the log service and the host list"
operator_settings amina || fail "cannot create the operator's key"
add_upstreams desk claims-desk 20 "lac-a charguia-b ariana-c megrine-d" \
    --slots 6 --queue 12 --service-ms 5 --service fixed || fail "cannot start the upstreams"
start_host quiet lac-a $'[logging]\ndecision_lines_per_s = 1' || fail "cannot start the host quiet"
start_host logged lac-a $'[logging]\ndecision_lines_per_s = 0' || fail "cannot start the host logged"
publish_hosts
first_configuration >"$WORK/first.toml"
"$BIN/packages/agatecrank/agatecrank" publish -c "$WORK/amina.toml" "$WORK/first.toml" \
    >/dev/null 2>&1 || fail "cannot publish the first configuration"
for host in quiet logged; do wait_http "$(admin_port $host)" /readyz || fail "$host is not ready"; done

upstreams=$(sed -n 's/^port=\([0-9]*\) .*/127.0.0.1:\1/p' "$WORK/desk.out" | paste -sd,)
load direct "$upstreams"
for host in quiet logged; do
    before=$(cpu_ticks $host)
    load $host "127.0.0.1:$(caller_port $host)"
    after=$(cpu_ticks $host)
    sent=$(value "$WORK/$host.txt" sent)
    echo "host_${host}_cpu_us_per_request=$(awk -v t=$((after - before)) -v n="$sent" \
        'BEGIN {printf "%.1f", t * 10000 / n}')" | tee -a "$WORK/figures"
    echo "host_${host}_resident_kb=$(resident_kb $host)"
done
for name in direct quiet logged; do
    for q in p50 p99; do
        echo "host_${name}_${q}_us=$(value "$WORK/$name.txt" ${q}_us)"
    done
done
direct=$(value "$WORK/direct.txt" p99_us)
quiet=$(value "$WORK/quiet.txt" p99_us)
logged=$(value "$WORK/logged.txt" p99_us)
echo "host_rate_per_s=$RATE"
echo "host_added_p50_us=$(($(value "$WORK/quiet.txt" p50_us) - $(value "$WORK/direct.txt" p50_us)))"
echo "host_added_p99_us=$((quiet - direct))"
echo "host_added_p99_us_bound=1300"
echo "host_added_p99_us_met=$([ $((quiet - direct)) -le 1300 ] && echo yes || echo no)"
echo "host_p99_ratio=$(ratio "$quiet" "$direct")"
echo "host_decision_log_p99_ratio=$(ratio "$logged" "$quiet")"

# A POST with a key waits until its claim is in the log. The log service is on
# loopback, so its network latency is not included.
load keyed "127.0.0.1:$(caller_port quiet)" --methods POST:100 --key-share 1 --body-bytes 200
echo "host_keyed_p50_us=$(value "$WORK/keyed.txt" p50_us)"
echo "host_keyed_p99_us=$(value "$WORK/keyed.txt" p99_us)"
appends=$(http_get "$LOG_PORT" /control | tr -d ' ' | grep -oE '"appends":[0-9]+' | cut -d: -f2)
echo "host_log_appends=$appends"

# Requests per second that one core can serve, and memory of 1,000 open
# connections.
cpu=$(sed -n 's/^host_quiet_cpu_us_per_request=//p' "$WORK/figures")
echo "host_requests_per_s_per_core=$(awk -v c="$cpu" 'BEGIN {printf "%d", 1000000 / c}')"
ulimit -n 4096
before=$(resident_kb quiet)
fds=()
for _ in $(seq 1000); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$(caller_port quiet)" && fds+=("$fd")
done
sleep 1
echo "host_kb_per_1000_connections=$(($(resident_kb quiet) - before))"
for fd in "${fds[@]}"; do exec {fd}>&-; done

# Processor time of a host without requests.
for host in quiet logged; do
    before=$(cpu_ticks $host)
    sleep 5
    after=$(cpu_ticks $host)
    echo "host_${host}_idle_core_share=$(awk -v t=$((after - before)) 'BEGIN {printf "%.4f", t / 500}')"
done
echo "host_idle_core_share_bound=0.01"
