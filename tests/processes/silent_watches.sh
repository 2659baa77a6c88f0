#!/usr/bin/env bash
# A watch of the store stays open and brings no change: instances must not take what they know for current.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts proxied
store="http://127.0.0.1:$(port 0)/objects"
# The platform's limit on the age of changes.
max_milliseconds=2000
milliseconds() { date +%s%3N; }
key_status() { caller_key=$2 status_of ask "$1" "k$RANDOM$RANDOM" /lookup/tag; }
# Withdraws the key in force and adds another one.
generation=1
key=harbour-key
change_key() {
    generation=$((generation + 1))
    old_key=$key
    key="key-$generation"
    sed "s/\"version\": 1,/\"version\": $generation,/; s/harbour-key/$key/" "$folder/configuration.json" >"$folder/changed.json"
    put_configuration "$folder/changed.json"
    changed_at=$(milliseconds)
}
has_changed() { [ "$(key_status "$1" "$key")" = 200 ] && [ "$(key_status "$1" "$old_key")" != 200 ]; }
# Usage: expect_change_in_force FAULT
expect_change_in_force() {
    local i
    for i in 1 2 3; do
        until has_changed "$i" || [ $(($(milliseconds) - changed_at)) -gt 4000 ]; do sleep 0.02; done
        local elapsed=$(($(milliseconds) - changed_at))
        echo "front-$i after a change beside $1: $elapsed ms"
        [ "$elapsed" -le $max_milliseconds ] || expect "milliseconds until front-$i has the change beside $1" "$elapsed" "$max_milliseconds or less"
    done
}
# Usage: set_endpoint_state ID STATE
set_endpoint_state() {
    curl -s -X PUT "$store/servers/$1" -o /dev/null -d "{ \"metadata\": { \"name\": \"$1\" }, \"spec\": { \"service\": \"desk\",
        \"address\": \"127.0.0.1:$(port 39)\", \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 8, \"state\": \"$2\", \"sequence\": 1, \"born\": 1 } }"
}
arrivals_at() { stand_in /record | grep -oE "\"$1\" *: *[0-9]+" | tail -n 1 | grep -oE '[0-9]+$' || echo 0; }
expect_endpoint_unused() {
    local before i n
    sleep 2
    before=$(arrivals_at desk-1)
    for i in 1 2 3; do for n in 1 2 3 4; do key_status "$i" "$key" >/dev/null; done; done
    expect "requests to an endpoint that drains, beside $1" "$(($(arrivals_at desk-1) - before))" 0
}

# A change shows that all instances follow the store.
change_key
expect_change_in_force "no fault"

break_route store silence
break_route store none
change_key
expect_change_in_force "silent connections"

for fault in mute blind; do
    stand_in "/store?watches=$fault" >/dev/null
    change_key
    expect_change_in_force "watches that are $fault"
    set_endpoint_state desk-1 draining
    expect_endpoint_unused "watches that are $fault"
    stand_in /store >/dev/null
    set_endpoint_state desk-1 ready
    change_key
    expect_change_in_force "watches that work again"
done

# Usage: age_of INSTANCE KIND, in whole seconds.
age_of() {
    curl -s "http://127.0.0.1:$(port $((10 * $1 + 1)))/metrics" |
        awk -v name="buckthorndale_store_confirmation_age_seconds{kind=\"$2\"}" '$1 == name { print int($2) }'
}
for kind in configuration endpoints; do
    expect "whole seconds since the last confirmation of $kind" "$(age_of 1 "$kind" | sed 's/^0$/1/')" 1
done

[ "$failures" -eq 0 ]
