#!/usr/bin/env bash
# Three processes that take jobs and four task workers on loopback, with two teams of
# which one sends five times as much as the other. A key is removed, then jobs are
# submitted while processes are killed and frozen, the leader among them: each accepted
# job must be done, and each call with the removed key refused. Meanwhile further keys
# are added and removed; each must be refused from the acknowledgement on.
# Usage: scripts/soak-jobs.sh SEED DURATION
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${1:-1}
DURATION=${2:-30s}
OUT=${OUT:-out/soak-jobs-$SEED}
BIN=${BIN:-bin}
BASE_PORT=$((${BASE_PORT:-21000} + 3000))
export WEIR_INVARIANTS_FATAL=1
RANDOM=$SEED
declare -A PIDS=()
. scripts/ports.sh
fail() {
  echo "soak of jobs: FAILED seed $SEED: $*"
  exit 1
}
stop_all() {
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT
# shellcheck disable=SC2046
need_ports $(for p in 1 2 3 11 12 13 40 41 42 43; do echo "127.0.0.1:$((BASE_PORT + p))"; done) || fail "see above"
rm -rf "$OUT"
mkdir -p "$OUT"
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$OUT/peer.token"
sed -e 's/"version": 2/"version": 3/' -e 's/"replace-me-counters-2026-11", //' examples/jobs/teams.json >"$OUT/teams.json"

peer() { echo "127.0.0.1:$((BASE_PORT + $1))"; }
JOBS=()
SEEDS=()
for i in 1 2 3; do
  JOBS+=(--jobs "127.0.0.1:$((BASE_PORT + 10 + i))")
  SEEDS+=(--seed "$(peer $i)")
done
start() {
  "$BIN/greengageweir" jobs --zone local --peer-addr "$(peer "$1")" --listen "127.0.0.1:$((BASE_PORT + 10 + $1))" --data-dir "$OUT/data$1" \
    --peer-token-file "$OUT/peer.token" "${SEEDS[@]}" "${@:2}" >>"$OUT/jobs$1.log" 2>&1 &
  PIDS[$1]=$!
}
for i in 1 2 3; do start $i --first-start; done
"$BIN/weirstandin" task-workers "${JOBS[@]}" --pool desk --count 4 --port $((BASE_PORT + 40)) >"$OUT/workers.log" 2>&1 &
PIDS[workers]=$!
"$BIN/weirctl" catalog put "${JOBS[@]}" --file examples/jobs/teams.json >/dev/null || fail "configuration is not acknowledged"
"$BIN/weirctl" catalog put "${JOBS[@]}" --file "$OUT/teams.json" >/dev/null || fail "configuration is not acknowledged"
"$BIN/weirstandin" job-load "${JOBS[@]}" --queue bookings --catalog "$OUT/teams.json" --earlier examples/jobs/teams.json \
  --hot phone-app --rate 20 --duration "$DURATION" --seed "$SEED" >"$OUT/result.json" 2>"$OUT/load.log" &
LOAD=$!
# put_key VERSION [KEY]: a version whose team phone-app has a further key, or not.
put_key() {
  sed -e "s/\"version\": 3/\"version\": $1/" -e "s/\"replace-me-phone-app-2026-12\"/&${2:+, \"$2\"}/" "$OUT/teams.json" >"$OUT/rotated.json"
  "$BIN/weirctl" catalog put "${JOBS[@]}" --file "$OUT/rotated.json" --timeout 30s >/dev/null
}
rotate_keys() {
  local n key
  for ((n = 1; ; n++)); do
    key="replace-me-rotated-$n"
    put_key $((2 * n + 10)) "$key" 2>>"$OUT/rotation.log" || continue
    WEIR_KEY=$key "$BIN/weirctl" job show "${JOBS[@]}" --queue bookings >/dev/null 2>"$OUT/rotation.err" ||
      ! grep -q unauthorized "$OUT/rotation.err" || echo "key $n is refused after it was added" >>"$OUT/broken"
    put_key $((2 * n + 11)) 2>>"$OUT/rotation.log" || continue
    if WEIR_KEY=$key "$BIN/weirctl" job show "${JOBS[@]}" --queue bookings >/dev/null 2>"$OUT/rotation.err"; then
      echo "key $n is accepted after it was removed" >>"$OUT/broken"
    fi
    echo "$n" >"$OUT/rotations"
    sleep 0.2
  done
}
rotate_keys &
PIDS[rotation]=$!
while sleep 3 && kill -0 $LOAD 2>/dev/null; do
  victim=$((RANDOM % 3 + 1))
  if [ $((RANDOM % 2)) -eq 0 ]; then
    echo "kill $victim" >>"$OUT/faults.log"
    kill -KILL "${PIDS[$victim]}"
    wait "${PIDS[$victim]}" 2>/dev/null || true
    sleep 1
    start "$victim"
  else
    echo "freeze $victim" >>"$OUT/faults.log"
    kill -STOP "${PIDS[$victim]}"
    sleep 2
    kill -CONT "${PIDS[$victim]}"
  fi
done
wait $LOAD || fail "$(cat "$OUT/load.log" "$OUT/result.json")"
cat "$OUT/result.json"
kill "${PIDS[rotation]}" 2>/dev/null || true
wait "${PIDS[rotation]}" 2>/dev/null || true
unset 'PIDS[rotation]'
[ ! -f "$OUT/broken" ] || fail "$(cat "$OUT/broken")"
[ -f "$OUT/rotations" ] || fail "no key was added and removed"
"$BIN/weirctl" team list "${JOBS[@]}"
if grep -l 'invariant violated' "$OUT"/jobs*.log; then fail "invariant violated"; fi
if grep -l 'replace-me' "$OUT"/*.log; then fail "a key is in a log"; fi
echo "soak of jobs: ok seed $SEED, $DURATION, $(cat "$OUT/rotations") further keys, $(cut -d' ' -f1 "$OUT/faults.log" | sort | uniq -c | awk '{printf "%s%s %s", sep, $1, $2; sep = ", "}')"
