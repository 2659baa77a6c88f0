#!/usr/bin/env bash
# Endpoints answer with a head in which the name of a field holds a blank or a control byte, or is none, or with such a line
# after the last chunk. No caller gets such an answer, that line, or a body that is framed by it.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts front-1

names=('X Bad' 'X-Bad ' 'X-Bad\t' ' X-Bad' '\tX-Bad' 'X\001Bad' 'X\000Bad' 'X\013Bad' 'X-Bad\r' 'X\177Bad' 'X\200Bad' 'X(Bad)' 'X/Bad' '')

# Sends requests beside a line in the head's beginning, middle and end. Usage: expect_none_with INSTANCE NAME LINE
expect_none_with() {
    local kind text n=0
    for text in "${3}\r\n${plain_fields}Content-Length: 4\r\n" "${plain_fields}${3}\r\nContent-Length: 4\r\n" \
        "${plain_fields}Content-Length: 4\r\n${3}\r\n"; do
        n=$((n + 1))
        heal "$1" issue
        raw_answers "HTTP/1.1 200 OK\r\n${text}\r\nraw\n"
        issue "$1" "$2-$n-issue"
        expect_failure "$2-$n-issue"
        [ "$(raw_arrivals)" -le 1 ] || expect "the runs of $2-$n-issue" "$(raw_arrivals)" 1
    done
    for kind in lookup inquiry notice; do
        heal "$1" "$kind"
        case "$kind" in
            lookup) raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}${3}\r\nContent-Length: 4\r\n\r\nraw\n" ;;
            *) raw_answers "HTTP/1.1 200 OK\r\n${stream_fields}${3}\r\n\r\n${sound_events}" ;;
        esac
        "$kind" "$1" "$2-$kind"
        expect_failure "$2-$kind"
    done
}

# What may be repeated is answered by a sound endpoint.
for i in "${!names[@]}"; do
    raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}${names[i]}: 1\r\nContent-Length: 4\r\n\r\nraw\n"
    for n in 1 2 3; do
        lookup 2 "sound-$i-$n"
        expect_plain "sound-$i-$n" "{\"attempt\":\"sound-$i-$n\"}"
    done
    raw_answers "HTTP/1.1 200 OK\r\n${stream_fields}${names[i]}: 1\r\n\r\n${sound_events}"
    for n in 1 2 3; do
        inquiry 2 "sound-stream-$i-$n"
        expect_events "sound-stream-$i-$n" "1 2 3 4 5 6 7 8 "
    done
done

remove_sound_endpoints
for i in "${!names[@]}"; do expect_none_with 3 "name-$i" "${names[i]}: 1"; done
# Fields that would frame the body or sign the answer.
expect_none_with 2 spaced-length "Content-Length : 2"
expect_none_with 2 tabbed-length "Content-Length\t: 2"
expect_none_with 2 spaced-coding "Transfer-Encoding : chunked"
expect_none_with 2 folded-length " Content-Length: 2"
expect_none_with 2 folded-signature " X-Response-Stamp: other"
expect_judged 114

chunks='3\r\nraw\r\n0\r\n'
event_chunks='11\r\nid: 1\ndata: one\n\n\r\n0\r\n'
n=0
for line in 'X Bad: 1' 'X\001Bad: 1' ': 1'; do
    n=$((n + 1))
    heal 2 issue
    raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}Transfer-Encoding: chunked\r\n\r\n${chunks}${line}\r\n\r\n"
    issue 2 "trailer-$n-issue"
    expect_failure "trailer-$n-issue"
    heal 2 notice
    raw_answers "HTTP/1.1 200 OK\r\n${stream_fields}Transfer-Encoding: chunked\r\n\r\n${event_chunks}${line}\r\n\r\n"
    notice 2 "trailer-$n-notice"
    expect_failure "trailer-$n-notice" begun
    expect "the line '$line' in the stream" "$(grep -ac Bad "$folder/trailer-$n-notice.answer")" 0
done
# A field after the last chunk is no part of the head.
heal 2 issue
raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}Transfer-Encoding: chunked\r\n\r\n${chunks}X-Late: 1\r\n\r\n"
issue 2 sound-trailer
expect_plain sound-trailer raw
expect "the field after the last chunk in the head" "$(head_of sound-trailer | grep -aci '^X-Late')" 0

# Another instance passes the request on, and nothing of the broken answer back.
break_links_of_front_1
for i in 0 3 5; do expect_none_with 1 "other-$i" "${names[i]}: 1"; done
expect_relays 12
expect_judged 126

finish
