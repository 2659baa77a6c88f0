#!/usr/bin/env bash
# Many callers send heads of legal size that consist of very many fields or parts of a prompt, and stop short of the end of
# the request. The instance keeps within its memory and goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/crowds.bash
log_to_files
start_fronts
callers=400

# Opens all connections from one process. Usage: send_heads PORT FILE
send_heads() {
    local descriptor
    for _ in $(seq $callers); do
        exec {descriptor}<>"/dev/tcp/127.0.0.1/$1"
        cat "$2" >&"$descriptor"
    done
    : >"$folder/sent-$BASHPID"
    exec sleep 60
}

# Usage: expect_endurance CASE FILE
expect_endurance() {
    send_heads "$(port 10)" "$2" 2>/dev/null &
    crowd=("$!")
    disown "$!"
    wait_for_crowd 10
    expect_bounded front-1 "$(port 10)" "$1" $callers
    expect "the status of a request beside $1" "$(status_of ask 1 "beside-$1" /lookup/tag)" 200
    end_crowd
    expect "the status of a request after $1" "$(status_of ask 1 "after-$1" /lookup/tag)" 200
}

start='POST /issue/tag HTTP/1.1\r\nHost: registry.example\r\nX-Attempt-Id: crowd\r\nAuthorization: Bearer harbour-key\r\nContent-Length: 2\r\n'
{
    printf "$start"
    yes $'a:\r' | head -c 16000
    printf '\r\nx'
} >"$folder/fields"
expect_endurance fields "$folder/fields"

{
    printf "${start/issue/inquiry}"'X-Model: large\r\nX-Token-Counts: 100,80\r\nX-Deadline-Ms: 8000\r\nX-Prompt-Prefix: '
    yes a, | head -c 24000 | tr -d '\n'
    printf 'a\r\n\r\nxx'
} >"$folder/parts"
expect_endurance parts "$folder/parts"
finish
