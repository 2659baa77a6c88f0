#!/usr/bin/env bash
# Endpoints answer with a status that ends no request, below 200 or above 599. No caller gets such an answer, by whichever
# instance it comes. Interim responses are followed by the answer itself.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts front-1

# Sends a request of each kind beside a status line. Usage: expect_no_answer INSTANCE NAME STATUS_LINE
expect_no_answer() {
    local kind
    for kind in issue lookup inquiry notice; do
        heal "$1" "$kind"
        case "$kind" in
            issue | lookup) raw_answers "$3\r\n${plain_fields}Content-Length: 4\r\n\r\nraw\n" ;;
            *) raw_answers "$3\r\n${stream_fields}\r\n${sound_events}" ;;
        esac
        "$kind" "$1" "$2-$kind"
        expect_failure "$2-$kind"
        [ "$kind" = issue ] && [ "$(raw_arrivals)" -gt 1 ] && expect "the runs of $2-issue" "$(raw_arrivals)" 1
    done
}

# What may be repeated is answered by a sound endpoint.
for status in 000 100 999; do
    raw_answers "HTTP/1.1 $status Trouble\r\n${plain_fields}Content-Length: 4\r\n\r\nraw\n"
    for n in 1 2 3 4; do
        lookup 2 "sound-$status-$n"
        expect_plain "sound-$status-$n" "{\"attempt\":\"sound-$status-$n\"}"
    done
    raw_answers "HTTP/1.1 $status Trouble\r\n${stream_fields}\r\n${sound_events}"
    for n in 1 2 3 4; do
        inquiry 2 "sound-$status-stream-$n"
        expect_events "sound-$status-stream-$n" "1 2 3 4 5 6 7 8 "
    done
done

remove_sound_endpoints
for status in 000 001 099 101 600 999; do expect_no_answer 2 "only-$status" "HTTP/1.1 $status Trouble"; done
for status in 100 102 103 199; do
    for kind in issue lookup inquiry notice; do
        heal 3 "$kind"
        case "$kind" in
            issue | lookup)
                raw_answers "HTTP/1.1 $status Interim\r\n${plain_fields}Content-Length: 4\r\n\r\n${sound_plain}"
                "$kind" 3 "interim-$status-$kind"
                expect_plain "interim-$status-$kind" raw
                ;;
            *)
                raw_answers "HTTP/1.1 $status Interim\r\n\r\n${sound_stream}"
                "$kind" 3 "interim-$status-$kind"
                expect_events "interim-$status-$kind" "1 2 3 "
                ;;
        esac
    done
done
# Interim responses alone, or without end, are no answer.
expect_no_answer 2 interim-alone "HTTP/1.1 100 Continue"
heal 2 issue
raw_answers "@repeat@HTTP/1.1 100 Continue\r\n\r\n"
issue 2 interim-endless
expect_failure interim-endless
expect_judged 29

# Another instance passes the request on, and nothing of the broken answer back.
break_links_of_front_1
for status in 000 100 999; do expect_no_answer 1 "other-$status" "HTTP/1.1 $status Trouble"; done
expect_relays 12
expect_judged 35

finish
