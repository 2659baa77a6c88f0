# Tests of callers that make an instance hold as much as they can: crowds of connections that send something and then stay
# open. Judged is what does not depend on the speed of the machine: that the process lives, how much memory and how many
# descriptors it holds at most, and that ordinary requests are answered beside the crowd and after it.
# Source tests/processes/system.bash first.

# The memory of the users' smallest machine, and the descriptors that a process may have open beside those of a crowd.
max_kilobytes=$((88 * 1024))
max_other_descriptors=200
crowd=()

# Opens connections to a port, sends a file over each at the same time and keeps all open. What comes back over the
# connection of process P is left in FOLDER/answer-P.
# Usage: send_crowd PORT COUNT FILE
send_crowd() {
    local n
    for n in $(seq "$2"); do
        (
            exec 3<>"/dev/tcp/127.0.0.1/$1"
            cat <&3 >"$folder/answer-$BASHPID" &
            cat "$3" >&3
            : >"$folder/sent-$BASHPID"
            exec sleep 60
        ) 2>/dev/null &
        crowd+=("$!")
        disown "$!"
    done
}

# Waits until each member of the crowd has sent all that the instance takes, or has been cut off. A member whose bytes the
# instance leaves unread goes on trying, so the wait is bounded.
# Usage: wait_for_crowd SECONDS
wait_for_crowd() {
    local until=$((SECONDS + $1)) pid
    for pid in "${crowd[@]}"; do
        while [ ! -e "$folder/sent-$pid" ] && kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $until ]; do sleep 0.05; done
    done
}

end_crowd() {
    local pid
    for pid in "${crowd[@]}"; do
        pkill -KILL -P "$pid"
        kill -KILL "$pid" 2>/dev/null
    done
    crowd=()
}

# Bytes that were received on connections to a port and that the process has not read.
unread_bytes() {
    local sum=0 queues
    while read -r queues; do sum=$((sum + 16#${queues#*:})); done < <(
        awk -v suffix="$(printf ':%04X' "$1")" '$4 ~ /^0[18]$/ && substr($2, length($2) - 4) == suffix { print $5 }' /proc/net/tcp
    )
    echo "$sum"
}

# Waits until the most that a process has held does not grow any more. Usage: wait_until_settled PROCESS
wait_until_settled() {
    local last=-1 peak until=$((SECONDS + 5))
    while [ $SECONDS -lt $until ]; do
        peak=$(peak_kilobytes "$1")
        [ "$peak" = "$last" ] && return
        last=$peak
        sleep 0.2
    done
}
peak_kilobytes() { awk '$1 == "VmHWM:" { print $2 }' "/proc/${process[$1]}/status"; }

# Checks the most memory that a process has held since the last such check, together with what lies unread in its sockets,
# and its descriptors.
# Usage: expect_bounded PROCESS PORT CASE CROWD
expect_bounded() {
    local pid=${process[$1]} peak unread descriptors
    kill -0 "$pid" 2>/dev/null || { expect "whether $1 lives beside $3" no yes; return; }
    wait_until_settled "$1"
    peak=$(peak_kilobytes "$1")
    unread=$(($(unread_bytes "$2") / 1024))
    descriptors=$(find "/proc/$pid/fd" -mindepth 1 | wc -l)
    echo "$3: peak of $1 $peak kB, unread $unread kB, descriptors $descriptors"
    [ $((peak + unread)) -le $max_kilobytes ] || expect "kilobytes held by $1 beside $3" "$((peak + unread))" "$max_kilobytes or less"
    # The peak begins anew, see proc(5).
    echo 5 >"/proc/$pid/clear_refs"
    [ "$descriptors" -le $(($4 + max_other_descriptors)) ] || expect "descriptors of $1 beside $3" "$descriptors" "$(($4 + max_other_descriptors)) or less"
}

# Writes a number of bytes to standard output. Usage: filler BYTES
filler() { head -c "$1" /dev/zero | tr '\0' 'x'; }
