#!/usr/bin/env bash
# Measures what adding up the evidence on versions costs an agent: bytes of control calls a second, without and with
# answers of 14 versions, at several sizes of the fleet.
# Usage: meta/measure_evidence.sh [BUILD_FOLDER] [INSTANCES...]
set -euo pipefail
build_folder=${1:-build}
shift || true
sizes=${*:-4 12 36}
for size in $sizes; do
    bash -c '
        source "$1/tests/processes/system.bash" "$2"
        size=$3
        seconds=20
        versions=$(seq 14)
        meta/write_demo_settings.sh "$folder" "$first_port" "$size"
        names=$(for i in $versions; do printf "\"small@%s\", " "$i"; done)
        sed -i "s/\"small@1\", \"large@1\"/${names%, }/" "$folder"/{platform,engine-1,engine-2}.json
        start utilities/buckthorndale-platform-stand-in platform
        start utilities/buckthorndale-endpoint-stand-in engine-1
        start utilities/buckthorndale-endpoint-stand-in engine-2
        for i in $(seq "$size"); do
            start services/buckthorndale-agent "agent-$i"
            start services/buckthorndale-router "router-$i"
        done
        wait_for 17 "the administration API answers" control status || exit 1
        profiles=""
        for i in $versions; do
            put versions "{ \"model\": \"small\", \"version\": \"$i\", \"price_per_thousand_tokens\": 1000 }" >/dev/null
            put profiles "{ \"name\": \"p$i\", \"versions\": [ \"small@$i\" ] }" >/dev/null
            profiles+="\"p$i\", "
        done
        hash=$(printf "harbour-key" | sha256sum | cut -d" " -f1)
        put workspaces "{ \"id\": \"harbour\", \"key_hash\": \"$hash\", \"profiles\": [ ${profiles%, } ] }" >/dev/null
        wait_for 17 "the last router is ready" is_ready "$((size * 10))"
        bytes_of() {
            "$build/utilities/buckthorndale-control" --agent "127.0.0.1:$(port $((10 * $1 + 3)))" --json status |
                grep -oE "control_bytes_(sent|received)\" : [0-9]+" | grep -oE "[0-9]+$" | awk "{ sum += \$1 } END { print sum }"
        }
        measure() {
            local before=() rates=() i
            for i in $(seq "$size"); do before[i]=$(bytes_of "$i"); done
            "$@"
            for i in $(seq "$size"); do rates[i]=$((($(bytes_of "$i") - before[i]) / seconds)); done
            printf "%s\n" "${rates[@]}" | sort -n |
                awk "{ all[NR] = \$1; sum += \$1 } END { print \"  bytes/s of an agent: mean \" int(sum / NR) \", most \" all[NR] }"
        }
        answer_all() {
            local until=$((SECONDS + seconds)) i n=0
            while [ $SECONDS -lt $until ]; do
                for i in $versions; do
                    n=$((n % size + 1))
                    "$build/utilities/buckthorndale-load" --target "127.0.0.1:$(port $((10 * n)))" --key harbour-key \
                        --profile "p$i" --callers 4 --requests 40 --tokens 1 >/dev/null 2>&1 &
                done
                wait $(jobs -p | tail -n 14)
            done
        }
        echo "instances=$size, no answers:"
        measure sleep $seconds
        echo "instances=$size, answers of 14 versions:"
        measure answer_all
        echo "  counted: $(control evidence | awk "{ sum += \$2 } END { print sum }") good answers"
    ' measure "$(cd "$(dirname "$0")/.." && pwd)" "$build_folder" "$size"
done
