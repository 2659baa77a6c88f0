#!/usr/bin/env bash
# An endpoint sends events without end, large ones and small ones, to callers that read nothing. The instance keeps within the memory of the
# users' smallest machine, ends each stream by its deadline without its end, and goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts front-1
remove_sound_endpoints
max_kilobytes=$((88 * 1024))
peak_kilobytes() { awk '$1 == "VmHWM:" { print $2 }' "/proc/${process[$1]}/status"; }

# Sends a request for a stream and reads nothing of its answer until the time is over. Usage: request_unread INSTANCE NAME
request_unread() {
    (
        exec 3<>"/dev/tcp/127.0.0.1/$(port $((10 * $1)))"
        printf 'POST /notice/one HTTP/1.1\r\nHost: registry.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n' "$2" >&3
        printf 'Authorization: Bearer harbour-key\r\nX-Model: large\r\nX-Token-Counts: 100,80\r\nX-Prompt-Prefix: %s:60\r\n' "$2" >&3
        printf 'Content-Length: 1\r\nConnection: close\r\n\r\nx' >&3
        sleep 4
    ) 2>/dev/null
}

# Usage: expect_bounded INSTANCE NAME EVENT
expect_bounded() {
    local n pids=() peak
    heal "$1" notice
    raw_answers "HTTP/1.1 200 OK\r\n${stream_fields}\r\n@repeat@$3"
    for n in $(seq 60); do
        request_unread "$1" "$2-unread-$n" &
        pids+=("$!")
    done
    # A caller that reads all that comes gets a stream that has no end.
    exchange "$1" "$2-read" POST /notice/one 'X-Model: large' 'X-Token-Counts: 100,80' "X-Prompt-Prefix: $2:60" 'X-Deadline-Ms: 600' <<<x &
    wait "$!" "${pids[@]}"
    peak=$(peak_kilobytes "front-$1")
    echo "$2: peak of front-$1 $peak kB, $(raw_arrivals) streams"
    [ "$(raw_arrivals)" -ge 15 ] || expect "the streams of $2" "$(raw_arrivals)" "15 or more"
    [ "$peak" -le $max_kilobytes ] || expect "kilobytes of front-$1 at the peak, up to $2" "$peak" "$max_kilobytes or less"
    if [ "$(status_in "$2-read")" = 200 ]; then
        expect "whether the stream $2-read looks whole" "$(faults_of "$2-read" | grep -c 'the last chunk is missing')" 1
    else
        expect_own_failure "$2-read" "$(status_in "$2-read")"
    fi
    heal "$1" notice
    notice "$1" "$2-after"
    expect_events "$2-after" "1 2 3 "
}

large=$(head -c 60000 /dev/zero | tr '\0' 'y')
expect_bounded 2 large "data: $large\n\n"
expect_bounded 3 small "data: y\n\n"
break_links_of_front_1
expect_bounded 1 passed-on "data: $large\n\n"
expect_relays 20

finish
