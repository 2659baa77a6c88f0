#!/usr/bin/env bash
# The platform's store sends bytes without end, in a head or in a body. Instances keep within the memory of the users' smallest
# machine, callers are served all the while, and the store's contents are read again once it is back.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts
max_kilobytes=$((88 * 1024))
peak_kilobytes() { awk '$1 == "VmHWM:" { print $2 }' "/proc/${process[$1]}/status"; }
# Usage: expect_peaks NAME
expect_peaks() {
    local i peak peaks=""
    for i in 1 2 3; do
        peak=$(peak_kilobytes "front-$i")
        peaks+=" $peak"
        [ "$peak" -le $max_kilobytes ] || expect "kilobytes of front-$i at the peak, up to $1" "$peak" "$max_kilobytes or less"
    done
    echo "$1: peaks in kB:$peaks"
}
check_beside_store=expect_peaks
raw_answers "$sound_plain"

json_head="HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
expect_service_beside field "${json_head}X-Filler: @repeat@yyyy"
expect_service_beside fields "${json_head}@repeat@X-Filler: yyyy\r\n"
expect_service_beside interim "@repeat@HTTP/1.1 100 Continue\r\n\r\n"
expect_service_beside chunk-size "${json_head}Transfer-Encoding: chunked\r\n\r\n5;x=@repeat@yyyy"
expect_service_beside body "${json_head}\r\n{\"items\":[],\"filler\":\"@repeat@yyyy"
expect_service_beside items "${json_head}\r\n{\"hasMore\":false,\"currentRev\":1,\"items\":[{}@repeat@,{\"metadata\":{\"name\":\"y\"}}"
expect_service_beside chunks "${json_head}Transfer-Encoding: chunked\r\n\r\n@repeat@8\r\n{\"items\"\r\n"
# Slow enough that all that an instance reads from the store comes at the same time.
expect_service_beside slow-body "${json_head}\r\n{\"items\":[],\"filler\":\"@repeat@yyyy" "interval_ms=2"

# Endpoints send without end as well.
remove_sound_endpoints
raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}\r\n{\"filler\":\"@repeat@yyyy"
break_store "${json_head}\r\n{\"items\":[],\"filler\":\"@repeat@yyyy" "interval_ms=2"
pids=()
for n in $(seq 20); do
    for i in 1 2 3; do
        issue "$i" "both-$i-$n" &
        pids+=("$!")
    done
    [ $((n % 5)) = 0 ] && sleep 1
done
wait "${pids[@]}"
for n in $(seq 20); do
    for i in 1 2 3; do
        expect "the form of the answer to both-$i-$n" "$(faults_of "both-$i-$n" | tr '\n' ';')" ""
        expect "the raw endpoint's fields in the answer to both-$i-$n" "$(head_of "both-$i-$n" | grep -aci '^X-Raw')" 0
    done
done
expect_peaks both
restore_store

finish
