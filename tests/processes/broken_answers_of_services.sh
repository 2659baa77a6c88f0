#!/usr/bin/env bash
# A plain service behind the router answers with bytes that are no answer, or with a part of one. No caller gets them as an answer.
source "$(dirname "$0")/system.bash" "$1"
source tests/processes/raw_answers.bash
raw_port=5
raw_control_port=6
raw_echoed_header=X-Request-Id
adjust_settings() {
    jq "(.endpoints[] | select(.id == \"register-1\")).address = \"127.0.0.1:$(port $raw_port)\"" <<<"$(grep -v '^ *//' "$folder/platform.json")" \
        >"$folder/edited" && mv "$folder/edited" "$folder/platform.json"
    start_raw
}
start_system

fields="X-Request-Id: @echo@\r\nX-Raw: raw\r\nContent-Type: application/json\r\n"
sound="HTTP/1.1 200 OK\r\n${fields}Content-Length: 4\r\n\r\nraw\n"
# Usage: register_tag NAME [FILE]
register_tag() {
    exchange 1 "$1" POST /services/register/tags "X-Request-Id: $1" "Idempotency-Key: $1" <"${2:-/dev/null}"
}
# Lets the service answer well until it is sent calls again.
heal_service() {
    raw_answers "$sound"
    is_healed() { register_tag "healed-$RANDOM$RANDOM" && [ "$(raw_arrivals)" -gt 0 ]; }
    wait_for 10 "the service gets calls again" is_healed
}
# Usage: expect_none NAME TEXT [QUERY] [FILE]
expect_none() {
    heal_service
    raw_answers "$2" "${3:-}"
    register_tag "$1" "${4:-/dev/null}"
    expect "whether the service was asked for $1" "$([ "$(raw_arrivals)" -ge 1 ] && echo yes)" yes
    expect "the form of the answer to $1" "$(faults_of "$1" | tr '\n' ';')" ""
    expect "the first digit of the status of $1" "$(status_in "$1" | cut -c 1)" 5
    expect "the service's fields in the answer to $1" "$(head_of "$1" | grep -aci '^X-Raw')" 0
    expect "what the caller of $1 is told of its run" "$(body_of "$1" | grep -oE '"run":"[a-z-]+"')" '"run":"unknown"'
}

raw_answers "$sound"
register_tag sound
expect "the status of a sound answer" "$(status_in sound)" 200
expect "the form of a sound answer" "$(faults_of sound | tr '\n' ';')" ""
expect "the body of a sound answer" "$(body_of sound)" raw

for status in 000 001 101 600 999; do expect_none "status-$status" "HTTP/1.1 $status Trouble\r\n${fields}Content-Length: 4\r\n\r\nraw\n"; done
expect_none interim-alone "HTTP/1.1 100 Continue\r\n\r\n"
n=0
for line in 'X Bad: 1' 'X\001Bad: 1' ' X-Bad: 1' 'Content-Length : 2'; do
    n=$((n + 1))
    expect_none "line-$n" "HTTP/1.1 200 OK\r\n${fields}${line}\r\nContent-Length: 4\r\n\r\nraw\n"
done
expect_none cut-head "HTTP/1.1 200 OK\r\n${fields}Content-Le"
expect_none cut-before-the-end "HTTP/1.1 200 OK\r\n${fields}"
head -c 300000 /dev/zero | tr '\0' 'x' >"$folder/upload"
expect_none reset-upload "HTTP/1.1 200 OK\r\n${fields}\r\n{ \"part\": 1, " "reads=head&end=reset&pause_ms=30" "$folder/upload"
expect_none ended-upload "HTTP/1.1 200 OK\r\n${fields}\r\n{ \"part\": 1, " "reads=head&end=end_and_reset" "$folder/upload"

heal_service
raw_answers "HTTP/1.1 103 Early Hints\r\nX-Raw: raw\r\n\r\nHTTP/1.1 200 OK\r\n${fields}\r\nraw\n"
register_tag interim
expect "the status after an interim response" "$(status_in interim)" 200
expect "the form of the answer after an interim response" "$(faults_of interim | tr '\n' ';')" ""
expect "the body after an interim response" "$(body_of interim)" raw
finish
