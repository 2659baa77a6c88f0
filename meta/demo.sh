#!/usr/bin/env bash
# Builds the system, starts it on loopback with stand-ins, sends requests, and shows the answers and the one bill.
# Usage: meta/demo.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
first_port=${FIRST_PORT:-18100}

[ -d "$build" ] || cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" >"$build/build.log" 2>&1 || { tail -n 40 "$build/build.log"; exit 1; }

folder=$(mktemp -d)
processes=()
# Ends what was started here, by process id.
clean_up() {
    for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap clean_up EXIT

meta/write_demo_settings.sh "$folder" "$first_port"
start() { "$build/$1" --settings "$folder/$2.json" & processes+=("$!"); }
start utilities/buckthorndale-platform-stand-in platform
for endpoint in engine-1 engine-2 register rating; do start utilities/buckthorndale-endpoint-stand-in "$endpoint"; done
for i in 1 2 3; do
    start services/buckthorndale-agent "agent-$i"
    start services/buckthorndale-router "router-$i"
done

port() { echo $((first_port + $1)); }
export BUCKTHORNDALE_KEY=operator-key
control() { "$build/utilities/buckthorndale-control" --agent "127.0.0.1:$(port 13)" "$@"; }
# Waits until a condition holds, for 17 seconds at most: the time in which a change must be in force.
wait_for() {
    local until=$((SECONDS + 17))
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $until ] || { echo "This did not come true in time: $*"; exit 1; }
        sleep 0.1
    done
}

wait_for control status
echo "== The operators describe versions, a profile and a workspace."
put() { echo "$2" | control put "$1" -; }
put versions '{ "model": "small", "version": "1", "price_per_thousand_tokens": 1000, "expected_quality": 700 }'
put versions '{ "model": "large", "version": "1", "price_per_thousand_tokens": 20000, "expected_quality": 950 }'
put profiles '{ "name": "careful", "versions": [ "small@1", "large@1" ], "quality_target": 800 }'
key_hash=$(printf 'harbour-key' | sha256sum | cut -d' ' -f1)
put workspaces "{ \"id\": \"harbour\", \"key_hash\": \"$key_hash\", \"profiles\": [ \"careful\" ], \"services\": [ \"register\" ] }"
has_bill() { control ledger harbour | grep -q "$1"; }
is_ready() { curl -sf "http://127.0.0.1:$(port "$1")/ready"; }
for i in 1 2 3; do wait_for is_ready $((10 * i)); done

call() { curl -s -H 'Authorization: Bearer harbour-key' "$@"; echo; }
echo "== An inspector's request: the cheap version's answer is rated too low, the better one answers."
call -i -H 'X-Request-Id: inquiry-1' "http://127.0.0.1:$(port 10)/v1/chat/completions" \
    -d '{ "model": "careful", "messages": [ { "role": "user", "content": "tokens=8 Which gear was at site 12?" } ] }'
echo "== The same as a stream, through another instance."
call -N -H 'X-Request-Id: inquiry-2' "http://127.0.0.1:$(port 20)/v1/chat/completions" \
    -d '{ "model": "careful", "stream": true, "messages": [ { "role": "user", "content": "tokens=3 And at site 13?" } ] }'
echo "== A tag is issued; the resend to another instance gets the first outcome, and the call ran once."
call -H 'Idempotency-Key: tag-17' "http://127.0.0.1:$(port 10)/services/register/tags" -d '{ "tag": 17 }'
call -H 'Idempotency-Key: tag-17' "http://127.0.0.1:$(port 30)/services/register/tags" -d '{ "tag": 17 }'

echo "== The ledger, once the agents have written it (about 5 s): one bill for each request."
wait_for has_bill inquiry-2
control ledger harbour
echo "== How the first router decided:"
grep -h "request=inquiry-1" "$folder/router-1.log" | cut -d' ' -f3-
