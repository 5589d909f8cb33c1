#!/usr/bin/env bash
# One heartbeat of another writer at each machine.
. "$(dirname "$0")/../rig2/lib.sh" "$(cd "$(dirname "$0")" && pwd)"
start_system 3 4
timeout 110 target/rig2 writer "$DIR" "$CASE_DIR/record.txt"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
