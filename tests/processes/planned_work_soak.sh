#!/usr/bin/env bash
# A randomised soak of planned work and of disruptions that excuse nothing: instances are stopped and restarted, settings
# reloaded, the configuration changed, the store restored from an older copy; endpoints fall silent for about a second,
# announce that they leave, or ask for a pause. Callers keep their connections open until the process is gone. A request that
# an instance has read whole ends with a complete answer or with a refusal, and runs at most once where it may not be repeated.
# Usage: tests/processes/planned_work_soak.sh BUILD_FOLDER [SECONDS] [SEED]
soak_seconds=${2:-14}
seed=${3:-1}
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
RANDOM=$seed
start_fronts >"$folder/log"
# The oldest copy that the store returns from is 3 s old and has the endpoints, which do not register again here.
sleep 3
answers="$folder/answers"
mkdir "$answers"
end_second=$((SECONDS + soak_seconds))

# Prints curl's settings for a session of requests on one connection. Usage: session_requests INSTANCE PREFIX
session_requests() {
    local i kinds=(lookup issue inquiry) kind
    for i in $(seq 1 14); do
        kind=${kinds[RANDOM % 3]}
        [ "$i" -gt 1 ] && echo next
        printf '%s\n' "header = \"Host: registry.example\"" "header = \"X-Attempt-Id: $2-$i\"" 'header = "X-Deadline-Ms: 6000"' \
            'header = "Authorization: Bearer harbour-key"' 'max-time = 12' 'silent' "output = \"$answers/$2-$i.body\"" \
            "url = \"http://127.0.0.1:$(port $((10 * $1)))/$kind/one\"" \
            "write-out = \"$kind $2-$i %{http_code} %{exitcode} %{time_total}\\n\""
        [ "$kind" = lookup ] || echo 'data = "question"'
        [ "$kind" = inquiry ] && printf '%s\n' 'header = "X-Model: large"' 'header = "X-Token-Counts: 100,80"' \
            'header = "X-Prompt-Prefix: aa:60,bb:40"'
    done
}

# Sends sessions of requests to ready instances; writes one line a request: kind, attempt, status, curl's exit code, time.
run_caller() {
    local caller=$1 session=0 instance
    RANDOM=$((seed * 100 + caller))
    while [ $SECONDS -lt $end_second ]; do
        instance=$((RANDOM % 3 + 1))
        session=$((session + 1))
        front_is_ready "$instance" >/dev/null || { sleep 0.05; continue; }
        session_requests "$instance" "c$caller-$session" | curl --rate 20/s -K - >>"$answers/caller-$caller"
    done 2>/dev/null
}

restart_front() {
    local name="front-$1" code
    kill -TERM "${process[$name]}"
    wait "${process[$name]}"
    code=$?
    [ "$code" -ne 0 ] && echo "exit code of $name: found '$code', wanted '0'" >>"$folder/violations"
    start services/buckthorndale-front "$name" >>"$folder/log"
    wait_for 10 "$name is ready after its restart" front_is_ready "$1"
}

change_configuration() {
    local limits=(800 1000 1500) idle=(4000 9000 15000)
    generation=$((generation + 1))
    sed "s/\"version\": 1,/\"version\": $generation,/; s/\"targetGapMs\": 800/\"targetGapMs\": ${limits[RANDOM % 3]}/
        s/\"idleTimeoutMs\": 15000/\"idleTimeoutMs\": ${idle[RANDOM % 3]}/" "$folder/configuration.json" >"$folder/next.json"
    # A restored store may be older than the configuration.
    curl -s -X POST "http://127.0.0.1:$(port 0)/objects/config" -d "@$folder/next.json" >/dev/null
    put_configuration "$folder/next.json"
}

disrupt() {
    local instance=$((RANDOM % 3 + 1)) engine="engine-$((RANDOM % 3 + 1))" desk="desk-$((RANDOM % 2 + 1))"
    case $((RANDOM % 9)) in
        0) restart_front "$instance" ;;
        1) kill -HUP "${process[front-$instance]}" ;;
        2 | 3) change_configuration ;;
        4 | 5) stand_in "/stall?ms=$((RANDOM % 1400))" >/dev/null ;;
        6)
            stand_in "/restore?age_ms=$((RANDOM % 3000))&down_ms=$((RANDOM % 800))" >/dev/null
            sleep 1
            # The operator writes again what the copy lacks.
            change_configuration
            ;;
        7) stand_in "/fault?endpoint=$engine&kind=none&leaving=$((RANDOM % 2))" >/dev/null ;;
        8)
            stand_in "/fault?endpoint=$desk&kind=pauses&pause_ms=$((RANDOM % 900 + 100))&not_run=1" >/dev/null
            sleep 0.3
            stand_in "/fault?endpoint=$desk&kind=none" >/dev/null
            ;;
    esac
}

generation=1
callers=()
for caller in 1 2 3 4 5 6; do
    run_caller "$caller" &
    callers+=("$!")
done
while [ $SECONDS -lt $end_second ]; do
    disrupt
    sleep "0.$((RANDOM % 5 + 1))"
done
wait "${callers[@]}"

stand_in /record >"$folder/record"
cat "$answers"/caller-* >"$folder/all"
report_violation() { echo "$1: found '$2', wanted '$3'" >>"$folder/violations"; }
refused_connection=7
while read -r kind attempt status code seconds; do
    runs=$(grep -oE "\"$attempt\":[0-9]+" "$folder/record" | head -n 1 | grep -oE '[0-9]+$')
    [ "$code" -eq 0 ] || [ "$code" -eq $refused_connection ] ||
        report_violation "end of $kind $attempt after $seconds s, status $status: curl's exit code" "$code" 0
    [ "$kind" = issue ] && [ "${runs:-0}" -gt 1 ] && report_violation "runs of $attempt, which may not be repeated" "$runs" 1
    [ "$status" = 503 ] && [ "${runs:-0}" -gt 0 ] && report_violation "runs of $attempt, which was refused as not run" "$runs" 0
    if [ "$kind" = inquiry ] && [ "$status" = 200 ] && [ "$code" -eq 0 ]; then
        events=$(event_numbers <"$answers/$attempt.body")
        [ "$events" = "1 2 3 4 5 6 7 8 " ] || report_violation "events of $attempt" "$events" "1 2 3 4 5 6 7 8 "
    fi
done <"$folder/all"

# The callers' program sends a request again when a kept connection ends without an answer, so the instances are asked as well.
grep -a 'incomplete answer .*closed_by=instance' "$folder/log" >>"$folder/violations"

echo "planned-work soak seed=$seed: $(wc -l <"$folder/all") requests, by status and exit code:" \
    "$(cut -d' ' -f3,4 "$folder/all" | sort | uniq -c | tr -s ' ' | tr '\n' ';')"
if [ -s "$folder/violations" ]; then
    cat "$folder/violations"
    failures=$((failures + 1))
fi
[ "$failures" -eq 0 ]
