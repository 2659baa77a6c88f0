# Tests of how broken answers are read: a raw stand-in serves as an endpoint or as the store, and what callers receive is
# judged byte by byte. Source tests/processes/system.bash and platform/stand_in/system.bash first.

# Ports of the raw stand-in, and the header whose value it echoes.
raw_port=22
raw_control_port=23
raw_echoed_header=X-Attempt-Id
start_raw() {
    echo "{ \"address\": \"127.0.0.1:$(port $raw_port)\", \"control\": \"127.0.0.1:$(port $raw_control_port)\", \"echoed_header\": \"$raw_echoed_header\" }" \
        >"$folder/raw.json"
    start utilities/buckthorndale-raw-stand-in raw
    wait_for 5 "the raw stand-in answers" raw_arrivals
}

# The raw stand-in is desk-1 and engine-1; the other endpoints are sound. Instances reach the store by a proxy of its own.
adjust_settings() {
    local i raw
    raw="127.0.0.1:$(port $raw_port)"
    edit_settings users-platform "(.endpoints[] | select(.id == \"desk-1\" or .id == \"engine-1\")).published = \"$raw\""
    edit_settings proxy "(.routes[] | select(.name == \"desk-1\" or .name == \"engine-1\")).target = \"$raw\""
    echo "{ \"control\": \"127.0.0.1:$(port 25)\", \"routes\": [ { \"name\": \"store\", \"target\": \"127.0.0.1:$(port 0)\", \"listen\": \"127.0.0.1:$(port 24)\" } ] }" \
        >"$folder/store-proxy.json"
    echo "{ \"address\": \"127.0.0.1:$(port 27)\", \"control\": \"127.0.0.1:$(port 28)\" }" >"$folder/raw-store.json"
    start utilities/buckthorndale-raw-stand-in raw-store
    start utilities/buckthorndale-fault-proxy store-proxy
    for i in 1 2 3; do
        # With "front-1", that instance has an address of the store of its own.
        [ "$i" = 1 ] && [ "$1" = front-1 ] || edit_settings "front-$i" ".store = \"127.0.0.1:$(port 24)\""
    done
    # Routes of more kinds: streams that may not be repeated, and long calls that may not.
    edit_settings configuration '.spec.routes += [
        { "name": "notice", "host": "registry.example", "pathPrefix": "/notice/", "kind": "streaming", "timeoutMs": 8000,
          "targetLatencyMs": 2000, "priority": 1, "sizes": [ "small", "large" ], "service": "advice", "maxAttempts": 3,
          "targetGapMs": 800 },
        { "name": "archive", "host": "registry.example", "pathPrefix": "/archive/", "kind": "non_idempotent", "timeoutMs": 20000,
          "targetLatencyMs": 2000, "priority": 1, "service": "desk", "maxAttempts": 1 } ]'
    start_raw
}

# Usage: edit_settings NAME JQ_FILTER
edit_settings() {
    jq "$2" "$folder/$1.json" >"$folder/edited" && mv "$folder/edited" "$folder/$1.json"
}

# Sets the answer of the raw endpoint to a text in the notation of printf. Usage: raw_answers TEXT [QUERY]
raw_answers() {
    printf "$1" | curl -s -X POST --data-binary @- "http://127.0.0.1:$(port $raw_control_port)/answer?${2:-}" >/dev/null
}
# How many requests have reached the raw endpoint since its answer was set.
raw_arrivals() { curl -s "http://127.0.0.1:$(port $raw_control_port)/"; }

# How many times a request has reached it. Usage: raw_arrivals_of NAME
raw_arrivals_of() { curl -s "http://127.0.0.1:$(port $raw_control_port)/?of=$1"; }

# The first fields of each of the raw endpoint's answers.
raw_fields='X-Attempt-Id: @echo@\r\nX-Response-Stamp: raw\r\nX-Confidence: 90\r\nX-Raw: raw\r\n'
plain_fields="${raw_fields}Content-Type: application/json\r\n"
stream_fields="${raw_fields}Content-Type: text/event-stream\r\n"
sound_plain="HTTP/1.1 200 OK\r\n${plain_fields}Content-Length: 4\r\n\r\nraw\n"
sound_events='id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n'
sound_stream="HTTP/1.1 200 OK\r\n${stream_fields}\r\n${sound_events}"

# Leaves the raw endpoint as the only one of its services.
remove_sound_endpoints() {
    local id
    for id in desk-2 engine-2 engine-3; do
        curl -s -X DELETE "http://127.0.0.1:$(port 0)/objects/servers/$id" -o /dev/null
    done
    sleep 0.5
}

