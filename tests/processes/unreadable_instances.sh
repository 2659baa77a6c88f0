#!/usr/bin/env bash
# An entry that cannot be read, among those of the instances, keeps no instance from passing requests on to the others.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
log_to_files
start_fronts front-1
instances="http://127.0.0.1:$(port 0)/objects/buckthorndale-instances"
# Usage: put_instance NAME SPEC
put_instance() { curl -s -X POST "$instances" -o /dev/null -d "{ \"metadata\": { \"name\": \"$1\" }, \"spec\": $2 }"; }

for spec in '[ 1 ]' '"text"' 'null' '{ "control": "127.0.0.1:99999", "data_centre": "north-1" }' \
    '{ "control": "host.example:1", "data_centre": "north-1" }' '{ "control": "127.0.0.9:9", "data_centre": 1 }' \
    '{ "control": "127.0.0.9:9", "data_centre": "north-1", "relay": "nowhere", "link_mbps": 1e300 }'; do
    put_instance "a-$((++number))" "$spec"
done
kill -KILL "${process[front-1]}"
wait "${process[front-1]}" 2>/dev/null
start services/buckthorndale-front front-1
wait_for 5 "front-1 is ready again" front_is_ready 1
sleep 1
for endpoint in engine-1 engine-2 engine-3 desk-1 desk-2; do break_route "$endpoint" refuse >/dev/null; done
# The first requests show the loss.
for n in 1 2 3; do ask 1 "first-$n" /lookup/tag >/dev/null; done
for n in $(seq 10); do
    expect "a lookup at an instance without links" "$(status_of ask 1 "lookup-$n" /lookup/tag)" 200
done
expect "requests passed on" "$(($(grep -c action=relay "$folder/front-1.log") >= 10))" 1
# All instances read the list of instances once in ten seconds.
reads_instances() { [ "$(grep -c "invalid instance skipped name=a-1" "$folder/$1.log")" -gt 0 ]; }
for i in 1 2 3; do wait_for 12 "front-$i skips the entries alone" reads_instances "front-$i"; done
expect "coroutines that ended" "$(cat "$folder"/front-*.log | grep -c 'coroutine failed')" 0

[ "$failures" -eq 0 ]
