#!/usr/bin/env bash
# An endpoint answers a long upload at once, without a length, sends a part of its body and resets the connection. No caller gets
# that part as a complete answer.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts front-1
remove_sound_endpoints

# The answer's part, in the order in which a reader could take it for whole.
part="HTTP/1.1 200 OK\r\n${plain_fields}\r\n{ \"part\": 1, "
stream_part="HTTP/1.1 200 OK\r\n${stream_fields}\r\n${sound_events}"

# Uploads that fit into the buffers of sockets, and one that does not.
for size in 20000 300000 3900000; do head -c "$size" /dev/zero | tr '\0' 'x' >"$folder/upload-$size"; done

# Usage: expect_no_part INSTANCE NAME QUERY
expect_no_part() {
    local size kind
    for size in 20000 300000 3900000; do
        for kind in issue lookup; do
            heal "$1"
            raw_answers "$part" "reads=head&$3"
            exchange "$1" "$2-$size-$kind" POST "/$kind/tag" <"$folder/upload-$size"
            expect_own_failure "$2-$size-$kind" 502
        done
        expect "the requests $2-$size-issue at the raw endpoint" "$([ "$(raw_arrivals)" -le 2 ] && echo few)" few
        raw_answers "$stream_part" "reads=head&$3"
        for kind in inquiry notice; do
            exchange "$1" "$2-$size-$kind" POST "/$kind/one" 'X-Model: large' 'X-Token-Counts: 100,80' \
                "X-Prompt-Prefix: $2$size:60,own$size:40" <"$folder/upload-$size"
            if [ "$(status_in "$2-$size-$kind")" = 502 ]; then
                expect_own_failure "$2-$size-$kind" 502
            else
                # Events that were passed on before the reset are right, but not all.
                expect "whether the stream $2-$size-$kind looks whole" \
                    "$(faults_of "$2-$size-$kind" | grep -cE 'last chunk is missing')" 1
            fi
        done
    done
}

expect_no_part 2 at-once "end=reset"
expect_no_part 3 later "end=reset&pause_ms=30"
# The endpoint's system sends an end and then a reset when the endpoint closes while bytes of the request are on their way.
expect_no_part 2 after-an-end "end=end_and_reset"
expect_no_part 3 closed "end=close"

# An early answer that is whole, or ends without a reset, is passed on.
for size in 20000 300000 3900000; do
    raw_answers "$sound_plain"
    exchange 2 "early-$size" POST /issue/tag <"$folder/upload-$size"
    expect_plain "early-$size" raw
    raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}\r\nraw\n"
    exchange 2 "unframed-$size" POST /issue/tag <"$folder/upload-$size"
    expect_plain "unframed-$size" raw
done

for endpoint in engine-1 engine-2 engine-3 desk-1 desk-2; do break_route "$endpoint" refuse; done >/dev/null
for n in 1 2 3; do lookup 1 "loss-$n"; done
expect_no_part 1 other "end=reset&pause_ms=30"
expect_no_part 1 other-end "end=end_and_reset"
expect "whether requests were passed on" "$([ "$(grep -c action=relay "$folder/front-1.log")" -ge 6 ] && echo yes)" yes

finish
