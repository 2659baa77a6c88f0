#!/usr/bin/env bash
# SIGKILL to a router during a stream, and to a router and its agent right after an answer.
source "$(dirname "$0")/system.bash"
start_system

# A router is killed during a stream: the caller receives no end marker, and its resend to another router is
# answered completely and billed once.
ask 10 quick long-1 "tokens=1000" >"$folder/broken.txt" &
caller=$!
wait_for 10 "the stream has begun" grep -q w5 "$folder/broken.txt"
kill -KILL "${process[router-1]}"
wait "$caller"
expect "a broken stream has no end marker" "$(grep -c '\[DONE\]' "$folder/broken.txt")" 0
ask 20 quick long-1 "tokens=100" >"$folder/complete.txt"
expect "the resend is answered completely" "$(grep -c '\[DONE\]' "$folder/complete.txt")" 1
expect "the resend has all tokens" "$(grep -c '"content":"w' "$folder/complete.txt")" 100
wait_for 17 "the resend is billed once" has_bill long-1

# An instance is killed right after an answer: two others hold the bill and write it.
ask 30 quick killed-1 "tokens=3" >"$folder/last.txt"
kill -KILL "${process[router-3]}" "${process[agent-3]}"
expect "the answer was complete" "$(grep -c '\[DONE\]' "$folder/last.txt")" 1
wait_for 30 "the bill of the killed instance is in the ledger" has_bill killed-1
finish
