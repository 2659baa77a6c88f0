# Functions for tests of objects whose names hold characters with a meaning in targets, heads, log lines or JSON.
# Source platform/stand_in/system.bash first.

# Each of these sorts after desk-1 and before desk-2.
odd_names=('desk-1&b=c' 'desk-1+b' 'desk-1#b' 'desk-1%zz' 'desk-1 b')
further_odd_names=('desk-1%' 'desk-1%41' 'desk-1?b' 'desk-1=b' 'desk-1/b' 'desk-1/../b' 'desk-1"b' "desk-1'b" 'desk-1\b' 'desk-1;b'
    'desk-1:b@c' 'desk-1{b}' 'desk-1<b>' 'desk-1é' 'desk-1 ' $'desk-1\tb' $'desk-1\nb' $'desk-1\r\nX-Hold: 1' $'desk-1\x7fb'
    $'desk-1\n2026-01-01 00:00:00.000 WARN  control: forged' "desk-1$(printf '%5000s' '' | tr ' ' x)"
    'desk-1 reason="none"')

# Prints an object. Usage: object NAME SPEC
object() { jq -nc --arg name "$1" --argjson spec "$2" '{ metadata: { name: $name }, spec: $spec }'; }
# Usage: put_object KIND NAME SPEC
put_object() {
    object "$2" "$3" | curl -s -X POST "http://127.0.0.1:$(port 0)/objects/$1" -o /dev/null --data-binary @-
}
encoded() { jq -rn --arg text "$1" '$text | @uri'; }
# Prints an object of the store. Usage: stored KIND NAME
stored() { curl -s "http://127.0.0.1:$(port 0)/objects/$1/$(encoded "$2")"; }
# Usage: delete_object KIND NAME
delete_object() { curl -s -X DELETE "http://127.0.0.1:$(port 0)/objects/$1/$(encoded "$2")" >/dev/null; }
# What another writer may leave among the endpoints.
foreign_spec='{ "service": "inventory", "address": "127.0.4.1:9", "state": "unheard-of" }'
# The spec of a usable endpoint. Usage: endpoint_spec SERVICE PORT [VERSION]
endpoint_spec() {
    jq -nc --arg service "$1" --arg address "127.0.0.1:$(port "$2")" --arg version "${3:-v1}" \
        '{ service: $service, address: $address, zone: "north-1", version: $version, slots: 8, state: "ready", sequence: 1, born: 1 }'
}

# Kills all instances and starts them again; an instance that does not become ready in time is a failure.
restart_fronts() {
    local i
    for i in 1 2 3; do
        kill -KILL "${process[front-$i]}"
        wait "${process[front-$i]}" 2>/dev/null
    done
    for i in 1 2 3; do start services/buckthorndale-front "front-$i"; done
    for i in 1 2 3; do wait_for 5 "front-$i is ready $1" front_is_ready "$i"; done
}
arrivals_at() { stand_in /record | jq --arg id "$1" '.arrivals[$id] // 0'; }
arrivals() { stand_in /record | jq '[ .arrivals // {} | .[] ] | add // 0'; }
# Sends calls to both services at all instances; each must be answered with 200 and reach one endpoint.
# Usage: expect_service WHEN
expect_service() {
    local i n before
    before=$(arrivals)
    for i in 1 2 3; do
        for n in 1 2 3 4; do
            expect "a lookup at front-$i $1" "$(status_of ask "$i" "lookup-$RANDOM$RANDOM" /lookup/tag)" 200
        done
        expect "an issue at front-$i $1" "$(status_of ask "$i" "issue-$RANDOM$RANDOM" /issue/tag -d x)" 200
        expect "a stream at front-$i $1" "$(status_of inquire "$i" "stream-$RANDOM$RANDOM")" 200
    done
    expect "requests at endpoints $1, 18 or more" "$(($(arrivals) - before >= 18))" 1
}
# Each line of the instances' logs has the form of a line, and is not longer than 4 KiB.
expect_log_lines() {
    expect "log lines without the form of a line" \
        "$(cat "$folder"/front-*.log | grep -cvE '^[0-9-]{10} [0-9:.]{12} [A-Z]+ +[a-z]+: ')" 0
    expect "log lines that a name has forged" "$(cat "$folder"/front-*.log | grep -c '^2026-01-01')" 0
    expect "log lines of more than 4 KiB" "$(cat "$folder"/front-*.log | LC_ALL=C awk 'length > 4096' | wc -l)" 0
    expect "log lines with a field that a name has forged" "$(cat "$folder"/front-*.log | grep -c 'name=[^ ]* reason="none"')" 0
}
