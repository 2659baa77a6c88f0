# Starts a small system of real processes on loopback; sourced by the process tests.
# Tests poll for each condition with a timeout instead of sleeping for a fixed time.

build=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
folder=$(mktemp -d)
declare -A process=()
failures=0
export BUCKTHORNDALE_KEY=operator-key

# Prints the first of forty consecutive unused ports. A lock folder keeps tests that run in parallel from
# taking the same ports.
free_ports() {
    local first offset
    for first in $(seq 20100 100 32000 | shuf); do
        for offset in $(seq 0 39); do
            (exec 3<>"/dev/tcp/127.0.0.1/$((first + offset))") 2>/dev/null && continue 2
        done
        mkdir "${TMPDIR:-/tmp}/buckthorndale-ports-$first" 2>/dev/null || continue
        echo "$first"
        return
    done
}

first_port=$(free_ports)
port() { echo $((first_port + $1)); }

start() {
    "$build/$1" --settings "$folder/$2.json" &
    process[$2]=$!
}

# Lets each process that is started from now on log to a file of its own, FOLDER/NAME.log.
log_to_files() {
    start() {
        "$build/$1" --settings "$folder/$2.json" >>"$folder/$2.log" &
        process[$2]=$!
    }
}

clean_up() {
    local name
    for name in "${!process[@]}"; do
        kill -CONT "${process[$name]}" 2>/dev/null
        kill -KILL "${process[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$folder"
    rmdir "${TMPDIR:-/tmp}/buckthorndale-ports-$first_port"
}
trap clean_up EXIT

# Retries a command until it succeeds or the time is over. Usage: wait_for SECONDS WHAT COMMAND...
wait_for() {
    local until=$((SECONDS + $1)) what=$2
    shift 2
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $until ]; then
            echo "not in time: $what"
            failures=$((failures + 1))
            return 1
        fi
        sleep 0.05
    done
}

# Records a failure unless both texts are equal. Usage: expect WHAT FOUND WANTED
expect() {
    [ "$2" = "$3" ] && return
    echo "$1: found '$2', wanted '$3'"
    failures=$((failures + 1))
}

control() { "$build/utilities/buckthorndale-control" --agent "127.0.0.1:$(port 23)" "$@"; }
put() { echo "$2" | control put "$1" -; }
is_ready() { curl -sf "http://127.0.0.1:$(port "$1")/ready"; }
call() { curl -s -m 30 -H 'Authorization: Bearer harbour-key' "$@"; }
faults() { curl -s -X POST "http://127.0.0.1:$(port "$1")/faults" -d "$2"; }
bills_of() { control --json ledger harbour | grep -c "\"request\" : \"$1\""; }
has_bill() { [ "$(bills_of "$1")" = 1 ]; }

# Starts and configures all processes, and waits until all three routers are ready.
start_system() {
    meta/write_demo_settings.sh "$folder" "$first_port"
    if declare -F adjust_settings >/dev/null; then adjust_settings; fi
    start utilities/buckthorndale-platform-stand-in platform
    local name i
    for name in engine-1 engine-2 register rating; do start utilities/buckthorndale-endpoint-stand-in "$name"; done
    for i in 1 2 3; do
        start services/buckthorndale-agent "agent-$i"
        start services/buckthorndale-router "router-$i"
    done
    wait_for 17 "the administration API answers" control status || exit 1
    put versions '{ "model": "small", "version": "1", "price_per_thousand_tokens": 1000, "expected_quality": 700 }'
    put versions '{ "model": "large", "version": "1", "price_per_thousand_tokens": 20000, "expected_quality": 950 }'
    put profiles '{ "name": "quick", "versions": [ "small@1" ] }'
    put profiles '{ "name": "good", "versions": [ "large@1" ] }'
    local hash
    hash=$(printf 'harbour-key' | sha256sum | cut -d' ' -f1)
    put workspaces "{ \"id\": \"harbour\", \"key_hash\": \"$hash\", \"profiles\": [ \"quick\", \"good\" ], \"services\": [ \"register\" ] }"
    for i in 10 20 30; do wait_for 17 "router $i is ready" is_ready "$i" || exit 1; done
}

# Sends a model request. Usage: ask PORT PROFILE ID TEXT [CURL OPTIONS]
ask() {
    local where=$1 profile=$2 id=$3 text=$4
    shift 4
    call "$@" -H "X-Request-Id: $id" "http://127.0.0.1:$(port "$where")/v1/chat/completions" \
        -d "{ \"model\": \"$profile\", \"stream\": true, \"messages\": [ { \"role\": \"user\", \"content\": \"$text\" } ] }"
}

# Ends the test; exits with 1 and prints the end of the logs when a check failed.
finish() {
    [ "$failures" -eq 0 ] || tail -n 15 "$folder"/*.log 2>/dev/null
    exit "$((failures > 0))"
}
