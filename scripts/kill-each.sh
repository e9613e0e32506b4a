#!/usr/bin/env bash
# Kills each process of the system in turn with SIGKILL under load. Five
# seconds later every request at every other entry instance must get a whole
# answer at its first try. Afterwards the answers are compared with the
# journals.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-out/kill-each}
export WEIR_INVARIANTS_FATAL=1
. scripts/fleet.sh

fail() {
  echo "kill-each: FAILED $*"
  exit 1
}
trap 'fleet_stop' EXIT
SERVED_WITHIN=5 # seconds, the stated target

probe() { # name of the process that is down
  local targets=() i
  for ((i = 1; i <= $(entry_count); i++)); do
    [ "$(entry_name "$i")" = "$1" ] || targets+=(--target "$(entry_zone "$i")=$(entry_caller "$i")")
  done
  # shellcheck disable=SC2046
  "$BIN/weirstandin" load "${targets[@]}" $(printf -- '--service %s ' "${SERVICES[@]}") --rate 200 --duration 2s \
    --tries 1 --twice 0 --seed 7 --out "$OUT/probe-$1.json"
  "$BIN/weirstandin" verify --results "$OUT/probe-$1.json" --journals "$OUT/journals" >"$OUT/probe-$1.txt" || fail "after $1: $(cat "$OUT/probe-$1.txt")"
  local requests whole
  requests=$(awk '/^requests/ {print $2}' "$OUT/probe-$1.txt")
  whole=$(awk '/^whole answers/ {print $3}' "$OUT/probe-$1.txt")
  echo "$1 down for $SERVED_WITHIN s: $whole of $requests whole at the first try"
  [ "$requests" = "$whole" ] || fail "after $1: $(cat "$OUT/probe-$1.txt")"
}

fleet_prepare
fleet_start
wait_for 15 leader || fail "no leader"
"$BIN/weirctl" config apply --dir "$EXAMPLE" --expected 0 --wait 10s >/dev/null 2>&1 || fail "configuration not in force"
wait_for 15 available 50 || fail "not all instances are available"
wait_for 10 entries_ready || fail "not all entry instances are ready"
NAMES=()
for ((i = 1; i <= CONTROLS; i++)); do NAMES+=("c$i"); done
for ((i = 1; i <= $(entry_count); i++)); do NAMES+=("$(entry_name "$i")"); done
# shellcheck disable=SC2046
"$BIN/weirstandin" load $(load_targets) $(printf -- '--service %s ' "${SERVICES[@]}") --rate 100 \
  --duration $((${#NAMES[@]} * 11))s --tries 60 --out "$OUT/results.json" &
LOAD=$!
for n in "${!NAMES[@]}"; do
  name=${NAMES[$n]}
  kill -KILL "${PIDS[$name]}"
  sleep $SERVED_WITHIN
  probe "$name"
  if [ "$n" -lt "$CONTROLS" ]; then start_control $((n + 1)); else start_entry $((n + 1 - CONTROLS)); fi
  sleep 3
done
wait $LOAD || fail "load ended with an error"
"$BIN/weirstandin" verify --results "$OUT/results.json" --journals "$OUT/journals" || fail "answers are wrong"
fleet_stop
trap - EXIT
echo "kill-each: ok"
