#!/usr/bin/env bash
# An endpoint answers a long upload at once, without a length, sends a part of its body and resets the connection while the rest
# of the upload is on its way. No caller gets that part as a complete answer.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts front-1
remove_sound_endpoints

part="HTTP/1.1 200 OK\r\n${plain_fields}\r\n{ \"part\": 1, "
stream_part="HTTP/1.1 200 OK\r\n${stream_fields}\r\n${sound_events}"

# Two uploads that fit into the buffers of sockets, and one that does not.
sizes="20000 300000 3900000"
for size in $sizes; do head -c "$size" /dev/zero | tr '\0' 'x' >"$folder/upload-$size"; done

# Sends an upload of each size and kind beside an end of the connection. Usage: expect_no_part INSTANCE NAME QUERY
expect_no_part() {
    local size kind
    for size in $sizes; do
        for kind in issue lookup; do
            heal "$1" "$kind"
            raw_answers "$part" "reads=head&$3"
            exchange "$1" "$2-$size-$kind" POST "/$kind/tag" <"$folder/upload-$size"
            expect_failure "$2-$size-$kind"
            [ "$kind" = issue ] && [ "$(raw_arrivals)" -gt 1 ] && expect "the runs of $2-$size-issue" "$(raw_arrivals)" 1
        done
        # Events that were passed on before the reset are right, but not all.
        for kind in inquiry notice; do
            heal "$1" "$kind"
            raw_answers "$stream_part" "reads=head&$3"
            exchange "$1" "$2-$size-$kind" POST "/$kind/one" 'X-Model: large' 'X-Token-Counts: 100,80' \
                "X-Prompt-Prefix: $2$size:60,own$size:40" <"$folder/upload-$size"
            expect_failure "$2-$size-$kind" begun
        done
    done
}

expect_no_part 2 at-once "end=reset"
expect_no_part 3 later "end=reset&pause_ms=30"
# The endpoint's system sends an end and then a reset when the endpoint closes while bytes of the request are on their way, and a
# reset alone when they lie unread.
expect_no_part 2 after-an-end "end=end_and_reset"
expect_no_part 3 unread "end=close"
expect_judged 48

# An early answer that is whole is passed on, and one that ends with its connection after the request.
for size in $sizes; do
    heal 2 issue
    raw_answers "$sound_plain"
    exchange 2 "framed-$size" POST /issue/tag <"$folder/upload-$size"
    expect_plain "framed-$size" raw
    raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}\r\nraw\n"
    exchange 2 "unframed-$size" POST /issue/tag <"$folder/upload-$size"
    expect_plain "unframed-$size" raw
done

# Another instance passes the request on, and nothing of the part back as whole.
break_links_of_front_1
expect_no_part 1 other "end=reset&pause_ms=30"
expect_no_part 1 other-end "end=end_and_reset"
expect_relays 12
expect_judged 60

finish
