#!/usr/bin/env bash
# A randomised soak test of the front program on the stand-in of the users' platform: instances are stopped,
# paused, killed and restarted by signals, endpoints and the store fail, the configuration changes, and callers leave;
# faults overlap. Meanwhile callers send requests; what callers and endpoints recorded is checked at the end.
# Usage: tests/processes/front_soak.sh BUILD_FOLDER [SECONDS] [SEED]
soak_seconds=${2:-12}
seed=${3:-1}
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
RANDOM=$seed
start_fronts proxied
answers="$folder/answers"
mkdir "$answers"
end_second=$((SECONDS + soak_seconds))

# Sends requests to random instances; writes one line per request: kind, attempt, status, events.
run_caller() {
    local caller=$1 number=0 attempt instance kind status patience
    RANDOM=$((seed * 100 + caller))
    while [ $SECONDS -lt $end_second ]; do
        number=$((number + 1))
        attempt="c$caller-$number"
        instance=$((RANDOM % 3 + 1))
        kind=$((RANDOM % 3))
        case $kind in
            0) status=$(status_of ask "$instance" "$attempt" /lookup/tag); echo "lookup $attempt $status" ;;
            1) status=$(status_of ask "$instance" "$attempt" /issue/tag -d x); echo "issue $attempt $status" ;;
            2)
                # A third of the callers leave at a random moment.
                patience=10
                [ $((RANDOM % 3)) = 0 ] && patience="0.$((RANDOM % 3))$((RANDOM % 9 + 1))"
                inquire "$instance" "$attempt" -m "$patience" -w '\nstatus: %{http_code}\n' >"$answers/$attempt.stream"
                echo "inquiry $attempt $(grep -oE '^status: [0-9]+' "$answers/$attempt.stream" | cut -d' ' -f2)" \
                    "$(event_numbers <"$answers/$attempt.stream")"
                ;;
        esac
        sleep 0.02
    done >"$answers/caller-$caller" 2>/dev/null
}

restart_front() {
    local name="front-$1" signal=$2
    kill "-$signal" "${process[$name]}" 2>/dev/null
    wait "${process[$name]}" 2>/dev/null
    local code=$?
    [ "$signal" = TERM ] && [ "$code" -ne 0 ] && echo "exit code: found '$code', wanted '0'" >>"$folder/violations"
    start services/buckthorndale-front "$name"
}

# Injects one random fault.
inject_fault() {
    local instance=$((RANDOM % 3 + 1)) engine="engine-$((RANDOM % 3 + 1))" desk="desk-$((RANDOM % 2 + 1))"
    local kinds=(declines fails breaks silent none "pauses&pause_ms=800" "pauses&pause_ms=500&not_run=0" "none&leaving=1"
        "declines&leaving=1" "breaks&leaving=1")
    local routes=(store engine-1 engine-2 engine-3 desk-1) connections=(none delay cut silence reset)
    case $((RANDOM % 12)) in
        0) restart_front "$instance" KILL ;;
        1) restart_front "$instance" TERM ;;
        2) kill -STOP "${process[front-$instance]}"; sleep 0.7; kill -CONT "${process[front-$instance]}" ;;
        3) kill -HUP "${process[front-$instance]}" ;;
        4 | 5) stand_in "/fault?endpoint=$engine&kind=${kinds[RANDOM % 10]}" >/dev/null ;;
        6) stand_in "/fault?endpoint=$desk&kind=${kinds[RANDOM % 10]}" >/dev/null ;;
        7) stand_in "/store?down=$((RANDOM % 2))&lost=$((RANDOM % 3))" >/dev/null ;;
        8)
            generation=$((generation + 1))
            sed "s/\"version\": 1,/\"version\": $generation,/" "$folder/configuration.json" >"$folder/next.json"
            put_configuration "$folder/next.json"
            ;;
        9 | 10 | 11) break_route "${routes[RANDOM % 5]}" "${connections[RANDOM % 5]}" ;;
    esac
}

