#!/usr/bin/env bash
# Callers end a chunked body and go on sending trailers, or send the line of one chunk without its end. The instance keeps
# within its memory and goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/crowds.bash
log_to_files
start_fronts
callers=8
bytes_each=16000000
head='POST /issue/tag HTTP/1.1\r\nHost: registry.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer harbour-key\r\nTransfer-Encoding: chunked\r\n\r\n'

# Usage: expect_endurance CASE FILE
expect_endurance() {
    send_crowd "$(port 10)" $callers "$2"
    wait_for_crowd 10
    expect_bounded front-1 "$(port 10)" "$1" $callers
    expect "the status of a request beside $1" "$(status_of ask 1 "beside-$1" /lookup/tag)" 200
    end_crowd
    expect "the status of a request after $1" "$(status_of ask 1 "after-$1" /lookup/tag)" 200
}

{
    printf "$head"'1\r\nx\r\n0\r\n'
    yes $'X-Trailer: value\r' | head -c $bytes_each
} >"$folder/trailers"
expect_endurance trailers "$folder/trailers"

{
    printf "$head"'1\r\nx\r\n0\r\nX-Trailer: '
    filler $bytes_each
} >"$folder/one-trailer"
expect_endurance one-trailer "$folder/one-trailer"

{
    printf "$head"'1;extension='
    filler $bytes_each
} >"$folder/extension"
expect_endurance extension "$folder/extension"

# A few trailers are part of a proper request.
printf "$head"'1\r\nx\r\n0\r\nX-Trailer: value\r\n\r\n' >"$folder/proper"
exec 3<>"/dev/tcp/127.0.0.1/$(port 10)"
cat "$folder/proper" >&3
expect "the answer to a request with a trailer" "$(timeout 5 head -n 1 <&3 | tr -d '\r' | cut -d ' ' -f 2)" 200
finish
