#!/usr/bin/env bash
# The platform's store is in trouble and sends answers that are none: with a status that ends no request, a broken
# head, or a head that is cut. Instances take nothing from them, and callers are served all the while.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts

# What a reader of the body would take for a store that is empty.
empty='{"items":[],"events":[],"hasMore":false,"currentRev":99999999}'
json_fields="Content-Type: application/json\r\n"
length="Content-Length: ${#empty}\r\n"
raw_answers "$sound_plain"

expect_service_beside status-000 "HTTP/1.1 000 Trouble\r\n${json_fields}${length}\r\n${empty}"
expect_service_beside status-100 "HTTP/1.1 100 Continue\r\n${json_fields}${length}\r\n${empty}"
expect_service_beside status-600 "HTTP/1.1 600 Trouble\r\n${json_fields}${length}\r\n${empty}"

finish
