#!/usr/bin/env bash
# Tests of the agatecrank command on real processes: permissions of operators,
# results of publications, and drained upstreams. No check depends on timing.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$1"

fail() { echo "not ok: $*"; KEEP_WORK=1; exit 1; }

# cli OPERATOR ARGUMENTS...: runs agatecrank; sets $RC, output in $WORK/out
cli() {
    local name=$1
    shift
    AGATECRANK_CONFIG=$WORK/$name.toml timeout 30 \
        "$BIN/packages/agatecrank/agatecrank" "$@" >"$WORK/out" 2>"$WORK/cli.err"
    RC=$?
}

# expect CODE STEP: checks the exit code of the last cli call
expect() { [ "$RC" = "$1" ] || fail "$2: exit $RC, not $1: $(cat "$WORK/out" "$WORK/cli.err")"; }

control() { http_post "$LOG_PORT" /control "$1" | grep -q ' 200 ' || fail "the log service did not accept the settings $1"; }

# caught_up: waits until both hosts have read every record of the log
caught_up() {
    local next
    next=$(http_get "$LOG_PORT" "/streams/config?from=0&max=1" | tr -d '\r\0' |
        sed -n 's/^log-next: //p')
    # test_config_sync checks the time limit for this, with a simulated clock.
    for _ in $(seq 300); do
        cli amina status -o json
        jq -e --argjson next "$next" 'all(.items[]; .config_offset >= $next)' \
            "$WORK/out" >/dev/null && return
        sleep 0.1
    done
    fail "not all hosts have read the log up to offset $next: $(cat "$WORK/out")"
}

settings() {
    operator_settings "$1" || fail "cannot create the key of operator $1"
    host_addresses >>"$WORK/$1.toml"
}

host_addresses() {
    cat <<TOML
admin_urls = ["127.0.0.1:$(admin_port tunis-1)", "127.0.0.1:$(admin_port tunis-2)"]
timeout_ms = 8000
TOML
}

setup() {
    start_platform || fail "cannot start the log service and the host list"
    operator_settings amina || fail "cannot create the operator's key"
    add_upstreams desk claims-desk 4 "lac-a charguia-b" --seed 5 || fail "cannot start the upstreams"
    for n in 1 2; do start_host "tunis-$n" lac-a || fail "cannot start tunis-$n"; done
    publish_hosts
    first_configuration >"$WORK/first.toml"
    host_addresses >>"$WORK/amina.toml"
}

# Operator amina has all rights; salma has rights on line member-a only.
setup_operators() {
    settings salma
    cat >>"$WORK/first.toml" <<TOML
[operator.salma]
public_key = "$PUBLIC_KEY"
lines = ["member-a"]
[caller.counter-b]
line = "member-b"
token_sha256 = "$(token_hash demo-token-b)"
[selector.other]
line = "member-b"
service = "claims-desk"
TOML
    settings unlisted
    cli amina publish --id first "$WORK/first.toml"
    expect 0 "first publication"
    for n in 1 2; do
        wait_http "$(admin_port "tunis-$n")" /readyz || fail "tunis-$n is not ready"
    done
}

line_b() { cli amina "$1" -o json && jq -S '[.items[] | select(.name | test("b$|other|claims"))]' "$WORK/out"; }

state_of_b() { for kind in lines callers selectors services; do line_b $kind; done; }

# Guards against changes of line member-b by operators without rights on it.
unauthorized_changes() {
    local who document kind
    state_of_b >"$WORK/before"
    for who in unlisted salma; do
        for document in '[line.member-b]
weight = 1' '[caller.counter-b]
line = "member-a"
token_sha256 = "'"$(token_hash x)"'"' '[caller.new-b]
line = "member-b"
token_sha256 = "'"$(token_hash y)"'"' '[selector.other]
line = "member-b"
service = "claims-desk"
share = 1' 'delete = ["caller.counter-b"]' 'delete = ["selector.other"]' '[service.claims-desk]
slots = 1' '[operator.'$who']
public_key = "'"$BOOTSTRAP_KEY"'"
lines = ["*"]'; do
            echo "$document" >"$WORK/unauthorized.toml"
            cli "$who" publish "$WORK/unauthorized.toml"
            [ "$RC" = 2 ] || [ "$RC" = 3 ] || fail "$who publishes $document: exit $RC"
        done
        cli "$who" drain --service claims-desk desk-1
        [ "$RC" = 2 ] || [ "$RC" = 3 ] || fail "$who drains: exit $RC"
        cli "$who" quarantine release member-b 00000000000000000000000000000000
        expect 2 "$who releases"
        cli "$who" explain counter-b claims-desk
        expect 2 "$who explains"
        cli "$who" status --author amina first
        [ "$RC" = 2 ] || [ "$RC" = 3 ] || fail "$who reads a verdict: exit $RC"
        for kind in lines callers selectors; do
            cli "$who" $kind -o json
            grep -q 'member-b' "$WORK/out" && fail "$who sees member-b in $kind"
        done
    done
    state_of_b >"$WORK/after"
    [ -s "$WORK/before" ] && diff "$WORK/before" "$WORK/after" || fail "line member-b changed"
}