# Empties data centres and gives them back, and lets endpoints turn cold. Draws from numbers of its own, so that
# the other faults of a seed stay as they were.
give_orders() {
    RANDOM=$((seed + 7919))
    while [ $SECONDS -lt $end_second ]; do
        local data_centre="$([ $((RANDOM % 2)) = 0 ] && echo north-1 || echo south-1)"
        case $((RANDOM % 3)) in
            0) order -X POST -d "{ \"metadata\": { \"name\": \"$data_centre\" }, \"spec\": {} }" "" ;;
            1) order -X DELETE "/$data_centre" ;;
            2) stand_in "/entry?endpoint=desk-$((RANDOM % 2 + 1))&cold_ms=$((RANDOM % 2000 + 500))" ;;
        esac >/dev/null
        sleep "0.$((RANDOM % 6 + 3))"
    done
}
order() { curl -s "${@:1:$#-1}" "http://127.0.0.1:$(port 0)/objects/evacuations${*: -1}"; }
for endpoint in engine-3 desk-2; do stand_in "/entry?endpoint=$endpoint&data_centre=south-1" >/dev/null; done
# Configurations from the second one on state what cold endpoints bear.
jq '.spec.services = [ { "name": "desk", "healthPath": "/health", "coldStartS": 2, "coldPerS": 4 } ]' \
    "$folder/configuration.json" >"$folder/cold.json" && mv "$folder/cold.json" "$folder/configuration.json"

generation=1
callers=()
for caller in 1 2 3 4; do
    run_caller "$caller" &
    callers+=("$!")
done
give_orders &
orders=$!
while [ $SECONDS -lt $end_second ]; do
    inject_fault
    sleep "0.$((RANDOM % 5 + 1))"
done
wait "${callers[@]}" "$orders"

# Checks the guarantees against what callers and endpoints recorded.
stand_in /record >"$folder/record"
recorded_runs() { grep -oE "\"$1\":[0-9]+" "$folder/record" | head -n 1 | grep -oE '[0-9]+$'; }
report_violation() { echo "$1: found '$2', wanted '$3'" >>"$folder/violations"; }
cat "$answers"/caller-* >"$folder/all"
while read -r kind attempt status events; do
    runs=$(recorded_runs "$attempt")
    runs=${runs:-0}
    [ "$kind" = issue ] && [ "$runs" -gt 1 ] && report_violation "runs of $attempt, which may not be repeated" "$runs" 1
    [ "$status" = 503 ] && [ "$runs" -gt 0 ] && report_violation "runs of $attempt, which was refused as not run" "$runs" 0
    [ "$status" = 401 ] || [ "$status" = 404 ] && report_violation "status of $attempt" "$status" "no permanent refusal"
    if [ "$kind" = inquiry ] && [ -n "$events" ]; then
        # Events start at the first one and come in order, without gaps or repetitions.
        read -ra numbers <<<"$events"
        for i in "${!numbers[@]}"; do
            [ "${numbers[i]}" -eq $((i + 1)) ] || { report_violation "events of $attempt" "$events" "1 2 3 ..."; break; }
        done
    fi
done <"$folder/all"
expect "reserved headers sent by a caller are not forwarded" "$(grep -oE '"forged":[0-9]+' "$folder/record")" '"forged":0'

# Once all faults are removed, all instances serve again.
for endpoint in engine-1 engine-2 engine-3 desk-1 desk-2; do stand_in "/fault?endpoint=$endpoint&kind=none" >/dev/null; done
stand_in '/store?down=0' >/dev/null
for data_centre in north-1 south-1; do order -X DELETE "/$data_centre" >/dev/null; done
for route in store engine-1 engine-2 engine-3 desk-1; do break_route "$route" none; done
for i in 1 2 3; do wait_for 10 "front-$i is ready after the soak" front_is_ready "$i"; done
serves() { [ "$(status_of ask "$1" "after-$RANDOM$RANDOM" /lookup/tag)" = 200 ]; }
for i in 1 2 3; do wait_for 10 "front-$i serves after the soak" serves "$i"; done

# Callers that left, and those that were answered, leave nothing behind.
most_descriptors=60
gauge() { curl -s "http://127.0.0.1:$(port $((10 * $1 + 1)))/metrics" | awk -v name="$2" '$1 == name { print $2 }'; }
holds_nothing() {
    [ "$(gauge "$1" buckthorndale_requests_inside)" = 0 ] && [ "$(gauge "$1" buckthorndale_attempts_open)" = 0 ] &&
        [ "$(find "/proc/${process[front-$1]}/fd" -mindepth 1 | wc -l)" -lt "$most_descriptors" ]
}
for i in 1 2 3; do wait_for 5 "front-$i holds nothing after the soak" holds_nothing "$i"; done

echo "soak seed=$seed: $(wc -l <"$folder/all") requests, $(cut -d' ' -f3 "$folder/all" | sort | uniq -c | tr '\n' ' ')"
if [ -s "$folder/violations" ]; then
    cat "$folder/violations"
    failures=$((failures + 1))
fi
[ "$failures" -eq 0 ]
