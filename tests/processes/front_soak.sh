#!/usr/bin/env bash
# A randomised soak of the real programs on the stand-in of the users' platform: instances are stopped, paused, killed and
# started again by signals, endpoints and the store misbehave, the configuration changes, in series that overlap. Meanwhile
# callers ask, and what they and the endpoints saw is checked.
# Usage: tests/processes/front_soak.sh BUILD_FOLDER [SECONDS] [SEED]
soak_seconds=${2:-12}
seed=${3:-1}
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
RANDOM=$seed
start_fronts proxied
answers="$folder/answers"
mkdir "$answers"
until_second=$((SECONDS + soak_seconds))

# Callers keep asking one instance after the other; each writes what it saw: kind, attempt, status, events.
call_on() {
    local caller=$1 number=0 attempt instance kind status
    RANDOM=$((seed * 100 + caller))
    while [ $SECONDS -lt $until_second ]; do
        number=$((number + 1))
        attempt="c$caller-$number"
        instance=$((RANDOM % 3 + 1))
        kind=$((RANDOM % 3))
        case $kind in
            0) status=$(status_of ask "$instance" "$attempt" /lookup/tag); echo "lookup $attempt $status" ;;
            1) status=$(status_of ask "$instance" "$attempt" /issue/tag -d x); echo "issue $attempt $status" ;;
            2)
                inquire "$instance" "$attempt" -w '\nstatus: %{http_code}\n' >"$answers/$attempt.stream"
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
    [ "$signal" = TERM ] && [ "$code" -ne 0 ] && echo "exit code: found '$code', wanted '0'" >>"$folder/breaches"
    start services/buckthorndale-front "$name"
}

# One fault; some end by themselves later.
strike() {
    local instance=$((RANDOM % 3 + 1)) engine="engine-$((RANDOM % 3 + 1))" desk="desk-$((RANDOM % 2 + 1))"
    local kinds=(declines fails breaks silent none)
    local routes=(store engine-1 engine-2 engine-3 desk-1) connections=(none delay cut silence reset)
    case $((RANDOM % 12)) in
        0) restart_front "$instance" KILL ;;
        1) restart_front "$instance" TERM ;;
        2) kill -STOP "${process[front-$instance]}"; sleep 0.7; kill -CONT "${process[front-$instance]}" ;;
        3) kill -HUP "${process[front-$instance]}" ;;
        4 | 5) stand_in "/fault?endpoint=$engine&kind=${kinds[RANDOM % 5]}" >/dev/null ;;
        6) stand_in "/fault?endpoint=$desk&kind=${kinds[RANDOM % 5]}" >/dev/null ;;
        7) stand_in "/store?down=$((RANDOM % 2))&lost=$((RANDOM % 3))" >/dev/null ;;
        8)
            generation=$((generation + 1))
            sed "s/\"version\": 1,/\"version\": $generation,/" "$folder/configuration.json" >"$folder/next.json"
            put_configuration "$folder/next.json"
            ;;
        9 | 10 | 11) break_route "${routes[RANDOM % 5]}" "${connections[RANDOM % 5]}" ;;
    esac
}

generation=1
callers=()
for caller in 1 2 3 4; do
    call_on "$caller" &
    callers+=("$!")
done
while [ $SECONDS -lt $until_second ]; do
    strike
    sleep "0.$((RANDOM % 5 + 1))"
done
wait "${callers[@]}"

# What must hold, from what callers and endpoints saw.
stand_in /record >"$folder/record"
runs_seen() { grep -oE "\"$1\":[0-9]+" "$folder/record" | head -n 1 | grep -oE '[0-9]+$'; }
breach() { echo "$1: found '$2', wanted '$3'" >>"$folder/breaches"; }
cat "$answers"/caller-* >"$folder/all"
while read -r kind attempt status events; do
    runs=$(runs_seen "$attempt")
    runs=${runs:-0}
    [ "$kind" = issue ] && [ "$runs" -gt 1 ] && breach "runs of $attempt, which may not be repeated" "$runs" 1
    [ "$status" = 503 ] && [ "$runs" -gt 0 ] && breach "runs of $attempt, refused as not run" "$runs" 0
    [ "$status" = 401 ] || [ "$status" = 404 ] && breach "status of $attempt" "$status" "no refusal for good"
    if [ "$kind" = inquiry ] && [ -n "$events" ]; then
        # Events come in order from the first one, without a gap or a repeat.
        read -ra numbers <<<"$events"
        for i in "${!numbers[@]}"; do
            [ "${numbers[i]}" -eq $((i + 1)) ] || { breach "events of $attempt" "$events" "1 2 3 ..."; break; }
        done
    fi
done <"$folder/all"
expect "headers that callers may not set" "$(grep -oE '"forged":[0-9]+' "$folder/record")" '"forged":0'

# Once nothing is wrong any more, all is served again.
for endpoint in engine-1 engine-2 engine-3 desk-1 desk-2; do stand_in "/fault?endpoint=$endpoint&kind=none" >/dev/null; done
stand_in '/store?down=0' >/dev/null
for route in store engine-1 engine-2 engine-3 desk-1; do break_route "$route" none; done
for i in 1 2 3; do wait_for 10 "front-$i is ready after the soak" front_is_ready "$i"; done
serves() { [ "$(status_of ask "$1" "after-$RANDOM$RANDOM" /lookup/tag)" = 200 ]; }
for i in 1 2 3; do wait_for 10 "front-$i serves after the soak" serves "$i"; done

echo "soak seed=$seed: $(wc -l <"$folder/all") requests, $(cut -d' ' -f3 "$folder/all" | sort | uniq -c | tr '\n' ' ')"
if [ -s "$folder/breaches" ]; then
    cat "$folder/breaches"
    failures=$((failures + 1))
fi
[ "$failures" -eq 0 ]
