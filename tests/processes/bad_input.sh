#!/usr/bin/env bash
# Malformed and oversized requests, callers that disconnect, and invalid settings and command lines.
source "$(dirname "$0")/system.bash"
start_system
url="http://127.0.0.1:$(port 10)"
status_code() { call -o /dev/null -w '%{http_code}' "$@"; }

expect "malformed JSON" "$(status_code "$url/v1/chat/completions" -d '{')" 400
expect "no messages" "$(status_code "$url/v1/chat/completions" -d '{ "model": "quick" }')" 400
expect "deep nesting" "$(status_code "$url/v1/chat/completions" -d "$(printf '[%.0s' $(seq 5000))")" 400
expect "unknown profile" "$(status_code "$url/v1/chat/completions" -d '{ "model": "none", "messages": [ { "role": "user", "content": "x" } ] }')" 403
expect "wrong key" "$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer wrong' "$url/v1/chat/completions" -d '{}')" 401
expect "no key" "$(curl -s -o /dev/null -w '%{http_code}' "$url/v1/chat/completions" -d '{}')" 401
expect "another workspace" "$(status_code -H 'X-Workspace: other' "$url/v1/chat/completions" -d '{}')" 403
expect "wrong deadline" "$(status_code -H 'X-Deadline-Ms: soon' "$url/v1/chat/completions" -d '{ "messages": [ { "role": "user", "content": "x" } ] }')" 400
expect "damaged session token" "$(status_code -H 'X-Session-Token: zz' "$url/v1/chat/completions" -d '{ "messages": [ { "role": "user", "content": "x" } ] }')" 400
expect "unknown path" "$(status_code "$url/nowhere")" 404
expect "unknown service" "$(status_code "$url/services/none/x" -d '{}')" 403
head -c 5000000 /dev/zero | tr '\0' 'x' >"$folder/large"
expect "oversized body" "$(status_code -H 'Expect:' "$url/v1/chat/completions" --data-binary "@$folder/large")" 413
expect "oversized header" "$(status_code -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' 'x')" "$url/v1/chat/completions" -d '{}')" 413

# Callers that disconnect in the middle of a request and of an answer.
for i in 1 2 3; do (printf 'POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{' >"/dev/tcp/127.0.0.1/$(port 10)"); done
(printf 'GARBAGE\r\n\r\n' >"/dev/tcp/127.0.0.1/$(port 10)")
timeout 0.3 bash -c "curl -s -H 'Authorization: Bearer harbour-key' $url/v1/chat/completions -d '{ \"model\": \"quick\", \"stream\": true, \"messages\": [ { \"role\": \"user\", \"content\": \"tokens=2000\" } ] }'" >/dev/null
has_no_requests() { curl -s "$url/metrics" | grep -q '^buckthorndale_requests_inside 0'; }
wait_for 17 "no request is left in the router" has_no_requests
expect "the router still serves" "$(ask 10 quick after-1 'tokens=3' | grep -c '\[DONE\]')" 1

# Operators without a valid key, invalid changes, and an operator whose concurrent change is rejected.
expect "no operator key" "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(port 23)/v1/status")" 401
BUCKTHORNDALE_KEY=wrong control status 2>/dev/null
expect "a wrong operator key" "$?" 1
put profiles '{ "name": "odd", "versions": [ "none@1" ] }' 2>/dev/null
expect "a profile of an unknown version" "$?" 1
put profiles '{ "name": "odd", "versions": [ "small@1" ], "colour": 1 }' 2>"$folder/error"
expect "an unknown field" "$?" 1
expect "the error message names the field" "$(grep -c "'colour' is not known" "$folder/error")" 1
generation=$(control --json status | grep -o '"generation" : [0-9]*' | grep -o '[0-9]*$')
control --based-on "$generation" drain small@1 >/dev/null
control --based-on "$generation" withdraw small@1 2>"$folder/conflict"
expect "the later of two concurrent changes is rejected" "$?" 1
expect "the error names the author of the accepted change" "$(grep -c 'operator changed version small@1' "$folder/conflict")" 1

# Settings.
echo '{ "instance": "x" }' >"$folder/wrong.json"
"$build/services/buckthorndale-router" --check --settings "$folder/wrong.json" 2>"$folder/error"
expect "missing settings" "$?" 2
expect "the error message names the field" "$(grep -c "'data_centre' is missing" "$folder/error")" 1
"$build/services/buckthorndale-agent" --settings "$folder/none.json" 2>/dev/null
expect "a missing settings file" "$?" 2
"$build/services/buckthorndale-router" --check --settings "$folder/router-1.json"
expect "valid settings" "$?" 0
finish
