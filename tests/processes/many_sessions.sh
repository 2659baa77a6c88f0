#!/usr/bin/env bash
# Callers name another session in each request, with a name as long as a head allows. The instance keeps little of them, and
# goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/crowds.bash
log_to_files
start_fronts
callers=8
requests_each=1000
name=$(filler 15000)

# Sends all requests of a caller over one connection. Usage: call CALLER
call() {
    awk -v caller="$1" -v requests=$requests_each -v name="$name" 'BEGIN {
        for (n = 1; n <= requests; ++n) {
            printf "GET /lookup/tag HTTP/1.1\r\nHost: registry.example\r\nX-Attempt-Id: many-%d-%d\r\n", caller, n
            printf "X-Deadline-Ms: 4000\r\nAuthorization: Bearer harbour-key\r\nSession: %d-%d-%s\r\n", caller, n, name
            printf "Connection: %s\r\n\r\n", n == requests ? "close" : "keep-alive"
        }
    }' >"$folder/requests-$1"
    exec 3<>"/dev/tcp/127.0.0.1/$(port 10)"
    cat "$folder/requests-$1" >&3 &
    grep -aoE 'HTTP/1.1 [0-9]+' <&3 >"$folder/codes-$1"
}
calls=()
for caller in $(seq $callers); do
    call "$caller" &
    calls+=("$!")
done
wait "${calls[@]}"
echo "$(cat "$folder"/codes-* | grep -c ' 200') of $((callers * requests_each)) served"
expect_bounded front-1 "$(port 10)" sessions $callers
expect "the status of a request after the sessions" "$(status_of ask 1 after /lookup/tag)" 200
finish
