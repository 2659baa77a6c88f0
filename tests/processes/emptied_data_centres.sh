#!/usr/bin/env bash
# Operators empty a data centre and give it back, while the store fails and instances restart.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
log_to_files
start_fronts

store() { curl -s "http://127.0.0.1:$(port 0)/objects/$1" "${@:2}"; }
empty() { store evacuations -X POST -d "{ \"metadata\": { \"name\": \"$1\" }, \"spec\": {} }" >/dev/null; }
give_back() { store "evacuations/$1" -X DELETE >/dev/null; }
arrivals_at() { stand_in /record | tr -d '\n\t ' | grep -oE '"arrivals":\{[^}]*\}' | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+$' || echo 0; }
# Sends lookups to every instance. Usage: look_up PREFIX COUNT
look_up() {
    local i n
    for n in $(seq 1 "$2"); do
        for i in 1 2 3; do
            status_of ask "$i" "$1-$i-$n" /lookup/tag
            echo
        done
    done
}
knows_emptied() {
    [ "$(curl -s "http://127.0.0.1:$(port $((10 * $1 + 1)))/metrics" | awk '$1 == "buckthorndale_emptied_data_centres" { print $2 }')" = "$2" ]
}
# The users' bound is five seconds; the target in quiet hours is one.
all_know() { for i in 1 2 3; do wait_for "$2" "front-$i knows that $1 data centres are emptied" knows_emptied "$i" "$1"; done; }

# Lookups prefer the endpoint in the data centre of the instances, desk-1.
stand_in '/entry?endpoint=desk-2&data_centre=south-1' >/dev/null
look_up first 5 >/dev/null
expect "the endpoint is used before" "$(($(arrivals_at desk-1) > 5))" 1

empty north-1
all_know 1 1
before=$(arrivals_at desk-1)
look_up emptied 10 >"$folder/statuses"
expect "lookups beside an emptied data centre" "$(sort -u "$folder/statuses" | tr '\n' ' ')" "200 "
expect "requests in the emptied data centre" "$(($(arrivals_at desk-1) - before))" 0

# What is known holds while the store is away, and an instance that starts meanwhile learns it from the others.
stand_in '/store?down=1' >/dev/null
kill -KILL "${process[front-3]}"
wait "${process[front-3]}" 2>/dev/null
start services/buckthorndale-front front-3
wait_for 8 "front-3 is ready without the store" front_is_ready 3
all_know 1 1
look_up outage 10 >/dev/null
expect "requests in the emptied data centre without the store" "$(($(arrivals_at desk-1) - before))" 0
stand_in '/store?down=0' >/dev/null

# With the other one emptied as well, callers are told at once when to return.
empty south-1
all_know 2 5
answer=$(ask 1 none-1 /lookup/tag -i)
expect "a lookup without a data centre" "$(grep -cE '^HTTP/1.1 503|^Retry-After: ' <<<"$answer")" 2

# An entry that cannot be read, and an unknown data centre, change nothing.
store evacuations -X POST -d '{ "metadata": { "name": "west-9" }, "spec": [ 1, "x" ] }' >/dev/null
give_back south-1
give_back north-1
all_know 1 3
wait_for 3 "lookups are answered again" [ "$(look_up back 1 | sort -u)" = 200 ]
before=$(arrivals_at desk-1)
look_up after 10 >/dev/null
expect "the data centre is used again" "$(($(arrivals_at desk-1) - before > 5))" 1
expect "lines about emptied data centres" "$(grep -c 'action=data_centre_emptied' "$folder/front-1.log")" 3

[ "$failures" -eq 0 ]
