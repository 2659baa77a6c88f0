#!/usr/bin/env bash
# Callers ask for large answers and read nothing of them. The instance keeps within its memory and goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
source tests/processes/crowds.bash
log_to_files
start_fronts
remove_sound_endpoints
answer_bytes=4000000
filler $answer_bytes >"$folder/large"
{
    printf "HTTP/1.1 200 OK\r\n${plain_fields}Content-Length: $answer_bytes\r\n\r\n"
    cat "$folder/large"
} >"$folder/large-answer"

# Usage: ask_unread CASE
ask_unread() {
    local descriptor
    exec {descriptor}<>"/dev/tcp/127.0.0.1/$(port 10)"
    printf 'GET /lookup/tag HTTP/1.1\r\nHost: registry.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer harbour-key\r\n\r\n' "$1" >&"$descriptor"
}
curl -s -X POST --data-binary "@$folder/large-answer" "http://127.0.0.1:$(port $raw_control_port)/answer" -o /dev/null
has_arrived() { [ "$(raw_arrivals_of "$1")" -ge 1 ]; }
for n in $(seq 20); do
    ask_unread "unread-$n"
    wait_for 5 "the request unread-$n arrives" has_arrived "unread-$n"
    sleep 0.1
done
expect_bounded front-1 "$(port 10)" unread-answers 40
lookup 1 large
expect "the status of an answer that is read" "$(status_in large)" 200
expect "the form of an answer that is read" "$(faults_of large | tr '\n' ';')" ""
raw_answers "$sound_plain"
lookup 1 after
expect_plain after raw
finish
