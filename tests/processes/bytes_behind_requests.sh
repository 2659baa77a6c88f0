#!/usr/bin/env bash
# Callers that have sent much before go on sending behind a request that an endpoint answers late. What lies unread in the
# sockets of an instance counts as its memory.
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

# An instance accepts 2000 connections.
callers=4
{
    printf 'POST /inquiry/one HTTP/1.1\r\n'"$fields"'X-Model: large\r\nX-Token-Counts: 100,80\r\nX-Prompt-Prefix: aa:60\r\n'
    printf 'Content-Length: %s\r\n\r\n' $body_bytes
    filler $body_bytes
    printf 'GET /archive/one HTTP/1.1\r\n'"$fields"'\r\n'
    filler 16000000
} >"$folder/more"
all_wait() { [ "$(raw_arrivals)" = $callers ]; }
expect_endurance more-behind $callers "$folder/more"
wait_for 5 "the requests of $callers callers wait" all_wait
unread=$(unread_bytes "$(port 10)")
max_unread=$((callers * max_kilobytes * 1024 / 2000))
[ "$unread" -le $max_unread ] || expect "the bytes that $callers callers have sent behind their requests" "$unread" "$max_unread or less"
expect_recovery more-behind
finish
