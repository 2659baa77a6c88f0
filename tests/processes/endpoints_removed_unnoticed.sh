#!/usr/bin/env bash
# An endpoint is removed while an instance hears nothing although the store is up: the instance must not keep the endpoint as one
# whose entry may only have lapsed in an outage of the store.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts
arrivals_at() { stand_in /record | grep -oE "\"$1\" *: *[0-9]+" | tail -n 1 | grep -oE '[0-9]+$' || echo 0; }
stand_in '/store?watches=mute' >/dev/null
sleep 1
kill -STOP "${process[front-1]}"
curl -s -X DELETE "http://127.0.0.1:$(port 0)/objects/servers/desk-1" >/dev/null
sleep 2.5
kill -CONT "${process[front-1]}"
sleep 0.8
before=$(arrivals_at desk-1)
for n in $(seq 12); do status_of ask 1 "lookup-$n" /lookup/tag >/dev/null; done
expect "requests to an endpoint that was removed 3.3 s before" "$(($(arrivals_at desk-1) - before))" 0

[ "$failures" -eq 0 ]