# Sends a request over a connection of its own. Records all bytes that come back in FOLDER/NAME.answer, and in
# FOLDER/NAME.end how the connection ended: closed, reset, or open after 12 seconds. The body is standard input.
# Usage: exchange INSTANCE NAME METHOD PATH [HEADER...]
exchange() {
    local where=$((10 * $1)) name=$2 method=$3 path=$4 header
    shift 4
    cat >"$folder/$name.body"
    {
        printf '%s %s HTTP/1.1\r\nHost: registry.example\r\nX-Attempt-Id: %s\r\nConnection: close\r\n' "$method" "$path" "$name"
        printf 'Authorization: Bearer harbour-key\r\n'
        [[ "$*" = *X-Deadline-Ms* ]] || set -- "$@" "X-Deadline-Ms: 4000"
        for header in "$@"; do printf '%s\r\n' "$header"; done
        printf 'Content-Length: %s\r\n\r\n' "$(stat -c %s "$folder/$name.body")"
        cat "$folder/$name.body"
    } >"$folder/$name.request"
    (
        exec 3<>"/dev/tcp/127.0.0.1/$(port "$where")"
        cat "$folder/$name.request" >&3 &
        timeout 12 cat <&3 >"$folder/$name.answer"
        case $? in
            0) echo closed ;;
            124) echo open ;;
            *) echo reset ;;
        esac >"$folder/$name.end"
    ) 2>/dev/null
}
lookup() { exchange "$1" "$2" GET /lookup/tag </dev/null; }
issue() { exchange "$1" "$2" POST /issue/tag <<<"tag"; }
# A stream that may be repeated, and one that may not.
inquiry() { exchange "$1" "$2" POST /inquiry/one 'X-Model: large' 'X-Token-Counts: 100,80' "X-Prompt-Prefix: $2:60,own$2:40" <<<"question"; }
notice() { exchange "$1" "$2" POST /notice/one 'X-Model: large' 'X-Token-Counts: 100,80' "X-Prompt-Prefix: $2:60,own$2:40" <<<"question"; }

head_of() { LC_ALL=C sed '/^\r$/q' "$folder/$1.answer"; }
body_of() { tail -c "+$(($(head_of "$1" | wc -c) + 1))" "$folder/$1.answer"; }
status_in() { head_of "$1" | head -n 1 | tr -d '\r' | cut -d ' ' -f 2; }
# Prints the value of a field. Usage: field_in NAME FIELD
field_in() { head_of "$1" | tr -d '\r' | grep -ai "^$2: " | head -n 1 | cut -d ' ' -f 2-; }

# Prints what is wrong with the form of an answer; nothing for a whole one in HTTP.
faults_of() {
    local end length field=$'^[!#$%&\'*+.^_`|~0-9A-Za-z-]+: [\t -~]*\r$'
    end=$(cat "$folder/$1.end")
    [ "$end" = closed ] || echo "the connection was $end"
    head_of "$1" | head -n 1 | LC_ALL=C grep -qaE $'^HTTP/1\\.1 [2-5][0-9][0-9] [ -~]*\r$' || echo "the status line is none"
    head_of "$1" | tail -n 1 | grep -qax $'\r' || echo "the head has no end"
    head_of "$1" | sed '1d;$d' | LC_ALL=C grep -qavE "$field" && echo "a field is none"
    length=$(field_in "$1" Content-Length)
    if [ "$(field_in "$1" Transfer-Encoding)" = chunked ]; then
        [ "$(tail -c 7 "$folder/$1.answer" | tr -d '\r' | tr '\n' '/')" = "/0//" ] || echo "the last chunk is missing"
    elif [ "${length:-none}" != "$(body_of "$1" | wc -c)" ]; then
        echo "the body has $(body_of "$1" | wc -c) bytes of ${length:-an unstated length}"
    fi
}

