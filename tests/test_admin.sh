#!/usr/bin/env bash
# Checks the administration API of a running host against docs/openapi.json.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$1"
SPEC=docs/openapi.json
CLI="timeout 20 $BIN/packages/agatecrank/agatecrank"

fail() { echo "not ok: $*"; KEEP_WORK=1; exit 1; }

setup() {
    start_platform || fail "cannot start the log service and the host list"
    operator_settings amina || fail "cannot create the operator's key"
    add_upstreams desk claims-desk 3 "lac-a charguia-b" --seed 5 || fail "cannot start the upstreams"
    start_host tunis-1 lac-a || fail "cannot start tunis-1"
    publish_hosts
    echo "admin_urls = [\"127.0.0.1:$(admin_port tunis-1)\"]" >>"$WORK/amina.toml"
    export AGATECRANK_CONFIG=$WORK/amina.toml
    first_configuration >"$WORK/first.toml"
    $CLI publish --id first "$WORK/first.toml" >"$WORK/publish.txt" || fail "cannot publish the first configuration"
    wait_http "$(admin_port tunis-1)" /readyz || fail "tunis-1 is not ready"
    http_get "$(caller_port tunis-1)" /policy/1 \
        "Authorization: Bearer demo-token-a" >"$WORK/request.txt"
}

# call METHOD TARGET [BODY]: sends a call; sets $STATUS, body in $WORK/body
call() {
    $CLI call "$@" >"$WORK/body" 2>"$WORK/call.err"
    STATUS=$(sed -n 's/^status //p' "$WORK/call.err")
}

