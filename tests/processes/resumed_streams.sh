#!/usr/bin/env bash
# A stream broke off, and the next endpoint answers the rest with an error: callers get nothing but events in order, and
# a stream without its last event does not look complete.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts
store="http://127.0.0.1:$(port 0)/objects/servers"
curl -s -X PUT "$store/engine-1" -o /dev/null -d "{ \"metadata\": { \"name\": \"engine-1\" }, \"spec\": { \"service\": \"advice\", \"address\": \"127.0.0.1:$(port 7)\",
    \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"sequence\": 1, \"born\": 2 } }"
stand_in '/fault?endpoint=engine-2&kind=breaks' >/dev/null
sleep 1
rest_count() { stand_in /record | grep -oE '"raw":[0-9]+' | grep -oE '[0-9]+$' || echo 0; }

# Usage: expect_streams ANSWER COUNT
expect_streams() {
    local n code numbers
    stand_in "/raw?answer=$1" >/dev/null
    for n in $(seq "$2"); do
        ask "$((n % 3 + 1))" "$1-$n" /inquiry/one -H 'X-Model: large' -H 'X-Token-Counts: 100,80' \
            -H "X-Prompt-Prefix: part$n:60,own$n:40" -d question >"$folder/stream"
        code=$?
        numbers=$(event_numbers <"$folder/stream")
        # A stream that did not begin is refused.
        grep -q '"type":"urn:buckthorndale' "$folder/stream" && continue
        expect "text beside the events of $1-$n" "$(grep -vE '^(id: [0-9]+|data: event [0-9]+|)$' "$folder/stream" | head -c 200)" ""
        case "1 2 3 4 5 6 7 8 " in "$numbers"*) ;; *) expect "the events of $1-$n" "$numbers" "in order from 1" ;; esac
        [ "$numbers" = "1 2 3 4 5 6 7 8 " ] ||
            expect "whether $1-$n with the events $numbers looks complete" "$([ "$code" = 0 ] && echo yes || echo no)" no
    done
}
for with in "engine-3" "no other"; do
    # Without it, the rest goes to the endpoints that were tried.
    [ "$with" = "no other" ] && curl -s -X DELETE "$store/engine-3" >/dev/null && sleep 1
    for answer in error_on_resume error_in_rest text_in_rest empty_rest; do expect_streams "$answer" 12; done
done
expect "requests at the raw endpoint" "$(($(rest_count) >= 10))" 1

[ "$failures" -eq 0 ]
