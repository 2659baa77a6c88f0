#!/usr/bin/env bash
# Automatic roll-outs: a good version is rolled out completely although instances are killed meanwhile,
# and a bad version is halted everywhere because of ratings of answers that were already delivered.
source "$(dirname "$0")/system.bash"

# The engines serve two more versions; the rating service gives answers of version 3 a low score.
adjust_settings() {
    sed -i 's/"small@1", "large@1"/"small@1", "small@2", "small@3", "large@1"/' "$folder"/{platform,engine-1,engine-2}.json
    sed -i 's/"ratings": \[.*\]/"ratings": [ { "version": "small@3", "score": 100 } ]/' "$folder/rating.json"
}
start_system

put versions '{ "model": "small", "version": "2", "price_per_thousand_tokens": 1000, "expected_quality": 700 }'
put versions '{ "model": "small", "version": "3", "price_per_thousand_tokens": 1000, "expected_quality": 700 }'
put profiles '{ "name": "quick", "versions": [ "small@1", "small@2" ], "quality_target": 600 }'

# Sends requests to a router until a condition holds. Usage: load_until SECONDS PORT WHAT COMMAND...
load_until() {
    local seconds=$1 where=$2
    shift 2
    while true; do
        "$build/utilities/buckthorndale-load" --target "127.0.0.1:$(port "$where")" --key harbour-key --profile quick \
            --callers 4 --requests 40 --tokens 1 >/dev/null
    done &
    local loop=$!
    wait_for "$seconds" "$@"
    kill "$loop"
    wait "$loop" 2>/dev/null
}
roll_out() { control --json show roll-outs small; }
is_at_share() { [ "$(roll_out | grep -o '"share" : [0-9]*')" = "\"share\" : $1" ]; }
is_in_state() { [ "$(roll_out | grep -o '"state" : "[a-z]*"')" = "\"state\" : \"$1\"" ]; }

# One instance takes the first step without an operator. It is killed, unless it is instance 2, whose agent
# the control program uses; the others complete the roll-out.
put roll-outs '{ "model": "small", "from": "1", "to": "2", "share": 200, "automatic": true, "step_ms": 500 }'
load_until 40 10 "the first step is taken" is_at_share 500
deciding_instance=$(grep -l 'Decided on share 500' "$folder"/agent-*.log | grep -o '[1-3]' | tail -n 1)
expect "one instance took the step" "$(grep -h 'Decided on share 500' "$folder"/agent-*.log | wc -l)" 1
[ "$deciding_instance" = 2 ] || kill -KILL "${process[agent-$deciding_instance]}" "${process[router-$deciding_instance]}"
survivor=$((deciding_instance == 1 ? 30 : 10))
load_until 60 "$survivor" "the others complete the roll-out" is_in_state complete
expect "no step is taken twice" "$(control changes | grep -c 'roll-out small')" 3

# A bad version: its calls succeed, but its answers are rated low.
put profiles '{ "name": "quick", "versions": [ "small@2", "small@3" ], "quality_target": 600 }'
put roll-outs '{ "model": "small", "from": "2", "to": "3", "share": 200, "automatic": true, "step_ms": 500 }'
load_until 40 "$survivor" "the bad version is halted" is_in_state halted
expect "the halted version has no share" "$(roll_out | grep -o '"share" : [0-9]*')" '"share" : 0'
finish
