#!/usr/bin/env bash
# An endpoint that goes silent on open connections, an endpoint that leaves, a request that crashes endpoints,
# and SIGTERM to a router during a stream.
source "$(dirname "$0")/system.bash"
start_system

# The engine that serves the stream goes silent; the stream is resumed at the other engine.
ask 10 quick silent-1 "tokens=400" >"$folder/silent.txt" &
caller=$!
wait_for 10 "the stream has begun" grep -q w5 "$folder/silent.txt"
engine=$(grep -o 'dispatch request=silent-1 .* at engine-[12]' "$folder/router-1.log" | grep -o '[12]$')
faults "$engine" '{ "silent": true }'
wait "$caller"
faults "$engine" '{}'
expect "the stream is complete" "$(grep -c '\[DONE\]' "$folder/silent.txt")" 1
expect "no token is missing or repeated" "$(grep -o '"content":"w[0-9]*' "$folder/silent.txt" | sort -u | wc -l)" 400
expect "no token is sent twice" "$(grep -c '"content":"w' "$folder/silent.txt")" 400

# A leaving endpoint reports that itself, long before the instance list does.
faults 1 '{ "leaving": true }'
for i in 1 2 3 4; do ask 20 quick "leaving-$i" "tokens=3" >"$folder/leaving.txt"; done
expect "requests are answered by the other engine" "$(grep -c '\[DONE\]' "$folder/leaving.txt")" 1
faults 1 '{}'

# SIGTERM during a stream: the router completes the stream and exits with 0.
ask 30 quick stop-1 "tokens=1000" >"$folder/stop.txt" &
caller=$!
wait_for 10 "the stream has begun" grep -q w5 "$folder/stop.txt"
kill -TERM "${process[router-3]}"
wait "$caller"
wait "${process[router-3]}"
expect "the exit code of the router" "$?" 0
unset 'process[router-3]'
expect "the stream was not interrupted" "$(grep -c '\[DONE\]' "$folder/stop.txt")" 1
kill -TERM "${process[agent-3]}"
wait "${process[agent-3]}"
expect "the exit code of the agent" "$?" 0
unset 'process[agent-3]'
wait_for 17 "the bill of the stopped instance is in the ledger" has_bill stop-1

# A request that crashes endpoints is refused after it has crashed two.
ask 10 quick crash-1 "crash-this-endpoint" >"$folder/crash.txt"
expect "the request is refused as suspected" "$(grep -c suspected-request "$folder/crash.txt")" 1
ask 20 quick crash-2 "crash-this-endpoint" >"$folder/crash.txt"
expect "the resend to another router is refused" "$(grep -c suspected-request "$folder/crash.txt")" 1
finish
