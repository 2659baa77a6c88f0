#!/usr/bin/env bash
# An endpoint sends bytes without end, in a header, in headers, in the size of a chunk, or in a body: the instance gives each
# answer up, keeps within the memory of its machine, and goes on serving.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts
store="http://127.0.0.1:$(port 0)/objects/servers"
# The memory of the users' smallest machine.
max_kilobytes=112640
# The route's time limit and half a second.
max_milliseconds=2000
put_endpoint() {
    curl -s -X PUT "$store/$1" -o /dev/null -d "{ \"metadata\": { \"name\": \"$1\" }, \"spec\": { \"service\": \"$2\", \"address\": \"127.0.0.1:$(port "$3")\",
        \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 80, \"state\": \"ready\", \"sequence\": 1, \"born\": $4 } }"
}
peak_kilobytes() { awk '$1 == "VmHWM:" { print $2 }' "/proc/${process[front-1]}/status"; }
milliseconds() { date +%s%3N; }

for kind in endless_header endless_headers endless_chunk_size endless_body; do
    stand_in "/raw?answer=$kind" >/dev/null
    put_endpoint desk-1 desk 7 2
    for i in 1 2 3; do put_endpoint "engine-$i" advice 7 2; done
    curl -s -X DELETE "$store/desk-2" >/dev/null
    sleep 0.5
    begun=$(milliseconds)
    pids=()
    for n in $(seq 40); do
        status_of ask 1 "$kind-$n" /issue/tag -d x -m 5 >"$folder/code-$n" &
        pids+=("$!")
        inquire 1 "$kind-stream-$n" -m 5 -o /dev/null -w '%{http_code}' >"$folder/stream-code-$n" &
        pids+=("$!")
    done
    wait "${pids[@]}"
    elapsed=$(($(milliseconds) - begun))
    codes=$(cat "$folder"/code-* "$folder"/stream-code-* | fold -w 3 | sort | uniq -c | tr -s ' \n' ' ')
    echo "$kind: $elapsed ms, statuses and their counts$codes, peak $(peak_kilobytes) kB"
    expect "requests without a final answer beside $kind" "$(cat "$folder"/code-* "$folder"/stream-code-* | fold -w 3 | grep -cvE '^50[234]$')" 0
    [ "$elapsed" -le $max_milliseconds ] || expect "milliseconds until all are answered beside $kind" "$elapsed" "$max_milliseconds or less"
    # The endpoints are replaced by sound ones.
    put_endpoint desk-1 desk 5 3
    for i in 1 2 3; do put_endpoint "engine-$i" advice $((1 + i)) 3; done
    serves() { [ "$(status_of ask 1 "after-$RANDOM$RANDOM" /lookup/tag)" = 200 ]; }
    wait_for 15 "front-1 serves after $kind" serves
done
peak=$(peak_kilobytes)
[ "$peak" -le $max_kilobytes ] || expect "kilobytes at the peak" "$peak" "$max_kilobytes or less"

[ "$failures" -eq 0 ]
