#!/usr/bin/env bash
# An endpoint that names a limit for all instances together.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
log_to_files
start_fronts

# Sends lookups to one instance for some seconds and prints the statuses. Usage: look_up INSTANCE SECONDS
look_up() {
    local end=$((SECONDS + $2)) n=0
    while [ $SECONDS -lt $end ]; do
        n=$((n + 1))
        status_of ask "$1" "l$1-$RANDOM-$n" /lookup/tag
        echo
    done
}
arrivals_at() { stand_in /record | tr -d '\n\t ' | grep -oE '"arrivals":\{[^}]*\}' | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+$'; }
most_at() { stand_in /record | tr -d '\n\t ' | grep -oE '"most_limited":\{[^}]*\}' | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+$'; }

stand_in '/fault?endpoint=desk-1&kind=none&limit=2' >/dev/null
callers=()
for i in 1 2 3; do
    look_up "$i" 10 >"$folder/statuses-$i" &
    callers+=("$!")
done
sleep 5
# An instance that restarts is told of the limit.
kill -TERM "${process[front-3]}"
wait "${process[front-3]}"
start services/buckthorndale-front front-3
wait "${callers[@]}"
expect "lookups beside a limit" "$(cat "$folder"/statuses-[12] | sort -u | tr '\n' ' ')" "200 "
# One and a half times the limit in four seconds, and five, by the users' rule; requests on the way when it began do not count.
expect "requests in four seconds at desk-1" "$(($(most_at desk-1) <= 17))" 1
expect "the limit is known everywhere" "$(grep -l action=endpoint_limit "$folder"/front-*.log | wc -l)" 3

expect "limited endpoints in the metrics" \
    "$(curl -s "http://127.0.0.1:$(port 11)/metrics" | awk '$1 == "buckthorndale_limited_endpoints" { print $2 }')" 1

# A value that cannot be read changes nothing; the end of the limit is found soon.
stand_in '/fault?endpoint=desk-1&kind=none&limit=many' >/dev/null
look_up 1 2 >/dev/null
expect "requests in four seconds beside an unreadable limit" "$(($(most_at desk-1) <= 17))" 1
stand_in '/fault?endpoint=desk-1&kind=none' >/dev/null
look_up 1 3 >/dev/null
before=$(arrivals_at desk-1)
look_up 1 1 >"$folder/statuses-after"
expect "desk-1 is used again" "$((($(arrivals_at desk-1) - before) * 4 >= $(wc -l <"$folder/statuses-after")))" 1

[ "$failures" -eq 0 ]
