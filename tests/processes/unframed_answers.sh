#!/usr/bin/env bash
# Answers with neither a length nor chunks end with their connection; streams that end within an event, and answers that
# are reset, are incomplete.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts
store="http://127.0.0.1:$(port 0)/objects/servers"
# Replaces an endpoint's address by that of the raw endpoint. Usage: use_raw_endpoint ID SERVICE
use_raw_endpoint() {
    curl -s -X PUT "$store/$1" -o /dev/null -d "{ \"metadata\": { \"name\": \"$1\" }, \"spec\": { \"service\": \"$2\", \"address\": \"127.0.0.1:$(port 7)\",
        \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"sequence\": 1, \"born\": 2 } }"
}
remove_endpoint() { curl -s -X DELETE "$store/$1" >/dev/null; }
count_raw() { stand_in /record | grep -oE '"raw" *: *[0-9]+' | grep -oE '[0-9]+$' || echo 0; }

use_raw_endpoint desk-1 desk
remove_endpoint desk-2
use_raw_endpoint engine-1 advice
for id in engine-2 engine-3; do remove_endpoint "$id"; done
sleep 0.5

stand_in '/raw?answer=unframed' >/dev/null
for n in 1 2 3; do
    expect "an unframed answer" "$(ask 1 "plain-$n" /lookup/tag)" "{ \"attempt\": \"plain-$n\" }"
    expect "an unframed stream" "$(inquire 1 "stream-$n" | event_numbers)" "1 2 3 4 5 6 7 8 "
done
expect "the requests at the raw endpoint" "$([ "$(count_raw)" -ge 6 ] && echo six or more)" "six or more"

# What is cut within an event, and what ends with the endpoint itself, goes on at another endpoint.
curl -s -X POST "$store" -o /dev/null -d "{ \"metadata\": { \"name\": \"engine-2\" }, \"spec\": { \"service\": \"advice\", \"address\": \"127.0.0.1:$(port 3)\",
    \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"sequence\": 1, \"born\": 1 } }"
sleep 0.5
# Usage: expect_streams_whole KIND INSTANCE COUNT
expect_streams_whole() {
    local before n
    before=$(count_raw)
    stand_in "/raw?answer=$1" >/dev/null
    for n in $(seq "$3"); do
        expect "the events of stream $n beside answers that are $1" \
            "$(ask "$2" "$1-$n" /inquiry/one -H 'X-Model: large' -H 'X-Token-Counts: 100,80' \
                -H "X-Prompt-Prefix: part$n:60,own$n:40" -d question | event_numbers)" "1 2 3 4 5 6 7 8 "
    done
    [ "$(count_raw)" -gt "$before" ] || expect "requests at the raw endpoint" "$(count_raw)" "more than $before"
}
expect_streams_whole unframed_and_cut 1 12
expect "an answer that may not be repeated and is reset" "$(status_of ask 2 cut-1 /issue/tag -d x)" 502
expect_streams_whole unframed_and_gone 3 12

[ "$failures" -eq 0 ]
