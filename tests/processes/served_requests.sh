#!/usr/bin/env bash
# Callers send large bodies of legal size one after the other, each over a connection of its own, get their answers and keep
# their connections open. Each is served, and the instance holds nothing of what it has answered.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/crowds.bash
log_to_files
start_fronts
body_bytes=4194304
{
    printf 'POST /issue/tag HTTP/1.1\r\nHost: registry.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 4000\r\n'
    printf 'Authorization: Bearer harbour-key\r\nContent-Length: %s\r\n\r\n' $body_bytes
    filler $body_bytes
} >"$folder/whole"

served=0
for n in $(seq 40); do
    exec {descriptor}<>"/dev/tcp/127.0.0.1/$(port 10)"
    cat "$folder/whole" >&"$descriptor"
    read -r -t 5 version status rest <&"$descriptor"
    [ "$status" = 200 ] && served=$((served + 1))
done
expect "the bodies that were served" "$served" 40
expect_bounded front-1 "$(port 10)" idle 40
expect "the status of a request beside idle callers" "$(status_of ask 1 beside /lookup/tag)" 200
finish
