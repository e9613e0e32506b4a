#!/bin/bash
# Plays a case of the third review: fleet-3.sh NAME FOLDER, or sourced for play_case
# NAME FOLDER TROUBLE. With TROUBLE 0 the case is played without its disruption.
#
# It starts three control processes and one entry instance with the commands of
# deploy/system.toml, plays the case against them, writes FOLDER/record.txt and ends
# all of them by their ids.

play_case() {
    local name=$1 trouble=$3 root node code
    here=$(cd "$2" && pwd) || exit 2
    root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
    cd "$root" || exit 2
    rig=target/review-3/rig3
    [ -x "$rig" ] && [ -x target/greengageweir ] || { echo "not built" >&2; exit 2; }
    dir=$(mktemp -d) || exit 2
    pids=
    trap 'kill -9 $pids; wait; rm -rf "$dir"' EXIT
    trap 'exit 2' INT TERM
    "$rig" --prepare --dir "$dir" || exit 2
    for node in core-1 core-2 core-3; do
        GREENGAGEWEIR_CONFIG=$dir/$node.json target/greengageweir platform-control >"$dir/$node.log" 2>&1 &
        pids="$pids $!"
    done
    GREENGAGEWEIR_CONFIG=$dir/edge-1.json target/greengageweir platform-entry >"$dir/edge-1.log" 2>&1 &
    pids="$pids $!"
    timeout 110 "$rig" --case "$name" --dir "$dir" --record "$here/record.txt" --trouble "$trouble"
    code=$?
    [ "$code" -le 2 ] || code=2
    [ -n "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS"/
    exit $code
}

if [ "${BASH_SOURCE[0]}" = "$0" ]; then
    play_case "$1" "$2" "${TROUBLE:-1}"
fi
