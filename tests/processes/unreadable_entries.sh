#!/usr/bin/env bash
# An entry that cannot be read, among those of the endpoints, spoils no other one: neither for running instances nor
# for those that start.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts
store="http://127.0.0.1:$(port 0)/objects/servers"

# Writes an entry whose spec is not checked. Usage: put_raw NAME SPEC
put_raw() { curl -s -X POST "http://127.0.0.1:$(port 1)/raw-entry?name=$1" --data-binary @- <<<"$2" >/dev/null; }
foreign() { echo "{\"service\":\"inventory\",\"address\":\"127.0.4.1:9\",\"zone\":$1,\"version\":\"v1\",\"slots\":$2,\"state\":\"ready\",\"sequence\":1}"; }
nested() { printf '[%.0s' $(seq "$1"); printf ']%.0s' $(seq "$1"); }
arrivals_at() { stand_in /record | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+$' || echo 0; }
# Sends lookups to all instances. Usage: expect_lookups WHAT
expect_lookups() {
    local i n
    for i in 1 2 3; do
        for n in $(seq 8); do
            expect "a lookup at front-$i $1" "$(status_of ask "$i" "lookup-$RANDOM$RANDOM" /lookup/tag)" 200
        done
    done
}

put_raw x-half "$(foreign '"north \ud83d"' 6)"
put_raw x-nested "$(foreign '"north-1"' "$(nested 70)")"
put_raw x-deep "$(foreign '"north-1"' "$(nested 20000)")"
put_raw x-large "$(foreign '"north-1"' 1e400)"
put_raw x-twice '{"service":"desk","service":"desk"}'
put_raw x-bare 'not json'
put_raw x-array '["desk"]'
put_raw x-open '{"service":["desk"}'
put_raw x-port "{\"service\":\"desk\",\"address\":\"127.0.0.1:99999\",\"zone\":\"north-1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\"}"
put_raw x-host "{\"service\":\"desk\",\"address\":\"desk.example:80\",\"zone\":\"north-1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\"}"
expect_lookups "beside unreadable entries"

# Instances that run still learn of changes.
curl -s -X DELETE "$store/desk-2" >/dev/null
sleep 1
before=$(arrivals_at desk-2)
expect_lookups "after an endpoint was removed"
expect "arrivals at an endpoint that was removed" "$(arrivals_at desk-2)" "$before"
curl -s -X POST "$store" -o /dev/null -d "{ \"metadata\": { \"name\": \"desk-2\" }, \"spec\": { \"service\": \"desk\", \"address\": \"127.0.0.1:$(port 6)\",
    \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"sequence\": 1, \"born\": 1 } }"

# An entry that becomes unreadable names no endpoint to use.
put_raw desk-1 'not json'
sleep 1
before=$(arrivals_at desk-1)
expect_lookups "after an entry became unreadable"
expect "arrivals at an endpoint whose entry is unreadable" "$(arrivals_at desk-1)" "$before"

for i in 1 2 3; do
    expect "front-$i is running" "$(kill -0 "${process[front-$i]}" && echo yes)" yes
    kill -KILL "${process[front-$i]}"
    wait "${process[front-$i]}" 2>/dev/null
done
for i in 1 2 3; do start services/buckthorndale-front "front-$i"; done
for i in 1 2 3; do wait_for 5 "front-$i is ready again" front_is_ready "$i"; done
expect_lookups "after a start beside unreadable entries"

[ "$failures" -eq 0 ]
