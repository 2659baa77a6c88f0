#!/usr/bin/env bash
# Endpoints answer with a head in which the name of a field holds a blank or a control byte, or is none; or with such a line after
# the last chunk. No caller gets such an answer, that line, or a body that is framed by it.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts front-1

names=('X Bad' 'X-Bad ' 'X-Bad\t' ' X-Bad' '\tX-Bad' 'X\001Bad' 'X\000Bad' 'X\013Bad' 'X-Bad\r' 'X\177Bad' 'X\200Bad' 'X(Bad)' 'X/Bad' '')
# Prints the answers with a line at the head's beginning, within it and at its end.
expect_none_with() {
    local instance=$1 name=$2 line=$3 kind text n=0
    for text in "${line}\r\n${plain_fields}Content-Length: 4\r\n" "${plain_fields}${line}\r\nContent-Length: 4\r\n" \
        "${plain_fields}Content-Length: 4\r\n${line}\r\n"; do
        n=$((n + 1))
        heal "$instance"
        raw_answers "HTTP/1.1 200 OK\r\n${text}\r\nraw\n"
        issue "$instance" "$name-$n-issue"
        expect_own_failure "$name-$n-issue" 502
        expect "the requests $name-$n-issue at the raw endpoint" "$(raw_arrivals)" 1
    done
    raw_answers "HTTP/1.1 200 OK\r\n${stream_fields}${line}\r\n\r\n${sound_events}"
    for kind in inquiry notice; do
        "$kind" "$instance" "$name-$kind"
        expect_own_failure "$name-$kind" 502
    done
}

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
# Fields that would frame the body.
expect_none_with 2 spaced-length "Content-Length : 2"
expect_none_with 2 tabbed-length "Content-Length\t: 2"
expect_none_with 2 spaced-coding "Transfer-Encoding : chunked"
expect_none_with 2 folded-length " Content-Length: 2"

chunks='3\r\nraw\r\n0\r\n'
event_chunks='11\r\nid: 1\ndata: one\n\n\r\n0\r\n'
for line in 'X Bad: 1' 'X\001Bad: 1' ': 1'; do
    heal 2
    raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}Transfer-Encoding: chunked\r\n\r\n${chunks}${line}\r\n\r\n"
    issue 2 "trailer-$RANDOM"
    last=$(basename "$(ls -t "$folder"/trailer-*.answer | head -n 1)" .answer)
    expect_own_failure "$last" 502
    # The stream has begun, so its end must be missing.
    raw_answers "HTTP/1.1 200 OK\r\n${stream_fields}Transfer-Encoding: chunked\r\n\r\n${event_chunks}${line}\r\n\r\n"
    notice 2 "$last-notice"
    expect "whether the stream looks whole after the line '$line'" "$(faults_of "$last-notice" | grep -c 'last chunk is missing')" 1
    expect "the line '$line' in the stream" "$(head_of "$last-notice" | grep -ac Bad)" 0
done

for endpoint in engine-1 engine-2 engine-3 desk-1 desk-2; do break_route "$endpoint" refuse; done >/dev/null
for n in 1 2 3; do lookup 1 "loss-$n"; done
for i in 0 5; do expect_none_with 1 "other-$i" "${names[i]}: 1"; done
expect "whether requests were passed on" "$([ "$(grep -c action=relay "$folder/front-1.log")" -ge 6 ] && echo yes)" yes

finish
