#!/usr/bin/env bash
# The platform is down, loses answers, and is restored from an old backup.
source "$(dirname "$0")/system.bash"
start_system
register_tag() {
    call -H "Idempotency-Key: $2" "http://127.0.0.1:$(port "$1")/services/register/tags" -d "{ \"tag\": \"$2\" }"
}
run_count() { curl -s "http://127.0.0.1:$(port 3)/status" | grep -o "$1[^0-9]*[0-9]*" | grep -o "[0-9]*$"; }

# Platform down: models still answer, claims are refused as not run, and bills are written later.
faults 0 '{ "down": true }'
ask 10 quick outage-1 "tokens=3" >"$folder/outage.txt"
expect "a model answers during the outage" "$(grep -c '\[DONE\]' "$folder/outage.txt")" 1
expect "a claim is refused as not run" "$(register_tag 10 tag-1 | grep -c '"run":"not-run"')" 1
expect "the refused call did not run" "$(run_count tag-1)" ""
control withdraw large@1 2>/dev/null
expect "a change is not accepted" "$?" 3
faults 0 '{}'
wait_for 30 "the bill is written after the outage" has_bill outage-1
has_run_once() { register_tag 10 tag-1 | grep -q '"run":1'; }
wait_for 30 "the call runs after the outage" has_run_once
expect "the call ran once" "$(run_count tag-1)" 1

# The answer of the platform is lost after the write took effect.
faults 0 '{ "lost_answers": 1 }'
expect "a claim whose answer was lost is recognised" "$(register_tag 20 tag-2 | grep -c '"run":1')" 1
expect "a resend to another router gets the first outcome" "$(register_tag 30 tag-2 | grep -c '"run":1')" 1
expect "the call with the lost answer ran once" "$(run_count tag-2)" 1
faults 0 '{ "lost_answers": 1 }'
control --change-id lost-1 drain large@1 >/dev/null
expect "a change whose answer was lost is accepted" "$?" 0

# The store is restored from an old backup: an accepted change stays in force and is written again.
curl -s -X POST "http://127.0.0.1:$(port 0)/backup" >/dev/null
control withdraw small@1 >/dev/null
is_refused() { [ "$(ask "$1" quick "probe-$1" 'tokens=3' -o /dev/null -w '%{http_code}')" = 403 ]; }
for i in 10 20 30; do wait_for 17 "the withdrawal is in force at $i" is_refused "$i"; done
curl -s -X POST "http://127.0.0.1:$(port 0)/restore" >/dev/null
is_written_again() {
    curl -s "http://127.0.0.1:$(port 0)/objects?prefix=configuration/changes/&most=100" | grep -q withdrawn
}
wait_for 40 "the lost change is written again" is_written_again
status_of() { ask "$1" quick "probe-$1" 'tokens=3' -o "$folder/kept-$1.txt" -w '%{http_code}'; }
for i in 10 20 30; do expect "the withdrawal stays in force at $i" "$(status_of "$i")" 403; done
finish
