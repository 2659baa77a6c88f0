#!/usr/bin/env bash
# Many callers send most of a large body of legal size, at once or piece by piece, whole or in chunks, and stay open just
# short of its end. The instance keeps within its memory, refuses what it cannot hold as not run, and goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/crowds.bash
log_to_files
start_fronts
callers=60
body_bytes=4194304
fields='Host: registry.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer harbour-key\r\n'

# Checks that every refusal that a caller of the crowd got says that the request has not run and when to come back.
expect_true_refusals() {
    local answer status
    for answer in "$folder"/answer-*; do
        [ -s "$answer" ] || continue
        status=$(head -n 1 "$answer" | cut -d ' ' -f 2)
        case $status in
            408) ;;
            503) expect "whether the refusal in $answer names a time" "$(grep -aci '^Retry-After: ' "$answer")" 1 ;;
            *) expect "the status of a refusal beside $1" "$status" "408 or 503" ;;
        esac
        expect "whether the refusal in $answer says not run" "$(grep -aoE '"run":"[a-z-]+"' "$answer")" '"run":"not-run"'
    done
    rm -f "$folder"/answer-*
    expect "the runs of requests of $1" "$(runs_of crowd)" ""
}

# Usage: expect_endurance CASE FILE
expect_endurance() {
    send_crowd "$(port 10)" $callers "$2"
    wait_for_crowd 10
    expect_bounded front-1 "$(port 10)" "$1" $callers
    expect "the status of a request beside $1" "$(status_of ask 1 "beside-$1" /lookup/tag)" 200
    expect "the status of a small body beside $1" "$(status_of ask 1 "small-$1" /issue/tag -d "tag")" 200
    end_crowd
    expect_true_refusals "$1"
    expect "the status of a request after $1" "$(status_of ask 1 "after-$1" /lookup/tag)" 200
    filler $body_bytes >"$folder/whole"
    expect "the status of a whole body after $1" "$(status_of ask 1 "whole-$1" /issue/tag -H 'Expect:' --data-binary "@$folder/whole")" 200
}

{
    printf 'POST /issue/tag HTTP/1.1\r\n'"$fields"'Content-Length: %s\r\n\r\n' $body_bytes
    filler $((body_bytes - 1))
} >"$folder/lengths"
expect_endurance lengths "$folder/lengths"

# The pieces of each caller follow the pieces of all others.
send_pieces() {
    local n piece descriptors=() descriptor
    for n in $(seq $callers); do
        exec {descriptor}<>"/dev/tcp/127.0.0.1/$1"
        descriptors+=("$descriptor")
        printf 'POST /issue/tag HTTP/1.1\r\n'"$fields"'Content-Length: %s\r\n\r\n' $body_bytes >&"$descriptor"
    done
    filler $((body_bytes / 64)) >"$folder/piece"
    for piece in $(seq 63); do
        for descriptor in "${descriptors[@]}"; do timeout 1 cat "$folder/piece" >&"$descriptor"; done
    done
    : >"$folder/sent-$BASHPID"
    exec sleep 60
}
send_pieces "$(port 10)" 2>/dev/null &
crowd=("$!")
disown "$!"
wait_for_crowd 20
expect_bounded front-1 "$(port 10)" pieces $callers
expect "the status of a request beside pieces" "$(status_of ask 1 beside-pieces /lookup/tag)" 200
end_crowd
expect "the status of a request after pieces" "$(status_of ask 1 after-pieces /lookup/tag)" 200

chunked='POST /issue/tag HTTP/1.1\r\n'"$fields"'Transfer-Encoding: chunked\r\n\r\n'
{
    printf "$chunked"'%x\r\n' $((body_bytes - 1))
    filler $((body_bytes - 1))
} >"$folder/large-chunk"
expect_endurance large-chunk "$folder/large-chunk"

{
    printf "$chunked"
    yes $'10\r\nxxxxxxxxxxxxxxxx\r' | head -c $((22 * (body_bytes / 16 - 1)))
} >"$folder/small-chunks"
expect_endurance small-chunks "$folder/small-chunks"
finish
