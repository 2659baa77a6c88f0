#!/usr/bin/env bash
# Entries that cannot be read, among those of the platform's instance list and of the ledger, spoil no other one: neither
# for running agents nor for those that start.
source "$(dirname "$0")/system.bash" "$1"
start_system
answers() { ask "$1" quick "$2" 'tokens=3' | grep -q '\[DONE\]'; }
expect_answers() {
    local i
    for i in 10 20 30; do expect "an answer at router $i $1" "$(answers "$i" "r$RANDOM$RANDOM" && echo yes)" yes; done
}
expect_answers "before"

unchecked() { curl -s -X POST "http://127.0.0.1:$(port 0)/unchecked-$1" --data-binary @- <<<"$2" >/dev/null; }
for entry in '{}' '[ 1 ]' '"text"' 'null' '{ "id": "odd-1" }' '{ "id": "odd-2", "kind": "unheard-of", "address": "127.0.0.9:9", "data_centre": "north-1" }' \
    '{ "id": "odd-3", "kind": "engine", "address": "nowhere", "data_centre": "north-1" }' \
    '{ "id": "odd\n4", "kind": "engine", "address": "127.0.0.9:9", "data_centre": 1 }'; do
    unchecked endpoint "$entry"
    unchecked member "$entry"
done
# A change of the list, so that running agents read it.
curl -s -X POST "http://127.0.0.1:$(port 0)/instances" -o /dev/null -d "{ \"endpoint\": { \"id\": \"engine-1\", \"kind\": \"engine\",
    \"address\": \"127.0.0.1:$(port 1)\", \"data_centre\": \"north-1\", \"versions\": [ \"small@1\", \"large@1\" ], \"slots\": 7 } }"
sleep 2
expect_answers "beside odd entries"

for i in 1 2 3; do
    for name in "agent-$i" "router-$i"; do
        kill -KILL "${process[$name]}"
        wait "${process[$name]}" 2>/dev/null
    done
done
for i in 1 2 3; do
    start services/buckthorndale-agent "agent-$i"
    start services/buckthorndale-router "router-$i"
done
for i in 10 20 30; do wait_for 17 "router $i is ready beside odd entries" is_ready "$i"; done
expect_answers "after a start beside odd entries"
expect "engines that the agents list" "$(control --json instances | jq -c '[ .endpoints[].id ]')" '["engine-1","engine-2","register-1"]'

# Objects of other writers among the segments of the ledger.
ask 10 quick billed 'tokens=3' >/dev/null
wait_for 10 "the bill is in the ledger" has_bill billed
n=0
for text in 'not json' '{}' '[ 1 ]' '"\ud83d"'; do
    curl -s -X PUT "http://127.0.0.1:$(port 0)/objects/ledger/entry-0-odd-$((++n))" --data-binary @- -o /dev/null <<<"$text"
done
expect "the bills of a request beside odd objects" "$(bills_of billed)" 1
expect "objects that the ledger leaves out" "$(control --json ledger | jq .unreadable)" 4
finish
