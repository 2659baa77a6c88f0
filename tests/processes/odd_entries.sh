#!/usr/bin/env bash
# Entries whose names hold characters with a meaning in a target end pages of the store's lists, while all instances
# start. They name nothing to use; the others hold.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/odd_names.bash
log_to_files
start_fronts

# The lists are longer than one page, and the odd entry ends one.
stand_in '/pages?size=1' >/dev/null
for name in "${odd_names[@]}"; do
    put_object servers "$name" "$foreign_spec"
    restart_fronts "beside an entry named '$name'"
    expect_service "beside an entry named '$name'"
    delete_object servers "$name"
done

# The lists of all kinds hold such entries, and each of them ends a page.
for name in "${odd_names[@]}" "${further_odd_names[@]}"; do
    put_object servers "$name" "$foreign_spec"
    for kind in config rollouts buckthorndale-instances evacuations; do put_object "$kind" "$name" '{ "note": 1 }'; done
done
restart_fronts "beside odd entries of all kinds"
expect_service "beside odd entries of all kinds"

# What follows the odd entries is in force: an order, an emptied data centre, a configuration.
put_object rollouts engines '{ "service": "engines", "target": "v2", "durationS": 600 }'
stand_in '/entry?endpoint=desk-2&data_centre=south-1' >/dev/null
put_object evacuations south-1 '{}'
restart_fronts "beside odd entries and an order"
is_running() { [ "$(stored rollouts engines | jq -r .status.state)" = running ]; }
wait_for 5 "the order that follows odd entries is recorded" is_running
before=$(arrivals_at desk-2)
expect_service "beside odd entries and an emptied data centre"
expect "requests in the data centre that is emptied" "$(arrivals_at desk-2)" "$before"
sed "s/\"version\": 1,/\"version\": 2,/; s/harbour-key/quay-key/" "$folder/configuration.json" >"$folder/changed.json"
put_configuration "$folder/changed.json"
caller_key=quay-key
for i in 1 2 3; do
    has_new_key() { [ "$(status_of ask "$i" "k$RANDOM$RANDOM" /lookup/tag)" = 200 ]; }
    wait_for 3 "front-$i accepts the new key" has_new_key
done
expect_service "after a change of the configuration"

# The instances know each other: one without links to endpoints passes requests on.
delete_object evacuations south-1
others_known() { [ "$(grep -c 'list of instances could not be read' "$folder/front-$1.log")" = 0 ]; }
for i in 1 2 3; do expect "front-$i reads the list of instances" "$(others_known "$i" && echo yes)" yes; done

expect "reserved headers that endpoints got" "$(stand_in /record | jq .forged)" 0
expect_log_lines
for i in 1 2 3; do expect "front-$i is running" "$(kill -0 "${process[front-$i]}" && echo yes)" yes; done
finish
