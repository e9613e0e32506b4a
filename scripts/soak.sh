#!/usr/bin/env bash
# A seeded run of real processes under faults: kills, freezes, silent links,
# zones cut off, lost disks, graceful stops, failing workers, racing operators,
# moves and waves. Invariants are asserted in the processes and compared with
# the workers' journals.
# Usage: scripts/soak.sh SEED DURATION
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${1:-1}
DURATION=${2:-60s}
SECONDS_LEFT=${DURATION%s}
OUT=${OUT:-out/soak-$SEED}
RELAY=1
CONTROLS=3
export WEIR_INVARIANTS_FATAL=1
. scripts/fleet.sh
RANDOM=$SEED

fail() {
  echo "soak: FAILED seed $SEED: $*"
  exit 1
}
trap 'fleet_stop' EXIT

note() { echo "$(date +%T) $*" >>"$OUT/faults.log"; }
pick_entry() { echo $((RANDOM % $(entry_count) + 1)); }
alive() { kill -0 "${PIDS[$1]}" 2>/dev/null; }

# Each fault begins and ends within a few seconds, so that the next finds a
# system that has come back.
fault_kill_entry() {
  local e name
  e=$(pick_entry)
  name=$(entry_name "$e")
  note "kill entry $name"
  kill -KILL "${PIDS[$name]}"
  sleep 1
  start_entry "$e"
}
fault_kill_control() {
  local c=$((RANDOM % CONTROLS + 1))
  note "kill control c$c"
  kill -KILL "${PIDS[c$c]}"
  sleep 1
  start_control "$c"
}
fault_lose_disk() {
  local c=$((RANDOM % CONTROLS + 1))
  note "kill control c$c and lose its disk"
  kill -KILL "${PIDS[c$c]}"
  wait "${PIDS[c$c]}" 2>/dev/null || true
  rm -rf "${OUT:?}/c$c"
  start_control "$c"
}
fault_freeze_control() {
  local c=$((RANDOM % CONTROLS + 1))
  note "freeze control c$c"
  kill -STOP "${PIDS[c$c]}"
  sleep 3
  kill -CONT "${PIDS[c$c]}"
}
fault_freeze_entry() {
  local name
  name=$(entry_name "$(pick_entry)")
  note "freeze entry $name"
  kill -STOP "${PIDS[$name]}"
  sleep 4
  kill -CONT "${PIDS[$name]}"
}
fault_cut_zone() {
  local zone=${ZONES[$((RANDOM % ${#ZONES[@]}))]}
  note "cut zone $zone"
  curl -sf -X POST "http://$(relay_control)/cut/$zone"
  sleep 4
  curl -sf -X POST "http://$(relay_control)/heal/$zone"
}
fault_silence() {
  note "all links between zones go silent"
  curl -sf -X POST "http://$(relay_control)/silence"
}
fault_stop_entry() {
  local e name
  e=$(pick_entry)
  name=$(entry_name "$e")
  note "graceful stop of entry $name"
  kill -TERM "${PIDS[$name]}"
  wait "${PIDS[$name]}" 2>/dev/null || true
  start_entry "$e"
}
fault_failing_worker() {
  note "worker gar-01 fails everything"
  curl -sf -X POST "http://$(platform_addr 2)/v1/instances/gar-01/failing/true"
  sleep 3
  curl -sf -X POST "http://$(platform_addr 2)/v1/instances/gar-01/failing/false"
}
operator_race() {
  local number
  number=$("$BIN/weirctl" config status --output json 2>/dev/null | sed -n 's/^  "number": \([0-9]*\),.*/\1/p' | head -n 1) || return 0
  [ -n "$number" ] || return 0
  note "two operators change configuration $number"
  sed "s/queueLength: [0-9]*/queueLength: $((200 + RANDOM % 100))/" "$EXAMPLE/base.yaml" >"$OUT/race-a/base.yaml"
  sed "s/queueLength: [0-9]*/queueLength: $((300 + RANDOM % 100))/" "$EXAMPLE/base.yaml" >"$OUT/race-b/base.yaml"
  local won=0
  "$BIN/weirctl" config apply --dir "$OUT/race-a" --expected "$number" --timeout 8s >/dev/null 2>"$OUT/race-a.err" &
  local first=$!
  "$BIN/weirctl" config apply --dir "$OUT/race-b" --expected "$number" --timeout 8s >/dev/null 2>"$OUT/race-b.err" && won=$((won + 1))
  wait $first && won=$((won + 1))
  [ $won -le 1 ] || echo "two operators won at configuration $number" >>"$OUT/broken"
}
operator_wave() {
  note "wave w$1"
  "$BIN/weirctl" wave start --name "w$1" --pool south-desk --zone "${ZONES[$((RANDOM % 4))]}" --parallel 2 --timeout 3s >/dev/null 2>&1 || true
}
operator_move() {
  note "move gar-11"
  local to=(north-desk members-app)
  "$BIN/weirctl" instance move gar-11 "${to[$(($1 % 2))]}" --timeout 3s >/dev/null 2>&1 || true
}

FAULTS=(fault_kill_entry fault_kill_control fault_lose_disk fault_freeze_control fault_freeze_entry
  fault_cut_zone fault_silence fault_stop_entry fault_failing_worker operator_race operator_wave operator_move)

fleet_ports || fail "see above"
fleet_prepare
cp -r "$EXAMPLE" "$OUT/race-a"
cp -r "$EXAMPLE" "$OUT/race-b"
fleet_start
wait_for 15 leader || fail "no leader within 15 s"
"$BIN/weirctl" config apply --dir "$EXAMPLE" --expected 0 --wait 10s >/dev/null 2>&1 || fail "configuration not in force"
wait_for 15 available 50 || fail "not all instances are available"
wait_for 10 entries_ready || fail "not all entry instances are ready"
# shellcheck disable=SC2046
"$BIN/weirstandin" load $(load_targets) $(printf -- '--service %s ' "${SERVICES[@]}") --team counters --team phone-app \
  --rate 200 --duration "${SECONDS_LEFT}s" --seed "$SEED" --tries 60 --out "$OUT/results.json" &
LOAD=$!
END=$((SECONDS + SECONDS_LEFT - 3))
ROUND=0
while [ $SECONDS -lt $END ]; do
  ROUND=$((ROUND + 1))
  "${FAULTS[$((RANDOM % ${#FAULTS[@]}))]}" "$ROUND" || true
  sleep $((RANDOM % 2 + 1))
done
wait $LOAD || fail "load ended with an error"
wait_for 30 available 49 || fail "instances do not come back: $("$BIN/weirctl" pool list)"
wait_for 30 usage_settled || fail "usage does not settle"
"$BIN/weirctl" usage --output json >"$OUT/usage.json"
VERDICT=0
"$BIN/weirstandin" verify --results "$OUT/results.json" --journals "$OUT/journals" --usage "$OUT/usage.json" || VERDICT=$?
awk '{$1 = ""; print $2}' "$OUT/faults.log" | sort | uniq -c | awk '{printf "%s %s, ", $1, $2} END {print "faults and actions by first word"}'
"$BIN/weirctl" config status | sed -n 1p
for name in "${!PIDS[@]}"; do
  alive "$name" || fail "process $name has ended, see $OUT/logs/$name.log"
done
VIOLATIONS=$(grep -l 'invariant violated' "$OUT"/logs/*.log || true)
[ -z "$VIOLATIONS" ] || fail "invariant violated, see $VIOLATIONS"
[ ! -f "$OUT/broken" ] || fail "$(cat "$OUT/broken")"
[ $VERDICT -eq 0 ] || fail "answers or usage are wrong"
fleet_stop
trap - EXIT
echo "soak: ok seed $SEED, $DURATION"
