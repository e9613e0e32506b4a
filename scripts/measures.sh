#!/usr/bin/env bash
# Measures real processes on loopback: goodput against offered load, and the
# time until a change is in force everywhere, under load and under the kill of
# the leader. Prints tables for docs/MEASURES.md.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-out/measures}
CONTROLS=5
. scripts/fleet.sh
fail() {
  echo "measures: FAILED $*"
  exit 1
}
trap 'fleet_stop' EXIT
CHANGES=${CHANGES:-60}
ROUNDS=${ROUNDS:-3}
WORK_MS=800
CAPACITY=500 # requests a second: 50 workers, 8 slots, 0.8 s
LOAD_SECONDS=8

fleet_prepare
fleet_start
wait_for 15 leader || fail "no leader"
"$BIN/weirctl" config apply --dir "$EXAMPLE" --expected 0 --wait 10s >/dev/null 2>&1 || fail "configuration not in force"
wait_for 15 available 50 || fail "not all instances are available"
wait_for 10 entries_ready || fail "not all entry instances are ready"

# offer PERCENT sends a share of the capacity and prints the goodput.
offer() {
  # shellcheck disable=SC2046
  "$BIN/weirstandin" load $(load_targets) $(printf -- '--service %s ' "${SERVICES[@]}") --rate $((CAPACITY * $1 / 100)) \
    --work-ms $WORK_MS --bookings 50 --twice 0 --tries 1 --seed "$2" --duration ${LOAD_SECONDS}s --out "$OUT/offer.json"
  "$BIN/weirstandin" verify --results "$OUT/offer.json" --journals "$OUT/journals" >"$OUT/offer.txt" || fail "$(cat "$OUT/offer.txt")"
  awk -v pct="$1" -v secs=$LOAD_SECONDS '/^requests/ {req = $2} /^whole answers/ {whole = $3} /^not run/ {notrun = $3} /^unknown/ {unk = $2} /^first try/ {p = $0}
    END {sub("first try p50 / p99 *", "", p); printf "%d%% of capacity: %d requests, %.0f whole a second, %d not run, %d unknown, p50 / p99 %s\n", pct, req, whole / secs, notrun, unk, p}' "$OUT/offer.txt"
  sleep 3
}
for ((r = 1; r <= ROUNDS; r++)); do for pct in 50 100 200 300; do offer $pct "$r"; done; done

cp -r "$EXAMPLE" "$OUT/changed"
# change NUMBER applies the next change and prints the milliseconds.
change() {
  sed "s/queueLength: [0-9]*/queueLength: $((200 + $1))/" "$EXAMPLE/base.yaml" >"$OUT/changed/base.yaml"
  "$BIN/weirctl" config apply --dir "$OUT/changed" --expected "$1" --wait 16s 2>/dev/null | sed -n 's/.* after \([0-9.]*\)\(m\{0,1\}\)s.*/\1 \2/p' | awk '{print ($2 == "m") ? $1 : $1 * 1000}'
}
# shellcheck disable=SC2046
"$BIN/weirstandin" load $(load_targets) $(printf -- '--service %s ' "${SERVICES[@]}") --rate 300 --duration $((CHANGES / 2 + 20))s --out "$OUT/background.json" &
LOAD=$!
for ((n = 1; n <= CHANGES; n++)); do
  if [ "$n" -eq $((CHANGES / 2)) ]; then kill -KILL "${PIDS[$(leader)]}"; fi
  change "$n"
done | sort -n | awk '{v[NR] = $1} END {printf "roll-out, %d changes, 8 entry and 5 control processes, 300 requests a second, leader killed half way: p50 %d ms, p99 %d ms, longest %d ms\n", NR, v[int(NR * 0.5)], v[int(NR * 0.99)], v[NR]}'
wait $LOAD
fleet_stop
trap - EXIT
