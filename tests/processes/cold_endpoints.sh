#!/usr/bin/env bash
# Endpoints that turn cold, announced by their entries, bear a few requests a second from all instances together.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
log_to_files
start_fronts

most_while_cold() { stand_in /record | tr -d '\n\t ' | grep -oE '"most_while_cold":\{[^}]*\}' | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+$' || echo 0; }
has_cold() { [ "$(curl -s "http://127.0.0.1:$(port 11)/metrics" | awk '$1 == "buckthorndale_cold_endpoints" { print $2 }')" = "$1" ]; }
# Sends lookups to one instance for some seconds and prints the statuses. Usage: look_up INSTANCE SECONDS
look_up() {
    local end=$((SECONDS + $2)) n=0
    while [ $SECONDS -lt $end ]; do
        n=$((n + 1))
        status_of ask "$1" "l$1-$RANDOM-$n" /lookup/tag
        echo
    done
}

jq '.metadata = { "name": "main" } | .spec.version = 2 | .spec.services = [ { "name": "desk", "healthPath": "/health", "coldStartS": 3, "coldPerS": 4 } ]' \
    "$folder/configuration.json" >"$folder/cold.json"
curl -s -X PUT "http://127.0.0.1:$(port 0)/objects/config/main" -d "@$folder/cold.json" >/dev/null
wait_for 5 "the configuration is in force" grep -q 'configuration in force generation=2' "$folder/front-1.log"

callers=()
for i in 1 2 3; do
    look_up "$i" 8 >"$folder/statuses-$i" &
    callers+=("$!")
done
sleep 2
stand_in '/entry?endpoint=desk-1&cold_ms=4000' >/dev/null
wait_for 1 "front-1 knows the cold endpoint" has_cold 1
# An instance that restarts beside a cold endpoint reads it from the entry.
kill -TERM "${process[front-3]}"
wait "${process[front-3]}"
start services/buckthorndale-front front-3
wait "${callers[@]}"
expect "lookups beside a cold endpoint" "$(cat "$folder"/statuses-[12] | sort -u | tr '\n' ' ')" "200 "
# One and a half times the rate and five, by the users' rule.
expect "requests in a second at the cold endpoint" "$(($(most_while_cold desk-1) <= 11))" 1
wait_for 5 "the endpoint is no longer cold" has_cold 0
expect "lines about cold endpoints" "$(($(grep -c 'action=endpoints_cold' "$folder/front-1.log") >= 1))" 1

[ "$failures" -eq 0 ]
