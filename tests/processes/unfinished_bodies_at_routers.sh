#!/usr/bin/env bash
# The router with callers that send most of a large body, whole or in chunks, and stay open, that send trailers without end,
# and that keep their connections after large calls. It keeps within its memory and goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source tests/processes/crowds.bash
log_to_files
start_system
callers=60
body_bytes=4194304
fields='Host: h\r\nAuthorization: Bearer harbour-key\r\n'
serves() { ask 10 quick "$1" 'tokens=3' | grep -c '\[DONE\]'; }

# Usage: expect_endurance CASE COUNT FILE
expect_endurance() {
    send_crowd "$(port 10)" "$2" "$3"
    wait_for_crowd 10
    expect_bounded router-1 "$(port 10)" "$1" "$2"
    expect "whether a request is served beside $1" "$(serves "beside-$1")" 1
    end_crowd
    expect "whether a request is served after $1" "$(serves "after-$1")" 1
}

chat='POST /v1/chat/completions HTTP/1.1\r\n'"$fields"
{
    printf "$chat"'Content-Length: %s\r\n\r\n' $body_bytes
    filler $((body_bytes - 1))
} >"$folder/lengths"
expect_endurance lengths $callers "$folder/lengths"

{
    printf "$chat"'Transfer-Encoding: chunked\r\n\r\n%x\r\n' $((body_bytes - 1))
    filler $((body_bytes - 1))
} >"$folder/chunk"
expect_endurance chunk $callers "$folder/chunk"

{
    printf "$chat"'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n'
    yes $'X-Trailer: value\r' | head -c 16000000
} >"$folder/trailers"
expect_endurance trailers 8 "$folder/trailers"

{
    printf 'POST /services/register/tags HTTP/1.1\r\n'"$fields"'Content-Length: %s\r\n\r\n' $body_bytes
    filler $body_bytes
} >"$folder/call"
served=0
for n in $(seq 30); do
    exec {descriptor}<>"/dev/tcp/127.0.0.1/$(port 10)"
    cat "$folder/call" >&"$descriptor"
    read -r -t 5 version status rest <&"$descriptor"
    [ "$status" = 200 ] && served=$((served + 1))
done
expect "the large calls that were served" "$served" 30
expect_bounded router-1 "$(port 10)" idle 30
expect "whether a request is served beside idle callers" "$(serves beside-idle)" 1
finish