# matches PATH METHOD STATUS: validates $WORK/body against the schema of the
# response in the specification
matches() {
    jq -e --slurpfile spec "$SPEC" --arg p "$1" --arg m "$2" --arg s "$3" '
        $spec[0] as $doc
        | def schema($s): if $s["$ref"] then
            $doc | getpath($s["$ref"] | ltrimstr("#/") | split("/")) else $s end;
        def valid($given): . as $v | schema($given) as $s
          | if $v == null then $s.nullable == true
            elif $s.type == "object" then ($v | type) == "object"
              and all($s.required[]?; . as $k | $v | has($k))
              and all($v | to_entries[]; . as $e
                | ($s.properties[$e.key] // $s.additionalProperties) as $p
                | $p != null and ($e.value | valid($p)))
            elif $s.type == "array" then ($v | type) == "array"
              and all($v[]; valid($s.items))
            elif $s.type == "integer" then ($v | type) == "number" and $v == ($v | floor)
            else ($v | type) == $s.type and ($s.enum == null or any($s.enum[]; . == $v)) end;
        valid($doc.paths[$p][$m].responses[$s].content["application/json"].schema)
        ' "$WORK/body" >"$WORK/jq.out" 2>&1
}

# described PATH METHOD STATUS: checks that the specification has this response
described() {
    jq -e --arg p "$1" --arg m "$2" --arg s "$3" \
        '.paths[$p][$m].responses | has($s)' "$SPEC" >/dev/null
}

# expect PATH METHOD STATUS STEP: checks that the last call got STATUS, and that
# the specification has this status and the schema of the body
expect() {
    [ "$STATUS" = "$3" ] || fail "$4: $2 $1 gave '$STATUS', not $3: $(cat "$WORK/body" "$WORK/call.err")"
    described "$1" "$2" "$3" || fail "$4: $2 $1: status $3 is not in the specification"
    matches "$1" "$2" "$3" || fail "$4: $2 $1: the body does not match the schema: $(cat "$WORK/body" "$WORK/jq.out")"
}

# target PATH METHOD: prints path and query with the examples of the
# specification
target() {
    jq -r --arg p "$1" --arg m "$2" '. as $doc
        | [.paths[$p][$m].parameters[]? | if .["$ref"] then
            . as $r | $doc | getpath($r["$ref"] | ltrimstr("#/") | split("/")) else . end
            | select(.example != null)] as $all
        | reduce ($all[] | select(.in == "path")) as $x
            ($p; sub("\\{" + $x.name + "\\}"; $x.example))
        | . + ([$all[] | select(.in == "query") | "\(.name)=\(.example)"]
            | if length > 0 then "?" + join("&") else "" end)' "$SPEC"
}

# Guards against paths and methods that differ from the specification.
described_paths() {
    local path method signed full body status
    while read -r path method signed; do
        full=$(target "$path" "$method")
        if [ "$signed" = 0 ]; then
            [ "$(http_status "$(admin_port tunis-1)" "$full")" = 200 ] || fail "GET $full did not return 200"
            continue
        fi
        body=$(jq -c --arg p "$path" --arg m "$method" \
            '.paths[$p][$m].requestBody.content["application/json"].example // empty' "$SPEC")
        status=200
        [ "$path" != /v1/quarantine/release ] || status=404
        call "${method^^}" "$full" $body
        expect "$path" "$method" "$status" "as described"
        call DELETE "$full"
        expect "$path" "$method" 405 "other method"
        http_get "$(admin_port tunis-1)" "$full" >"$WORK/unsigned"
        grep -q '^HTTP/1.1 401' "$WORK/unsigned" || fail "unsigned GET $full did not return 401"
        if [ "$method" = get ] && described "$path" get 400; then
            call GET "${full%%\?*}?nonsense=1"
            expect "$path" get 400 "unknown field"
        fi
    done < <(jq -r '.paths | to_entries[] | .key as $p | .value | to_entries[]
        | "\($p) \(.key) \(.value.security | length)"' "$SPEC")
    call GET /v1/explain?caller=nobody\&service=claims-desk
    expect /v1/explain get 404 "unknown caller"
    call POST /v1/quarantine/release "{}"
    expect /v1/quarantine/release post 400 "empty body"
    call POST /v1/quarantine/release "$(printf '%5000s' x)"
    expect /v1/quarantine/release post 413 "long body"
}

# Guards against routes of the program that the specification does not have.
program_paths() {
    diff <(sed -n 's/^    {"\([A-Z]*\)", "\([^"]*\)", ADMIN_.*/\1 \2/p' \
        packages/net/AdminRoutes.c | sort) \
        <(jq -r '.paths | to_entries[] | .key as $p | .value | keys[]
            | ascii_upcase + " " + $p' "$SPEC" | sort) || fail "the routes of the program differ from $SPEC"
}

# Guards against items that are missing or duplicated between pages.
pages() {
    local path after seen
    for path in /v1/lines /v1/services /v1/upstreams /v1/shares /v1/hosts; do
        after=
        seen=
        for _ in $(seq 20); do
            call GET "$path?limit=1${after:+&after=$after}"
            [ "$STATUS" = 200 ] || fail "GET $path?limit=1${after:+&after=$after} gave '$STATUS', not 200"
            seen="$seen $(jq -r '.items[] | "\(.name // .id // .line)"' "$WORK/body")"
            after=$(jq -r '.next // empty' "$WORK/body")
            [ -n "$after" ] || break
        done
        call GET "$path"
        [ "$(echo $seen)" = "$(echo $(jq -r '.items[] | "\(.name // .id // .line)"' "$WORK/body"))" ] ||
            fail "the pages of $path differ from the whole list: $seen"
    done
    call GET "/v1/upstreams?after=x"
    [ "$STATUS" = 400 ] || fail "a malformed page position gave '$STATUS', not 400"
}

setup
for scenario in described_paths program_paths pages; do
    "$scenario" && echo "ok: $scenario"
done
grep -hE 'ERROR: AddressSanitizer|runtime error|LeakSanitizer' "$WORK"/*.err* &&
    fail "a sanitizer reported an error"
echo "ok: all scenarios"
