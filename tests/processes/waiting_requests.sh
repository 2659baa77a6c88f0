#!/usr/bin/env bash
# Callers send whole requests with large bodies that an endpoint answers late. The instance keeps within its memory, refuses what it cannot hold as not run, and goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
source tests/processes/crowds.bash
log_to_files
start_fronts
# The raw endpoint is the only one of its plain service; the model endpoints are sound.
for id in desk-2 engine-1; do curl -s -X DELETE "http://127.0.0.1:$(port 0)/objects/servers/$id" -o /dev/null; done
sleep 0.5
body_bytes=4194304
fields='Host: registry.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer harbour-key\r\n'
{
    printf 'POST /archive/one HTTP/1.1\r\n'"$fields"'Content-Length: %s\r\n\r\n' $body_bytes
    filler $body_bytes
} >"$folder/whole"

# Usage: expect_endurance CASE COUNT FILE
expect_endurance() {
    raw_answers "$sound_plain" "delay_ms=8000"
    send_crowd "$(port 10)" "$2" "$3"
    wait_for_crowd 3
    expect_bounded front-1 "$(port 10)" "$1" "$((2 * $2))"
    expect "the status of a request beside $1" "$(status_of inquire 1 "beside-$1")" 200
}
expect_recovery() {
    end_crowd
    raw_answers "$sound_plain"
    lookup 1 "after-$1"
    expect_plain "after-$1" raw
}

# A caller whose request was passed on has no answer yet; the others were told that theirs was not run.
expect_endurance bodies 30 "$folder/whole"
refused=$(grep -la '"run":"not-run"' "$folder"/answer-* | wc -l)
answered=$(find "$folder" -name 'answer-*' -size +0 | wc -l)
passed_on=$(raw_arrivals_of crowd)
expect "the refusals that say not run" "$refused" "$answered"
[ "$passed_on" -ge 1 ] || expect "the requests of the crowd that were passed on" "$passed_on" "1 or more"
[ $((refused + passed_on)) -le 30 ] || expect "the requests refused as not run or passed on" "$((refused + passed_on))" "30 or less"
expect_recovery bodies

finish
