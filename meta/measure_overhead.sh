#!/usr/bin/env bash
# Measures what the router adds over going straight to the stand-in engine, what a core carries, and memory.
# Usage: meta/measure_overhead.sh [BUILD_FOLDER]
set -euo pipefail
source "$(dirname "$0")/../tests/processes/system.bash" "${1:-build}"
# Engines that never decline and cache nothing, so that both ways do the same work.
adjust_settings() {
    sed -i 's/"first_token_ms": 20,/"first_token_ms": 5, "slots": 400, "cached_prefixes": 0,/; s/"between_tokens_ms": 2/"between_tokens_ms": 5/' "$folder"/engine-?.json
    sed -i 's/"slots": 8/"slots": 400/' "$folder/platform.json"
}
start_system >/dev/null
load() { "$build/utilities/buckthorndale-load" "$@" || true; }
# Processor time of a process so far, in hundredths of a second.
ticks() { awk '{ print $14 + $15 }' "/proc/${process[$1]}/stat"; }
memory() { awk '/VmRSS/ { print $2 }' "/proc/${process[$1]}/status"; }

echo "idle memory kB: router $(memory router-1) agent $(memory agent-1)"
for callers in 1 10 100; do
    echo "callers=$callers straight: $(load -t "127.0.0.1:$(port 1)" -v small@1 -c $callers -n $((callers * 20)) -l 50)"
    echo "callers=$callers routed:   $(load -t "127.0.0.1:$(port 10)" -k harbour-key -c $callers -n $((callers * 20)) -l 50)"
done
for share in 1 2 4; do
    before=$(ticks router-1); before_agent=$(ticks agent-1)
    result=$(load -t "127.0.0.1:$(port 10)" -k harbour-key -c 60 -n $((60 * share)) -r $((6 * share)) -l 440)
    echo "share x$share (6 requests and 2,640 tokens a second each): $result"
    echo "  over about 10 s: router $(( $(ticks router-1) - before )) agent $(( $(ticks agent-1) - before_agent )) hundredths of a second"
done
echo "loaded memory kB: router $(memory router-1) agent $(memory agent-1)"
