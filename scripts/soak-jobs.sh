#!/usr/bin/env bash
# Three processes that take jobs and four task workers on loopback, with two teams of
# which one sends five times as much as the other. A key is removed, then jobs are
# submitted while processes are killed and frozen, the leader among them: each accepted
# job must be done, and each call with the removed key refused.
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
"$BIN/weirctl" team list "${JOBS[@]}"
if grep -l 'invariant violated' "$OUT"/jobs*.log; then fail "invariant violated"; fi
if grep -l 'replace-me' "$OUT"/*.log; then fail "a key is in a log"; fi
echo "soak of jobs: ok seed $SEED, $DURATION, $(cut -d' ' -f1 "$OUT/faults.log" | sort | uniq -c | awk '{printf "%s%s %s", sep, $1, $2; sep = ", "}')"
