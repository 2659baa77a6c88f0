#!/usr/bin/env bash
# Endpoints stop within the head of their answer and close the connection, or reset it. No caller gets a 200 for it.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts front-1

# The beginnings of a head: within its first line, a name, a value, an end of a line, and before the last line.
plain_head="HTTP/1.1 200 OK\r\n${plain_fields}Content-Length: 4"
cuts=('HTTP' 'HTTP/1.1 200' 'HTTP/1.1 200 OK\r\n' "HTTP/1.1 200 OK\r\n${raw_fields}Conte" "$plain_head" "${plain_head}\r" "${plain_head}\r\n"
    "${plain_head}\r\n\r" "HTTP/1.1 200 OK\r\n${stream_fields}" "HTTP/1.1 200 OK\r\n${plain_fields}Transfer-Encoding: chunked\r\n"
    "HTTP/1.0 200 OK\r\n${plain_fields}" "HTTP/1.1 204 No Content\r\n${plain_fields}" "HTTP/1.1 200 OK\r\n${plain_fields}Connection: close\r\n")

# Usage: expect_none INSTANCE NAME QUERY
expect_none() {
    local i kind
    for i in "${!cuts[@]}"; do
        for kind in issue lookup inquiry notice; do
            heal "$1" "$kind"
            raw_answers "${cuts[i]}" "$3"
            "$kind" "$1" "$2-$i-$kind"
            expect_failure "$2-$i-$kind"
            [ "$kind" = issue ] && [ "$(raw_arrivals)" -gt 1 ] && expect "the runs of $2-$i-issue" "$(raw_arrivals)" 1
        done
    done
}

# What may be repeated is answered by a sound endpoint.
for i in "${!cuts[@]}"; do
    raw_answers "${cuts[i]}"
    for n in 1 2; do
        lookup 2 "sound-$i-$n"
        expect_plain "sound-$i-$n" "{\"attempt\":\"sound-$i-$n\"}"
        inquiry 2 "sound-stream-$i-$n"
        expect_events "sound-stream-$i-$n" "1 2 3 4 5 6 7 8 "
    done
done

remove_sound_endpoints
expect_none 2 closed "end=close"
expect_none 3 reset "end=reset&pause_ms=5"
expect_judged 104
break_links_of_front_1
expect_none 1 other "end=close"
expect_relays 26
expect_judged 130

finish
