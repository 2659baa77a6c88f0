#!/usr/bin/env bash
# All instances are restarted one by one while the platform is down; no bill is lost.
source "$(dirname "$0")/system.bash"
start_system

faults 0 '{ "down": true }'
for i in 1 2 3; do
    ask "${i}0" quick "outage-$i" "tokens=3" >"$folder/answer-$i.txt"
    expect "answer $i is complete" "$(grep -c '\[DONE\]' "$folder/answer-$i.txt")" 1
done
for i in 1 2 3; do
    kill -TERM "${process[router-$i]}"
    wait "${process[router-$i]}"
    expect "the exit code of router $i" "$?" 0
    kill -TERM "${process[agent-$i]}"
    wait "${process[agent-$i]}"
    expect "the exit code of agent $i" "$?" 0
    start services/buckthorndale-agent "agent-$i"
    start services/buckthorndale-router "router-$i"
    wait_for 17 "router $i is ready again" is_ready "${i}0"
done
faults 0 '{}'
for i in 1 2 3; do wait_for 30 "bill $i is in the ledger" has_bill "outage-$i"; done
finish
