#!/usr/bin/env bash
# Starts three processes that take jobs and four task workers on loopback,
# submits jobs of two steps, kills the leader half way, and sees every job done.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-out/demo}-jobs
BIN=${BIN:-bin}
BASE_PORT=$((${BASE_PORT:-21000} + 2000))
declare -A PIDS=()
. scripts/ports.sh
fail() {
  echo "demo of jobs: FAILED $*"
  exit 1
}
stop_all() {
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT
# shellcheck disable=SC2046
need_ports $(for p in 1 2 3 11 12 13 21 22 23 40 41 42 43; do echo "127.0.0.1:$((BASE_PORT + p))"; done) || fail "see above"
rm -rf "$OUT"
mkdir -p "$OUT"
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$OUT/peer.token"

peer() { echo "127.0.0.1:$((BASE_PORT + $1))"; }
jobs_addr() { echo "127.0.0.1:$((BASE_PORT + 10 + $1))"; }
JOBS=()
SEEDS=()
for i in 1 2 3; do
  JOBS+=(--jobs "$(jobs_addr $i)")
  SEEDS+=(--seed "$(peer $i)")
done
start() {
  "$BIN/greengageweir" jobs --zone local --peer-addr "$(peer "$1")" --listen "$(jobs_addr "$1")" --data-dir "$OUT/data$1" \
    --peer-token-file "$OUT/peer.token" --metrics-addr "127.0.0.1:$((BASE_PORT + 20 + $1))" "${SEEDS[@]}" "${@:2}" \
    >>"$OUT/jobs$1.log" 2>&1 &
  PIDS[$1]=$!
}
for i in 1 2 3; do start $i --first-start; done
"$BIN/weirstandin" task-workers "${JOBS[@]}" --pool desk --count 4 --port $((BASE_PORT + 40)) >"$OUT/workers.log" 2>&1 &
PIDS[workers]=$!
"$BIN/weirctl" catalog put "${JOBS[@]}" --file examples/jobs/catalog.json || fail "configuration is not acknowledged (see $OUT)"

WAITS=()
for n in 1 2 3 4 5 6; do
  "$BIN/weirctl" job submit "${JOBS[@]}" --queue bookings --id "demo-$n" --file examples/jobs/prints.json --wait 30s >"$OUT/job$n.txt" 2>&1 &
  WAITS+=($!)
  sleep 0.2
done
LEADER=$(grep -l '"leads jobs"' "$OUT"/jobs*.log | tail -n 1 | tr -dc '0-9' | tail -c 1)
echo "kill -9 of the leader, process $LEADER"
kill -KILL "${PIDS[$LEADER]}"
sleep 2
start "$LEADER"
for pid in "${WAITS[@]}"; do wait "$pid" || fail "a job was not done, see $OUT/job*.txt"; done
cat "$OUT"/job*.txt
"$BIN/weirctl" job submit "${JOBS[@]}" --queue bookings --id demo-1 --file examples/jobs/prints.json || fail "an id sent again is refused"
[ "$("$BIN/weirctl" job show "${JOBS[@]}" --queue bookings --id demo-1)" = done ] || fail "a finished job is not shown as done"
grep -l 'invariant violated' "$OUT"/jobs*.log && fail "invariant violated"
echo "demo of jobs: ok"
