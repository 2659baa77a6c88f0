#!/usr/bin/env bash
# Callers that disconnect before their answer is complete leave nothing behind at the front program.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts

pid=${process[front-1]}
most_descriptors=60
most_growth_kb=16000
most_stop_ms=4500
descriptors() { find "/proc/$pid/fd" -mindepth 1 | wc -l; }
resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$pid/status"; }
gauge() { curl -s "http://127.0.0.1:$(port 11)/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }
has_few_descriptors() { [ "$(descriptors)" -lt "$most_descriptors" ]; }
has_no_calls() { [ "$(gauge buckthorndale_requests_inside)" = 0 ]; }

# More callers than the instance may have connections.
memory_before=$(resident_kb)
seq 1 2100 | xargs -P 24 -I{} curl -s -m 0.06 -o /dev/null -H 'Host: registry.example' -H 'X-Attempt-Id: leave-{}' \
    -H 'X-Deadline-Ms: 4000' -H 'Authorization: Bearer harbour-key' -H 'X-Model: large' -H 'X-Token-Counts: 100,80' \
    -H 'X-Prompt-Prefix: aa:60,bb:40' -d question "http://127.0.0.1:$(port 10)/inquiry/one"
wait_for 5 "no call is left of callers that left" has_no_calls
wait_for 5 "the descriptors of callers that left are closed" has_few_descriptors
expect "calls that the decision worker does not know" "$(gauge buckthorndale_calls_unknown_to_decisions)" 0
expect "attempts of calls that have ended" "$(gauge buckthorndale_attempts_open)" 0
expect "answers to callers that left are counted" \
    $(($(gauge 'buckthorndale_incomplete_answers_total{closed_by="caller"}') > 1000)) 1
memory_growth=$(($(resident_kb) - memory_before))
expect "the memory grew by $memory_growth kB, more than allowed" $((memory_growth > most_growth_kb)) 0
expect "the next request" "$(inquire 1 after-1 -o /dev/null -w '%{http_code}')" 200

begin=$(date +%s%N)
kill -TERM "$pid"
wait "$pid"
expect "the exit code of the stopped instance" "$?" 0
stop_ms=$((($(date +%s%N) - begin) / 1000000))
expect "the stop with nothing inside took $stop_ms ms, more than allowed" $((stop_ms > most_stop_ms)) 0

[ "$failures" -eq 0 ]
