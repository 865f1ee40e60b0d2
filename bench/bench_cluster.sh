#!/usr/bin/env bash
# Measures 20 balancer hosts, run as processes on loopback: the time until a
# publication is in force on all of them, the time until a started host is
# ready, a rolling restart of all hosts under load, and the appends to the log.
# Prints name=value lines.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$(realpath "$1")"
COUNT=${COUNT:-20}
CHANGES=${CHANGES:-40}
fail() { echo "bench failed: $*" >&2; exit 1; }
names() { seq -f 'host-%g' "$COUNT"; }

# micros: prints the times of the log lines on standard input in microseconds
# since 1970
micros() {
    sed -n 's/^time=\([^ ]*\) .*/\1/p' | while read -r t; do date -u -d "$t" +%s%6N; done
}

# quantile FILE Q: prints the quantile Q, from 0 to 1, of a column of numbers
quantile() { sort -n "$1" | awk -v q="$2" '{v[NR]=$1} END {i=int(q*NR+0.999999); if (i<1) i=1; print v[i]}'; }

# log_appends: prints the number of appends that the log service counts
log_appends() {
    http_get "$LOG_PORT" /control | tr -d ' \r' | grep -oE '"appends":[0-9]+' | head -1 | cut -d: -f2
}

start_platform || fail "cannot start the log service and the host list"
operator_settings amina || fail "cannot create the operator's key"
add_upstreams desk claims-desk 20 "lac-a charguia-b ariana-c megrine-d" \
    --slots 6 --queue 12 --service-ms 5 || fail "cannot start the upstreams"
domains=(lac-a charguia-b ariana-c megrine-d)
i=0
for n in $(names); do
    start_host "$n" "${domains[$((i++ % 4))]}" || fail "cannot start $n"
done
publish_hosts
first_configuration >"$WORK/first.toml"
publish() { timeout 20 "$BIN/packages/agatecrank/agatecrank" publish -c "$WORK/amina.toml" "$1" >"$WORK/publish.txt" 2>&1; }
publish "$WORK/first.toml" || fail "cannot publish the first configuration: $(cat "$WORK/publish.txt")"
for n in $(names); do wait_http "$(admin_port "$n")" /readyz || fail "$n is not ready"; done

# Time between the first and the last host that logs config-applied, for each
# record.
for c in $(seq "$CHANGES"); do
    printf '[line.member-b]\nweight = %d\n' $((c + 1)) >"$WORK/change.toml"
    publish "$WORK/change.toml" || fail "cannot publish change $c: $(cat "$WORK/publish.txt")"
done
sleep 1
grep -h 'event=config-applied' "$WORK"/host-*.err | sed -n 's/^time=\([^ ]*\) .*offset=\([0-9]*\) .*/\2 \1/p' |
    while read -r offset t; do echo "$offset $(date -u -d "$t" +%s%6N)"; done |
    awk '{if (!($1 in first) || $2 < first[$1]) first[$1] = $2; if ($2 > last[$1]) last[$1] = $2; hosts[$1]++}
         END {for (o in first) if (o > 1) print last[o] - first[o], hosts[o]}' >"$WORK/delays"
awk '{print $1}' "$WORK/delays" >"$WORK/delays.us"
echo "cluster_hosts=$COUNT"
echo "cluster_changes=$(wc -l <"$WORK/delays")"
echo "cluster_change_on_all_hosts=$(awk -v c="$COUNT" '$2 == c {n++} END {print n + 0}' "$WORK/delays")"
echo "cluster_change_first_to_last_p50_us=$(quantile "$WORK/delays.us" 0.5)"
echo "cluster_change_first_to_last_p99_us=$(quantile "$WORK/delays.us" 0.99)"
echo "cluster_change_p99_us_bound=1000000"

before=$(log_appends)
sleep 10
echo "cluster_idle_appends_per_s=$(awk -v a="$before" -v b="$(log_appends)" 'BEGIN {print (b - a) / 10}')"
echo "cluster_idle_appends_per_s_bound=5"

# ready_us NAME: prints the time from started to ready of the last start of a
# host
ready_us() {
    local started ready
    started=$(grep 'event=started' "$WORK/$1.err" | tail -1 | micros)
    ready=$(grep 'event=ready' "$WORK/$1.err" | tail -1 | micros)
    echo $((ready - started))
}

# fixed_ports NAME: makes a host listen on the same ports after a restart
fixed_ports() {
    local caller admin peer
    read -r caller admin peer <"$WORK/$1.ports"
    sed -i -e "s/^caller_port = .*/caller_port = $caller/" -e "s/^admin_port = .*/admin_port = $admin/" \
        -e "s/^peer_port = .*/peer_port = $peer/" "$WORK/$1.toml"
}

# restart NAME: stops a host with SIGTERM, starts it and waits until it is ready
restart() {
    kill -TERM "$(cat "$WORK/$1.pid")"
    wait "$(cat "$WORK/$1.pid")" || echo "cluster_restart_exit_code_of_$1=$?"
    start "$1" "$BIN/packages/agatecrankd/agatecrankd" --config "$WORK/$1.toml"
    wait_http "$(admin_port "$1")" /readyz || fail "$1 is not ready after its restart"
}

targets=$(for n in $(names); do printf '127.0.0.1:%s,' "$(caller_port "$n")"; done)
start callers timeout 300 "$BIN/standins/standin-caller" --targets "${targets%,}" --service claims-desk \
    --token demo-token-a --path /policy/42 --methods GET:90,POST:10 --key-share 1 --rate 500 \
    --duration-s $((COUNT * 5 / 2 + 5)) --answer-bytes 1000 --body-bytes 200 --deadline-ms 2000 \
    --resend key --resend-max 6 --resend-delay-ms 200 --seed 31 --journal "$WORK/callers.journal"
before=$(log_appends)
began=$(date +%s)
for n in $(names); do
    fixed_ports "$n"
    restart "$n"
    ready_us "$n" >>"$WORK/ready.us"
done
echo "cluster_rolling_restart_s=$(($(date +%s) - began))"
echo "cluster_busy_appends_per_s=$(awk -v a="$before" -v b="$(log_appends)" -v t=$(($(date +%s) - began)) 'BEGIN {print (b - a) / t}')"
echo "cluster_busy_appends_per_s_bound=100"
wait "$(cat "$WORK/callers.pid")" || echo "cluster_callers_failed=$(tail -3 "$WORK/callers.err" | tr '\n' ' ')"
timeout 60 "$BIN/standins/standin-check" --upstream "$WORK/desk.journal" --caller "$WORK/callers.journal" >"$WORK/check.txt"
for key in sent ok wrong incomplete lost; do
    echo "cluster_rolling_$key=$(value "$WORK/callers.out" $key)"
done
echo "cluster_rolling_violations=$(value "$WORK/check.txt" violations)"
echo "cluster_ready_log_up_p50_us=$(quantile "$WORK/ready.us" 0.5)"
echo "cluster_ready_log_up_max_us=$(quantile "$WORK/ready.us" 1)"
echo "cluster_ready_log_up_us_bound=2000000"

http_post "$LOG_PORT" /control '{"down":"503"}' >/dev/null
restart host-1
echo "cluster_ready_log_down_us=$(ready_us host-1)"
echo "cluster_ready_log_down_us_bound=3000000"
http_post "$LOG_PORT" /control '{"down":"no"}' >/dev/null
