#!/usr/bin/env bash
# The store goes down for a moment and returns from an older copy: its revisions are given out again, and what the
# operator, the endpoints and the instances wrote since the copy is gone.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts
store="http://127.0.0.1:$(port 0)/objects"
at_store() { curl -s -H "Uncounted: 1" "$@"; }
milliseconds() { date +%s%3N; }
key_status() { caller_key=$2 status_of ask "$1" "k$RANDOM$RANDOM" /lookup/tag; }
key_works() { [ "$(key_status "$1" "$2")" = 200 ]; }
# Usage: put_generation GENERATION KEY
put_generation() {
    sed "s/\"version\": 1,/\"version\": $1,/; s/harbour-key/$2/" "$folder/configuration.json" >"$folder/changed.json"
    put_configuration "$folder/changed.json"
}
order_status() { at_store "$store/rollouts/desk" | grep -o '"state" *: *"[a-z_]*"' | grep -o '[a-z_]*"$' | tr -d '"'; }
order_is_running() { [ "$(order_status)" = running ]; }
instances() { at_store "$store/buckthorndale-instances" | grep -o '"name" *: *"front-[1-3]"' | sort -u | wc -l; }
all_are_registered() { [ "$(instances)" = 3 ]; }
restored_era() { stand_in /store-calls | grep -o '"era" *: *2'; }
store_answers() { restored_era && at_store -f "$store/config"; }
# Prints the most calls within a tenth of a second, and all calls, since the store returned.
peak_and_sum() {
    stand_in /store-calls | tr -d ' \n\t' | grep -o '_return":\[[^]]*' | grep -o '\[.*' | tr -d '[' | tr ',' '\n' |
        awk '{ sum += $1; if ($1 > peak) peak = $1 } END { print peak + 0, sum + 0 }'
}

# The status and a header of an instance's answer to another instance, which states its era unless it is of an older
# build. Usage: answer_to_peer INSTANCE HEADER QUERY
answer_to_peer() {
    curl -s -D - -o /dev/null "http://127.0.0.1:$(port $((10 * $1 + 2)))/objects/config?$3" | tr -d '\r' |
        awk -v name="$2:" 'NR == 1 { status = $2 } $1 == name { value = $2 } END { print status, value }'
}
expect "an answer to an older build" "$(answer_to_peer 1 Hears-Store 'since=0&wait_ms=0')" "200 1"
expect "the era that an instance states" "$(answer_to_peer 1 Store-Era 'since=99999&era=1&wait_ms=0')" "204 1"

# The copy holds no entry of an instance, one of two endpoints of the service, and an order without a status.
at_store -X DELETE "$store/servers/desk-2" >/dev/null
for i in 1 2 3; do at_store -X DELETE "$store/buckthorndale-instances/front-$i" >/dev/null; done
at_store -X POST "$store/rollouts" -o /dev/null -d '{ "metadata": { "name": "desk" },
    "spec": { "service": "desk", "target": "v2", "durationS": 600 } }'
copied_at=$(milliseconds)
wait_for 4 "the start of the roll-out is recorded" order_is_running
for i in $(seq 50); do
    at_store -X POST "$store/drill" -o /dev/null -d "{ \"metadata\": { \"name\": \"entry-$i\" }, \"spec\": { \"number\": $i } }"
done
put_generation 2 wharf-key
for i in 1 2 3; do wait_for 2 "front-$i accepts the second key" key_works "$i" wharf-key; done
expect "the entries of instances before the restore" "$(instances)" 0

stand_in "/restore?age_ms=$(($(milliseconds) - copied_at))&down_ms=700" >/dev/null
wait_for 3 "the store is back" store_answers
for i in 1 2 3; do expect "the key in force at front-$i at the store's return" "$(key_status "$i" wharf-key)" 200; done

# What is written now has revisions that the instances have seen before.
put_generation 3 quay-key
at_store -X POST "$store/servers" -o /dev/null -d "{ \"metadata\": { \"name\": \"desk-2\" }, \"spec\": { \"service\": \"desk\",
    \"address\": \"127.0.0.1:$(port 6)\", \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"sequence\": 1 } }"
at_store -X DELETE "$store/servers/desk-1" >/dev/null
for i in 1 2 3; do wait_for 3 "front-$i accepts the key that was written after the restore" key_works "$i" quay-key; done
is_withdrawn() { [ "$(key_status "$1" "$2")" = 401 ]; }
for i in 1 2 3; do
    for key in harbour-key wharf-key; do wait_for 3 "$key is withdrawn at front-$i" is_withdrawn "$i" "$key"; done
done
wait_for 4 "the instances are registered again" all_are_registered
wait_for 4 "the start of the roll-out is recorded again" order_is_running
# An instance of an older build cannot tell the eras apart, so nothing that it knows is confirmed.
expect "an answer to an older build after the restore" "$(answer_to_peer 1 Hears-Store 'since=5&wait_ms=0')" "200 0"
expect "an answer to an instance of the first era" "$(answer_to_peer 1 Store-Era 'since=99999&era=1&wait_ms=0')" "200 2"
expect "the confirmation of the second era" "$(answer_to_peer 1 Hears-Store 'since=99999&era=2&wait_ms=0')" "204 1"
arrivals_at_desk_2() { stand_in /record | grep -oE '"desk-2" *: *[0-9]+' | grep -oE '[0-9]+$' || echo 0; }
uses_desk_2() {
    local before
    before=$(arrivals_at_desk_2)
    key_works "$1" quay-key && [ "$(arrivals_at_desk_2)" -gt "$before" ]
}
for i in 1 2 3; do wait_for 4 "front-$i uses the endpoint that registered after the restore" uses_desk_2 "$i"; done

read -r peak sum <<<"$(peak_and_sum)"
echo "calls since the store's return: peak of $peak in 100 ms, $sum in all"
[ "$peak" -le 20 ] && [ "$sum" -le 90 ]
expect "the exit code of the check of the calls" "$?" 0

[ "$failures" -eq 0 ]
