#!/usr/bin/env bash
# A planned stop of one instance, in calm, with requests that come all through it, over kept connections and new ones. Each that the
# instance reads gets a whole answer: the endpoint's, a refusal before the request has run, or, at the end of the time for the stop,
# that the outcome is unknown. None is cut without an answer, and what is refused as not run has not run.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts
remove_sound_endpoints
archive() { exchange "$1" "$2" POST /archive/tag 'X-Deadline-Ms: 20000' <<<"tag"; }

# Sends a lookup, and over the same connection a long call after a time; records the call's answer as exchange() does.
# Usage: archive_over_kept_connection NAME SECONDS
archive_over_kept_connection() {
    local common='Host: registry.example\r\nAuthorization: Bearer harbour-key\r\nX-Deadline-Ms: 20000\r\n' first
    (
        exec 3<>"/dev/tcp/127.0.0.1/$(port 20)"
        printf "GET /lookup/tag HTTP/1.1\r\n${common}X-Attempt-Id: $1-first\r\n\r\n" >&3
        (sleep "$2" && printf "POST /archive/tag HTTP/1.1\r\n${common}X-Attempt-Id: $1\r\nContent-Length: 1\r\n\r\nx" >&3) &
        timeout 12 cat <&3 >"$folder/$1-first.answer"
        case $? in
            0) echo closed ;;
            124) echo open ;;
            *) echo reset ;;
        esac >"$folder/$1.end"
    ) 2>/dev/null
    first=$(($(head_of "$1-first" | wc -c) + $(field_in "$1-first" Content-Length)))
    tail -c "+$((first + 1))" "$folder/$1-first.answer" >"$folder/$1.answer"
}

heal 2 issue
pids=()
for seconds in 1.0 2.0 3.8; do
    archive_over_kept_connection "kept-$seconds" "$seconds" &
    pids+=("$!")
done
sleep 0.4
# Endpoints need longer than the stop allows.
raw_answers "$sound_plain" "delay_ms=9000"
# Usage: send KIND NAME
send() {
    "$1" 2 "$2" &
    pids+=("$!")
}
send archive before-1
send issue before-2
sleep 0.3
kill -TERM "${process[front-2]}"
begun=$(date +%s%3N)
after() { sleep "$(awk -v at="$1" -v now="$(($(date +%s%3N) - begun))" 'BEGIN { print (at > now ? (at - now) / 1000 : 0) }')"; }
n=0
for at in 300 900 1500 2100 2700 2900; do
    after $at
    n=$((n + 1))
    send archive "early-$n"
    send issue "early-issue-$n"
    send lookup "early-lookup-$n"
done
n=0
for at in 3200 3700 4200 4700 5200; do
    after $at
    n=$((n + 1))
    send archive "late-$n"
    send issue "late-issue-$n"
    send lookup "late-lookup-$n"
done
wait "${process[front-2]}"
code=$?
elapsed=$(($(date +%s%3N) - begun))
expect "the exit code" "$code" 0
# stop_limit_s is 6.
[ $elapsed -lt 6000 ] || expect "milliseconds until the instance has ended" "$elapsed" "less than 6000"
wait "${pids[@]}"

# What was passed on has an answer, though the outcome is unknown.
for name in before-1 early-1 early-2 early-3 early-4 early-5 early-6 kept-1.0 kept-2.0; do
    expect_own_failure "$name" 502
    expect "what the caller of $name is told of its run" "$(body_of "$name" | grep -oE '"run":"[a-z-]+"')" '"run":"unknown"'
done
# The routes of these give up sooner.
for name in before-2 early-issue-1 early-issue-2 early-lookup-1 early-lookup-2; do
    status=$(status_in "$name")
    expect_own_failure "$name" "$([[ "$status" = 50[24] ]] && echo "$status" || echo '502 or 504')"
done
# What comes later is refused at once, and has not run.
for n in 1 2 3 4 5; do
    for name in "late-$n" "late-issue-$n" "late-lookup-$n"; do
        expect_own_failure "$name" 503
        expect "the runs of $name, which was refused" "$(raw_arrivals_of "$name")" 0
        expect "whether the caller of $name is told when to return" "$(field_in "$name" Retry-After | grep -cE '^[0-9.]+$')" 1
    done
done
# Idle connections are closed after 2.4 s, so that this call came to none.
expect "the answer to the call over a connection that was closed" "$(cat "$folder/kept-3.8.answer")" ""
expect "the runs of the call over a connection that was closed" "$(raw_arrivals_of kept-3.8)" 0
for name in before-1 early-1 early-2 early-3 early-4 early-5 early-6 kept-1.0 kept-2.0; do
    expect "the runs of $name, which may not be repeated" "$(raw_arrivals_of "$name")" 1
done
expect "lines about answers that the instance cut" "$(grep -c 'incomplete answer .*closed_by=instance' "$folder/front-2.log")" 0

finish