le64() { printf "$(printf '%016x' "$1" | sed 's/\(..\)/\1 /g' | tr ' ' '\n' | tac | sed '/./s/^/\\x/' | tr -d '\n')"; }

# append_signed OPERATOR ID BASE DOCUMENT: appends a signed record to the log
# directly, without the checks of the command
append_signed() {
    local text signature
    for text in "$2" "$1" "$3" "$4"; do
        le64 "${#text}"
        printf '%s' "$text"
    done >"$WORK/canonical"
    {
        printf '\x30\x2e\x02\x01\x00\x30\x05\x06\x03\x2b\x65\x70\x04\x22\x04\x20'
        base64 -d "$WORK/$1.key"
    } >"$WORK/$1.der"
    signature=$(openssl pkeyutl -sign -rawin -in "$WORK/canonical" -keyform DER \
        -inkey "$WORK/$1.der" | base64 -w0)
    jq -nc --arg i "$2" --arg a "$1" --argjson b "$3" --arg d "$4" --arg s "$signature" \
        '{v:1,id:$i,author:$a,base:$b,document:$d,signature:$s}' >"$WORK/record"
    http_post "$LOG_PORT" /streams/config "$(cat "$WORK/record")" | grep -q ' 200 ' || fail "cannot append record $2 to the log"
}

# Guards against unauthorized records that are appended without the checks of
# the command.
forged_records() {
    local who i=0 document
    # This record is allowed: it proves that append_signed signs correctly.
    append_signed salma direct-own 1 '[line.member-a]
weight = 40'
    caught_up
    cli salma status direct-own
    expect 0 "own change"
    for document in '[line.member-b]
weight = 1' 'delete = ["selector.other"]' '[caller.counter-b]
line = "member-a"
token_sha256 = "'"$(token_hash x)"'"' '[service.claims-desk]
slots = 1'; do
        i=$((i + 1))
        for who in salma unlisted; do append_signed $who direct-$i 2 "$document"; done
        caught_up
        cli salma status direct-$i
        expect 2 "salma publishes $document"
        grep -q denied "$WORK/out" || fail "the status of direct-$i is not denied: $(cat "$WORK/out")"
        cli amina status --author unlisted direct-$i
        expect 3 "record of an unlisted operator must not be kept"
    done
    local record='{"v":1,"id":"forged","author":"amina","base":1,"document":"[line.member-b]\nweight = 1\n","signature":"'$(head -c 64 /dev/zero | base64 -w0)'"}'
    http_post "$LOG_PORT" /streams/config "$record" | grep -q ' 200 ' || fail "cannot append the forged record to the log"
    caught_up
    cli amina status forged
    expect 3 "verdict on a forged record"
    state_of_b >"$WORK/after"
    diff "$WORK/before" "$WORK/after" || fail "line member-b changed"
}

weight() { printf '[line.member-a]\nweight = %d\n' "$1" >"$WORK/weight.toml"; }

# Guards against a wrong reason for a publication based on an old offset: the
# later of two concurrent publications must be rejected as stale.
stale_base() {
    local a b
    weight 41
    cli amina publish --id w41 "$WORK/weight.toml"
    expect 0 "accepted"
    grep -q '^accepted id=w41 ' "$WORK/out" || fail "w41 was not accepted: $(cat "$WORK/out")"
    weight 42
    cli amina publish --base 1 "$WORK/weight.toml"
    expect 2 "old base"
    grep -q stale "$WORK/cli.err" || fail "a publication on an old base was not rejected as stale: $(cat "$WORK/cli.err")"
    # Both commands must read the log before either appends. Retry, because a
    # slow machine may miss the window.
    control '{"delay_append_ms":2000}'
    for a in 43 45 47 49 51; do
        for b in $a $((a + 1)); do
            printf '[line.member-a]\nweight = %d\n' "$b" >"$WORK/w$b.toml"
            AGATECRANK_CONFIG=$WORK/amina.toml timeout 30 \
                "$BIN/packages/agatecrank/agatecrank" publish --id "race$b" "$WORK/w$b.toml" \
                >"$WORK/race.$b" 2>>"$WORK/cli.err" &
            eval "pid$((b - a))=$!"
        done
        wait "$pid0"
        wait "$pid1"
        grep -q 'reason=stale' "$WORK/race.$a" "$WORK/race.$((a + 1))" && break
    done
    control '{"delay_append_ms":0}'
    grep -hq 'reason=stale' "$WORK"/race.* || fail "no concurrent publication was rejected as stale: $(cat "$WORK"/race.*)"
    grep -hq '^accepted' "$WORK/race.$a" "$WORK/race.$((a + 1))" || fail "neither publication was accepted"
}

