#!/usr/bin/env bash
# Endpoints that announce in their responses that they leave, and endpoints that ask for a pause.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts

count_of() { stand_in /record | tr -d '\n\t ' | grep -oE "\"$1\":\{[^}]*\}" | grep -oE "\"$2\":[0-9]+" | grep -oE '[0-9]+$'; }
statuses() { for n in $(seq 1 "$3"); do status_of ask "$1" "$2-$n" /lookup/tag; echo; done | sort | uniq -c | tr -s ' \n' ' '; }

# The store lists desk-1 as ready all the while.
stand_in '/fault?endpoint=desk-1&kind=none&leaving=1' >/dev/null
expect "lookups while desk-1 leaves" "$(statuses 1 a 10)" " 10 200 "
expect "the requests of front-1 at desk-1" "$(($(count_of arrivals desk-1) <= 1))" 1
# front-1 tells the other instances.
before=$(count_of arrivals desk-1)
sleep 0.2
expect "lookups at front-2" "$(statuses 2 b 10)" " 10 200 "
expect "lookups at front-3" "$(statuses 3 b 10)" " 10 200 "
expect "the requests of both at desk-1" "$(($(count_of arrivals desk-1) - before))" 0
expect "a stream of a leaving engine" "$(for i in 1 2 3; do stand_in "/fault?endpoint=engine-$i&kind=none&leaving=1"
done >/dev/null; asked_model=large inquire 3 c1 | event_numbers)" "1 2 3 4 5 6 7 8 "
for i in 1 2 3; do stand_in "/fault?endpoint=engine-$i&kind=none" >/dev/null; done

# desk-1 starts again under its name.
stand_in '/fault?endpoint=desk-1&kind=none' >/dev/null
reaches_desk_1() {
    local before
    before=$(count_of arrivals desk-1)
    ask "$1" "c$RANDOM$RANDOM" /lookup/tag
    [ "$(count_of arrivals desk-1)" -gt "$before" ]
}
for i in 1 2 3; do wait_for 5 "front-$i uses desk-1 again" reaches_desk_1 "$i"; done

# desk-1 asks for a pause, without stating that the request has not run.
stand_in '/fault?endpoint=desk-1&kind=pauses&pause_ms=4000&not_run=0' >/dev/null
expect "lookups while desk-1 pauses" "$(statuses 3 d 20)" " 20 200 "
expect "requests that desk-1 turned away" "$(count_of turned_away desk-1)" 1
stand_in '/fault?endpoint=desk-2&kind=pauses&pause_ms=20000' >/dev/null
expect "lookups while both desks pause" "$(statuses 3 e 5)" " 5 503 "
expect "requests that desk-2 turned away" "$(count_of turned_away desk-2)" 1
expect "the time to come back" "$(ask 3 e6 /lookup/tag -D - -o "$folder/refused" -w '%{time_total}' |
    awk '/^Retry-After/ { pause = $2 } END { print (pause > 0.3 && pause < 6 && $1 < 0.5) }')" 1
stand_in '/fault?endpoint=desk-1&kind=none' >/dev/null
is_served() { [ "$(status_of ask 3 "f$RANDOM$RANDOM" /lookup/tag)" = 200 ]; }
wait_for 9 "desk-1 is used again after its pause" is_served
expect "requests that the desks turned away in the end" \
    "$(count_of turned_away desk-1),$(count_of turned_away desk-2)" 1,1

[ "$failures" -eq 0 ]
