#!/usr/bin/env bash
# Starts a whole system on loopback, sends a mixed load through kills, a
# graceful stop, a change of the configuration and a maintenance wave, and
# compares what was told with what ran.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-out/demo}
. scripts/fleet.sh

fail() {
  echo "demo: FAILED $*"
  exit 1
}
trap 'fleet_stop' EXIT

fleet_ports || fail "see above"
fleet_prepare
fleet_start
wait_for 15 leader || fail "no leader within 15 s"
"$BIN/weirctl" config apply --dir "$EXAMPLE" --expected 0 --note "first" --wait 10s || fail "configuration not in force"
wait_for 15 available 50 || fail "not all instances are available"
wait_for 10 entries_ready || fail "not all entry instances are ready"

# shellcheck disable=SC2046
"$BIN/weirstandin" load $(load_targets) $(printf -- '--service %s ' "${SERVICES[@]}") \
  --team counters --team phone-app --team lab-managers --rate 300 --duration 24s --out "$OUT/results.json" &
LOAD=$!

sleep 3
LEADER=$(leader)
echo "kill -9 of the leader $LEADER"
kill -KILL "${PIDS[$LEADER]}"
sleep 2
echo "kill -9 of the entry instance $(entry_name 1)"
kill -KILL "${PIDS[$(entry_name 1)]}"
sleep 2
echo "both start again"
start_control "${LEADER#c}"
start_entry 1
sleep 2
echo "graceful stop of the entry instance $(entry_name 2) and of the worker how-01"
kill -TERM "${PIDS[$(entry_name 2)]}"
curl -sf -X POST "http://$(platform_addr 3)/v1/instances/how-01/leave" || fail "worker did not take the stop"
cp -r "$EXAMPLE" "$OUT/changed"
sed -i 's/queueLength: 256/queueLength: 300/' "$OUT/changed/base.yaml"
ROLLOUT=$("$BIN/weirctl" config apply --dir "$OUT/changed" --expected 1 --note "longer queues" --wait 10s) || fail "change not in force"
echo "$ROLLOUT"
"$BIN/weirctl" wave start --name demo --pool south-desk --zone gariahat --zone howrah --parallel 3 --wait 40s || fail "wave did not end"
wait $LOAD || fail "load ended with an error"
wait_for 20 usage_settled || fail "usage does not settle"
"$BIN/weirctl" usage --output json >"$OUT/usage.json"

echo
VERDICT=0
"$BIN/weirstandin" verify --results "$OUT/results.json" --journals "$OUT/journals" --usage "$OUT/usage.json" || VERDICT=$?
echo "roll-out: $(echo "$ROLLOUT" | tail -n 1)"
"$BIN/weirctl" config status | sed -n 1p
"$BIN/weirctl" pool list
BUSY=$("$BIN/weirctl" usage --output json | grep -o '"busyMillis": [0-9]*' | awk '{s += $2} END {print s}')
echo "buffer cost: $(awk -v busy="$BUSY" 'BEGIN {printf "%.1f", 100 - busy / (50 * 8 * 24000) * 100}') percent of slot time idle during the load"
VIOLATIONS=$(grep -l 'invariant violated' "$OUT"/logs/*.log || true)
[ -z "$VIOLATIONS" ] || fail "invariant violated, see $VIOLATIONS"
[ $VERDICT -eq 0 ] || fail "answers or usage are wrong"
fleet_stop
trap - EXIT
echo "demo: ok"
