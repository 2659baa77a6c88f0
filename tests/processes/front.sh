#!/usr/bin/env bash
# The front program on the stand-in of the users' platform: answers, streams, keys, retries, outages, stops.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts

expect "a plain answer" "$(ask 1 a1 /lookup/tag)" '{"attempt":"a1"}'
expect "a stream" "$(inquire 1 a2 | event_numbers)" "1 2 3 4 5 6 7 8 "
expect "the runs of an answer with a low rating and its escalation" "$(runs_of a2)" 2
expect "an unknown key" "$(caller_key=nobody status_of ask 1 a3 /lookup/tag)" 401
expect "an unknown route" "$(status_of ask 1 a4 /nowhere/)" 404
expect "a request without an attempt id" "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: registry.example' \
    -H 'Authorization: Bearer harbour-key' "http://127.0.0.1:$(port 10)/lookup/tag")" 400
expect "reserved headers sent by a caller are not forwarded" \
    "$(ask 1 a5 /issue/tag -d x -H 'X-Hold: 1' -H 'X-Pin-Ms: 9' >/dev/null; stand_in /record | grep -o '"forged":[0-9]*')" \
    '"forged":0'

stand_in '/fault?endpoint=desk-1&kind=fails' >/dev/null
stand_in '/fault?endpoint=desk-2&kind=fails' >/dev/null
expect "a failed call that may not be repeated" "$(status_of ask 2 b1 /issue/tag -d x)" 500
expect "the number of its runs" "$(runs_of b1)" 1
expect "a failed lookup" "$(status_of ask 2 b2 /lookup/tag)" 500
expect "the number of its runs" "$(runs_of b2)" 2
stand_in '/fault?endpoint=desk-1&kind=breaks' >/dev/null
stand_in '/fault?endpoint=desk-2&kind=breaks' >/dev/null
expect "a broken call that may not be repeated" "$(status_of ask 2 b3 /issue/tag -d x)" 502
expect "the number of its runs" "$(runs_of b3)" 1
stand_in '/fault?endpoint=desk-1&kind=declines' >/dev/null
stand_in '/fault?endpoint=desk-2&kind=declines' >/dev/null
expect "a declined call" "$(status_of ask 2 b4 /issue/tag -d x)" 503
expect "the number of its runs" "$(runs_of b4)" ""
for desk in desk-1 desk-2; do stand_in "/fault?endpoint=$desk&kind=none" >/dev/null; done

for engine in 1 2 3; do stand_in "/fault?endpoint=engine-$engine&kind=breaks" >/dev/null; done
expect "a stream that breaks and is resumed" "$(asked_model=large inquire 3 c1 | event_numbers)" "1 2 3 4 5 6 7 8 "
for engine in 1 2 3; do stand_in "/fault?endpoint=engine-$engine&kind=none" >/dev/null; done

# A change comes into force at all instances, which keep serving during an outage of the store.
sed 's/"version": 1,/"version": 2,/; s/harbour-key/wharf-key/' "$folder/configuration.json" >"$folder/second.json"
put_configuration "$folder/second.json"
new_key_works() { [ "$(caller_key=wharf-key status_of ask "$1" "d$RANDOM$RANDOM" /lookup/tag)" = 200 ]; }
for i in 1 2 3; do wait_for 2 "front-$i accepts the new key" new_key_works "$i"; done
expect "a withdrawn key" "$(status_of ask 1 d1 /lookup/tag)" 401
caller_key=wharf-key
stand_in '/store?down=1' >/dev/null
expect "a lookup in an outage" "$(status_of ask 1 e1 /lookup/tag)" 200
is_unavailable() { [ "$(caller_key=harbour-key status_of ask 1 "e$RANDOM$RANDOM" /lookup/tag)" = 503 ]; }
wait_for 5 "an unknown key gets 503 once the store is lost" is_unavailable
# An instance started during the outage gets the configuration from the other instances.
kill -KILL "${process[front-3]}"
wait "${process[front-3]}" 2>/dev/null
start services/buckthorndale-front front-3
wait_for 8 "a replacement is ready in an outage" front_is_ready 3
expect "a lookup at the replacement" "$(status_of ask 3 e2 /lookup/tag)" 200
stand_in '/store?down=0' >/dev/null

# On SIGTERM, an instance completes open requests and exits.
(inquire 1 f1 | event_numbers >"$folder/last") &
stream=$!
wait_for 2 "the stream is at an engine" runs_of f1
kill -TERM "${process[front-1]}"
wait "$stream"
expect "a stream during the shutdown" "$(cat "$folder/last")" "1 2 3 4 5 6 7 8 "
wait "${process[front-1]}"
expect "the exit code of a stopped instance" "$?" 0

[ "$failures" -eq 0 ]
