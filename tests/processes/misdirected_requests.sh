#!/usr/bin/env bash
# Requests that endpoints turn away with status 421 take out no endpoint for other requests.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts

# Usage: expect_sound_streams WHAT
expect_sound_streams() {
    local i n
    for i in 1 2 3; do
        for n in 1 2 3; do
            expect "a stream at front-$i after $1" "$(inquire "$i" "sound-$RANDOM$RANDOM" | event_numbers)" "1 2 3 4 5 6 7 8 "
        done
    done
}
# Sends requests for a model that no endpoint has. Usage: ask_for_unknown_model STATUS WHAT
ask_for_unknown_model() {
    local i n
    for n in $(seq 4); do
        for i in 1 2 3; do
            expect "the status of an unknown model, $2" \
                "$(asked_model=huge status_of inquire "$i" "unknown-$RANDOM$RANDOM")" "$1"
        done
    done
}

ask_for_unknown_model 421 "which the route does not list"
expect_sound_streams "an unknown model"

# Callers choose the model of a route without a list.
sed 's/"version": 1,/"version": 2,/; s/"sizes": \[[^]]*\],//' "$folder/configuration.json" >"$folder/second.json"
put_configuration "$folder/second.json"
sleep 2
asked_model=large
ask_for_unknown_model 421 "at endpoints that name themselves"
expect_sound_streams "endpoints named themselves"
for engine in 1 2 3; do stand_in "/fault?endpoint=engine-$engine&kind=nameless" >/dev/null; done
ask_for_unknown_model 503 "at endpoints that do not"
expect_sound_streams "endpoints did not name themselves"
for engine in 1 2 3; do stand_in "/fault?endpoint=engine-$engine&kind=none" >/dev/null; done

# The address of an endpoint that left belongs to another one.
store="http://127.0.0.1:$(port 0)/objects/servers"
curl -s -X PUT "$store/engine-1" -o /dev/null -d "{ \"metadata\": { \"name\": \"engine-1\" }, \"spec\": { \"service\": \"advice\", \"address\": \"127.0.0.1:$(port 3)\",
    \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"sequence\": 1, \"born\": 2 } }"
sleep 0.5
expect_sound_streams "an address was used again"

[ "$failures" -eq 0 ]