# Checks for a whole answer of the instance itself, with nothing of the endpoint's. Usage: expect_own_failure NAME STATUS
expect_own_failure() {
    expect "the status of $1" "$(status_in "$1")" "$2"
    expect "the form of the answer to $1" "$(faults_of "$1" | tr '\n' ';')" ""
    expect "the endpoint's fields in the answer to $1" "$(head_of "$1" | grep -aciE '^X-(Response-Stamp|Raw)|^X-Attempt-Id')" 0
    expect "the media type of the answer to $1" "$(field_in "$1" Content-Type)" "application/problem+json"
}
# Checks for a whole answer of a sound endpoint. Usage: expect_plain NAME BODY, expect_events NAME NUMBERS
expect_plain() {
    expect "the status of $1" "$(status_in "$1")" 200
    expect "the form of the answer to $1" "$(faults_of "$1" | tr '\n' ';')" ""
    expect "whether the answer to $1 is signed" "$(head_of "$1" | grep -aciE '^X-Response-Stamp: .')" 1
    expect "the body of the answer to $1" "$(body_of "$1")" "$2"
}
expect_events() {
    expect "the status of $1" "$(status_in "$1")" 200
    expect "the form of the answer to $1" "$(faults_of "$1" | tr '\n' ';')" ""
    expect "the events of $1" "$(body_of "$1" | grep -aoE '^id: [0-9]+' | grep -oE '[0-9]+' | tr '\n' ' ')" "$2"
}

# Requests whose broken answer was judged.
judged=0
# Checks that a caller cannot take its answer for a success: a refusal if the raw endpoint was not asked, a failure of the
# instance's own, or, with "begun", a stream whose end is missing. Usage: expect_failure NAME [begun]
expect_failure() {
    if [ "$(raw_arrivals)" = 0 ]; then
        expect_own_failure "$1" 503
        return
    fi
    judged=$((judged + 1))
    if [ "${2:-}" = begun ] && [ "$(status_in "$1")" = 200 ]; then
        expect "whether the stream $1 looks whole" "$(faults_of "$1" | grep -c 'the last chunk is missing')" 1
        return
    fi
    expect_own_failure "$1" 502
}
expect_judged() { [ "$judged" -ge "$1" ] || expect "the requests whose broken answers were judged" "$judged" "$1 or more"; }

# Lets the raw endpoint answer well until an instance sends it a request of a kind, so that no earlier failure keeps it from
# the next one. Usage: heal INSTANCE KIND
heal() {
    case "$2" in
        inquiry | notice) raw_answers "$sound_stream" ;;
        *) raw_answers "$sound_plain" ;;
    esac
    is_healed() { "$2" "$1" "healed-$RANDOM$RANDOM" && [ "$(raw_arrivals)" -gt 0 ]; }
    wait_for 10 "the raw endpoint gets requests again" is_healed "$1" "$2"
}

# Lets front-1 lose its links to all endpoints, so that it passes requests on to other instances.
break_links_of_front_1() {
    local endpoint n
    for endpoint in engine-1 engine-2 engine-3 desk-1 desk-2; do break_route "$endpoint" refuse; done >/dev/null
    for n in 1 2 3; do lookup 1 "loss-$n"; done
}
expect_relays() {
    local count
    count=$(grep -c action=relay "$folder/front-1.log")
    [ "$count" -ge "$1" ] || expect "requests that front-1 passed on" "$count" "$1 or more"
}

# Leads the instances' connections to the store to a raw stand-in, or back. Usage: break_store TEXT [QUERY]
break_store() {
    printf "$1" | curl -s -X POST --data-binary @- "http://127.0.0.1:$(port 28)/answer?${2:-}" >/dev/null
    lead_to_store 27
}
lead_to_store() { curl -s "http://127.0.0.1:$(port 25)/target?route=store&address=127.0.0.1:$(port "$1")"; }
# Also waits until each instance has a configuration that was written after that.
generation=1
restore_store() {
    local i
    lead_to_store 0
    generation=$((generation + 1))
    jq ".spec.version = $generation" "$folder/configuration.json" >"$folder/next.json"
    put_configuration "$folder/next.json"
    for i in 1 2 3; do
        wait_for 10 "front-$i has the configuration again" grep -q "configuration in force generation=$generation " "$folder/front-$i.log"
    done
}

# Called with the name of a case while the store is broken.
check_beside_store=:
# Checks that all instances serve while the store sends an answer. Usage: expect_service_beside NAME TEXT [QUERY]
expect_service_beside() {
    local n i
    break_store "$2" "${3:-}"
    for n in 1 2 3 4 5 6; do
        for i in 1 2 3; do
            lookup "$i" "$1-$i-$n"
            expect "the status of $1-$i-$n" "$(status_in "$1-$i-$n")" 200
            expect "the form of the answer to $1-$i-$n" "$(faults_of "$1-$i-$n" | tr '\n' ';')" ""
        done
        sleep 0.5
    done
    "$check_beside_store" "$1"
    restore_store
}
