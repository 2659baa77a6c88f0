#!/usr/bin/env bash
# An endpoint that runs a call and sends a refusal of an earlier one: the call neither runs again nor is it refused as one
# that has not run.
source "$(dirname "$0")/system.bash" "$1"
start_system
register_tag() {
    call -H "Idempotency-Key: $2" "http://127.0.0.1:$(port "$1")/services/register/tags" -d "{ \"tag\": \"$2\" }"
}
run_count() { curl -s "http://127.0.0.1:$(port 3)/status" | grep -o "$1[^0-9]*[0-9]*" | grep -o "[0-9]*$"; }

expect "a call" "$(register_tag 10 first-0 | grep -c '"run":1')" 1
faults 3 '{ "repeats_refusals": true }'
for i in 1 2 3; do
    expect "what a caller is told of a call that ran" "$(register_tag "$((10 * i))" "stale-$i" | grep -oE '"run":"[a-z-]+"')" '"run":"unknown"'
    expect "the runs of the call" "$(run_count "stale-$i")" 1
done
faults 3 '{}'
expect "a call afterwards" "$(register_tag 10 last-0 | grep -c '"run":1')" 1
finish