# Guards against a reported failure of a publication that the log has written.
lost_responses() {
    weight 44
    control '{"lose_next":1}'
    cli amina publish --id lost "$WORK/weight.toml"
    expect 0 "lost response"
    grep -q '^accepted id=lost ' "$WORK/out" || fail "no accepted line after a lost response: $(cat "$WORK/out")"
    sed -i 's/^timeout_ms.*/timeout_ms = 1500/' "$WORK/amina.toml"
    weight 45
    control '{"delay_append_ms":30000}'
    cli amina publish --id unanswered -o json "$WORK/weight.toml"
    control '{"delay_append_ms":0}'
    expect 3 "unanswered append"
    [ "$(jq -r .result "$WORK/out")" = not-known ] || fail "the result of an unanswered append is not not-known: $(cat "$WORK/out")"
    control '{"down":"silent"}'
    cli amina publish "$WORK/weight.toml"
    expect 4 "unresponsive log before the append"
    control '{"down":"no"}'
    sed -i 's/^timeout_ms.*/timeout_ms = 8000/' "$WORK/amina.toml"
    cli amina publish --id unanswered "$WORK/weight.toml"
    expect 0 "retry"
    cli amina history
    [ "$(grep -c ' lost ' "$WORK/out")" = 1 ] || fail "the history does not have publication lost once: $(cat "$WORK/out")"
}

# Guards against new requests to a drained upstream.
drained_upstream() {
    cli amina drain desk-1
    expect 0 "drain"
    caught_up
    cli amina upstreams -o json
    [ "$(jq -r '.items[] | select(.drained) | .name' "$WORK/out")" = desk-1 ] ||
        fail "desk-1 is not the only drained upstream: $(cat "$WORK/out")"
    sent 1 | grep -qx desk-1 && fail "the drained upstream desk-1 got a request, or no request was served"
    cli amina explain counter-7 claims-desk -o json
    expect 0 "explain"
    [ "$(jq -r '.selector, (.upstreams | length)' "$WORK/out" | xargs)" = "lookups 3" ] ||
        fail "explain does not show selector lookups with 3 upstreams: $(cat "$WORK/out")"
    cli amina undrain desk-1
    expect 0 "undrain"
    cli amina undrain desk-1
    expect 0 "second undrain"
}

# sent HOST: prints the upstreams that served 60 requests; prints desk-1, which
# fails the check of the caller, if there was no response
sent() {
    local i
    for i in $(seq 60); do
        http_get "$(caller_port "tunis-$1")" /policy/$i "Authorization: Bearer demo-token-a" |
            tr -d '\0' | sed -n 's/^x-upstream: \([a-z0-9-]*\).*/\1/p'
    done 2>/dev/null | tee "$WORK/sent"
    [ -s "$WORK/sent" ] || echo desk-1
}

# Guards against read commands that fail or print invalid JSON.
reads() {
    local command
    for command in hosts lines services callers selectors upstreams shares status \
        history "top --count 2 --interval-ms 100" "quarantine list"; do
        cli amina $command
        expect 0 "$command"
        cli amina $command -o json
        expect 0 "$command"
        jq -e . "$WORK/out" >/dev/null || fail "$command -o json printed invalid JSON"
        cli amina ${command%% *} --help
        expect 0 "$command --help"
        grep -q '^Exit codes' "$WORK/out" || fail "$command --help does not list the exit codes"
        cli amina ${command%% *} --nonsense
        expect 1 "$command --nonsense"
    done
    cli amina hosts -o json
    [ "$(jq -c '[.items[].id]' "$WORK/out")" = '["tunis-1","tunis-2"]' ] || fail "hosts does not list tunis-1 and tunis-2: $(cat "$WORK/out")"
}

# Guards against a table that is not refreshed in place, and against a top that
# ignores q.
top_on_terminal() {
    : >"$WORK/top.txt"
    {
        for _ in $(seq 400); do
            [ "$(grep -c 'q ends' "$WORK/top.txt")" -ge 2 ] && break
            sleep 0.05
        done
        printf q
        sleep 1
    } | AGATECRANK_CONFIG=$WORK/amina.toml timeout 30 script -qfec \
        "$BIN/packages/agatecrank/agatecrank top --interval-ms 100" /dev/null >"$WORK/top.txt" ||
        fail "top failed: $(cat "$WORK/top.txt")"
    [ "$(grep -c 'q ends' "$WORK/top.txt")" -ge 2 ] || fail "top did not refresh its table"
    grep -q "$(printf '\033')" "$WORK/top.txt" || fail "top printed no escape sequence to refresh in place"
}

setup
setup_operators
for scenario in unauthorized_changes forged_records stale_base lost_responses drained_upstream \
    reads top_on_terminal; do
    "$scenario"
    echo "ok: $scenario"
done
grep -hE 'ERROR: AddressSanitizer|runtime error|LeakSanitizer' "$WORK"/*.err* &&
    fail "a sanitizer reported an error"
echo "ok: all scenarios"
