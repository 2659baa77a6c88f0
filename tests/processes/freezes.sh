#!/usr/bin/env bash
# An instance is suspended with SIGSTOP while a version is withdrawn, and resumed with SIGCONT.
source "$(dirname "$0")/system.bash"
start_system

kill -STOP "${process[router-1]}" "${process[agent-1]}"
# A request is queued in the socket of the suspended router.
ask 10 good waiting-1 "tokens=3" -o "$folder/waiting.txt" -w '%{http_code}' >"$folder/waiting.code" &
caller=$!
control withdraw large@1 >/dev/null
expect "the change is accepted" "$?" 0
is_refused() { [ "$(ask 20 good probe-1 'tokens=3' -o /dev/null -w '%{http_code}')" = 403 ]; }
wait_for 17 "the withdrawal is in force at another router" is_refused
# The router stays suspended beyond the 17 s within which a change must be in force, so it must not dispatch
# to the withdrawn version after it is resumed.
sleep 18
kill -CONT "${process[router-1]}" "${process[agent-1]}"
wait "$caller"
expect "the queued request is refused" "$(cat "$folder/waiting.code")" 403
expect "the refusal is marked as not run" "$(grep -c '"run":"not-run"' "$folder/waiting.txt")" 1
served_count() { curl -s "http://127.0.0.1:$(port "$1")/status" | grep -o '"served":[0-9]*'; }
expect "engine 1 ran nothing" "$(served_count 1)" '"served":0'
expect "engine 2 ran nothing" "$(served_count 2)" '"served":0'
wait_for 17 "the resumed router is ready again" is_ready 10
finish
