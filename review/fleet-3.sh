# Functions of the cases' scripts; sourced, not run. play_case starts three control
# processes and one entry instance with the commands of deploy/system.toml, plays a
# case against them and ends them.

play_case() {
    name=$1 here=$2 root=$(cd "$2/../.." && pwd)
    rig=$root/target/review-3/rig3
    [ -x "$rig" ] && [ -x "$root/target/greengageweir" ] || { echo "not built" >&2; exit 2; }
    dir=$(mktemp -d) || exit 2
    pids=
    trap 'kill -9 $pids; wait; rm -rf "$dir"' EXIT
    "$rig" --prepare --dir "$dir" || exit 2
    cd "$root" || exit 2
    for node in core-1 core-2 core-3; do
        GREENGAGEWEIR_CONFIG=$dir/$node.json target/greengageweir platform-control >"$dir/$node.log" 2>&1 &
        pids="$pids $!"
    done
    GREENGAGEWEIR_CONFIG=$dir/edge-1.json target/greengageweir platform-entry >"$dir/edge-1.log" 2>&1 &
    pids="$pids $!"
    "$rig" --case "$name" --dir "$dir" --record "$here/record.txt" --trouble "${TROUBLE:-1}"
    code=$?
    [ -n "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS"/
    exit $code
}
