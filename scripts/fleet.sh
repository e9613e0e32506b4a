# Functions that start and stop a whole system on loopback. Source this file.
# Each process is started here, by the script; no process starts another.
# shellcheck shell=bash

ZONES=(shyambazar college-street gariahat howrah)
SERVICES=(north-desk central-lab south-desk district-lab members-app)
CONTROLS=${CONTROLS:-3}
ENTRIES_PER_ZONE=${ENTRIES_PER_ZONE:-2}
BASE_PORT=${BASE_PORT:-21000}
OUT=${OUT:-out/fleet}
BIN=${BIN:-bin}
EXAMPLE=${EXAMPLE:-examples/alokchitra}
declare -A PIDS=()
. scripts/ports.sh

# Ports of a process: its number times ten behind the base port.
control_peer() { echo "127.0.0.1:$((BASE_PORT + $1 * 10))"; }
control_ops() { echo "127.0.0.1:$((BASE_PORT + $1 * 10 + 1))"; }
entry_port() { echo $((BASE_PORT + 500 + $1 * 10)); }
entry_peer() { echo "127.0.0.1:$(entry_port "$1")"; }
entry_ops() { echo "127.0.0.1:$(($(entry_port "$1") + 1))"; }
entry_caller() { echo "127.0.0.1:$(($(entry_port "$1") + 2))"; }
entry_endpoint() { echo "127.0.0.1:$(($(entry_port "$1") + 3))"; }
platform_addr() { echo "127.0.0.1:$((BASE_PORT + 900 + $1))"; }

entry_count() { echo $((${#ZONES[@]} * ENTRIES_PER_ZONE)); }
entry_zone() { echo "${ZONES[$((($1 - 1) % ${#ZONES[@]}))]}"; }
entry_name() { echo "$(entry_zone "$1")-$((($1 - 1) / ${#ZONES[@]} + 1))"; }

# With RELAY=1 what one zone sends to a process in another goes through a relay
# port: a port for each pair of sending zone and process.
relay_control() { echo "127.0.0.1:$((BASE_PORT + 990))"; }
relay_port() { echo $((BASE_PORT + 1000 + $1 * 50 + $2)); } # zone number, process number
reach() { # zone number, process number, address, zone of the process
  if [ -z "${RELAY:-}" ] || [ "${ZONES[$1]}" = "$4" ]; then echo "$3"; else echo "127.0.0.1:$(relay_port "$1" "$2")"; fi
}
control_zone() { echo "${ZONES[$((($1 - 1) % ${#ZONES[@]}))]}"; }

# zone_flags fills CONTROL_FLAGS, MEMBER_FLAGS and ENTRY_FLAGS for a zone.
zone_flags() {
  local i
  CONTROL_FLAGS=()
  MEMBER_FLAGS=()
  ENTRY_FLAGS=()
  for ((i = 1; i <= CONTROLS; i++)); do
    local addr
    addr=$(reach "$1" "$i" "$(control_peer "$i")" "$(control_zone "$i")")
    CONTROL_FLAGS+=(--control "$addr")
    MEMBER_FLAGS+=(--member "c$i=$addr")
  done
  for ((i = 1; i <= $(entry_count); i++)); do
    ENTRY_FLAGS+=(--entry "$(entry_name "$i")=$(entry_zone "$i")=$(reach "$1" $((10 + i)) "$(entry_peer "$i")" "$(entry_zone "$i")")")
  done
}

zone_number() {
  local z
  for z in "${!ZONES[@]}"; do [ "${ZONES[$z]}" = "$1" ] && echo "$z"; done
}

start_relay() {
  local routes=() z i
  for z in "${!ZONES[@]}"; do
    for ((i = 1; i <= CONTROLS; i++)); do
      routes+=(--route "${ZONES[$z]},127.0.0.1:$(relay_port "$z" "$i"),$(control_peer "$i"),$(control_zone "$i")")
    done
    for ((i = 1; i <= $(entry_count); i++)); do
      routes+=(--route "${ZONES[$z]},127.0.0.1:$(relay_port "$z" $((10 + i))),$(entry_peer "$i"),$(entry_zone "$i")")
    done
  done
  launch relay "$BIN/weirstandin" relay --control-addr "$(relay_control)" "${routes[@]}"
}

fleet_prepare() {
  rm -rf "$OUT"
  mkdir -p "$OUT/journals" "$OUT/logs"
  echo "peer-token-for-loopback-only" >"$OUT/peer.token"
  echo "asha operator-token-for-loopback-only" >"$OUT/operators"
  echo "operator-token-for-loopback-only" >"$OUT/operator.token"
  PLATFORM_FLAGS=()
  for z in "${!ZONES[@]}"; do
    PLATFORM_FLAGS+=(--platform "${ZONES[$z]}=$(platform_addr "$z")")
  done
  COMMON_FLAGS=(--peer-token-file "$OUT/peer.token" --operator-tokens "$OUT/operators")
  export WEIR_TOKEN_FILE="$OUT/operator.token"
  WEIR_CONTROL_OPS=$(for ((i = 1; i <= CONTROLS; i++)); do control_ops "$i"; done | paste -sd,)
  export WEIR_CONTROL_OPS
}

# launch NAME COMMAND... runs a process in the background.
launch() {
  local name=$1
  shift
  "$@" >>"$OUT/logs/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_control() {
  zone_flags "$(zone_number "$(control_zone "$1")")"
  launch "c$1" "$BIN/greengageweir" control --id "c$1" --zone "$(control_zone "$1")" \
    --peer-addr "$(control_peer "$1")" --ops-addr "$(control_ops "$1")" --data-dir "$OUT/c$1" \
    "${MEMBER_FLAGS[@]}" "${PLATFORM_FLAGS[@]}" "${COMMON_FLAGS[@]}"
}

start_entry() {
  zone_flags "$(zone_number "$(entry_zone "$1")")"
  launch "$(entry_name "$1")" "$BIN/greengageweir" entry --id "$(entry_name "$1")" --zone "$(entry_zone "$1")" \
    --peer-addr "$(entry_peer "$1")" --ops-addr "$(entry_ops "$1")" \
    --caller-addr "$(entry_caller "$1")" --endpoint-addr "$(entry_endpoint "$1")" \
    "${CONTROL_FLAGS[@]}" "${ENTRY_FLAGS[@]}" "${COMMON_FLAGS[@]}"
}

start_workers() {
  local flags=()
  for ((e = 1; e <= $(entry_count); e++)); do
    [ "$(entry_zone "$e")" = "${ZONES[$1]}" ] && flags+=(--entry "$(entry_endpoint "$e")")
  done
  launch "workers-${ZONES[$1]}" "$BIN/weirstandin" workers --config "$EXAMPLE" --site "${ZONES[$1]}" \
    --platform-addr "$(platform_addr "$1")" --journal "$OUT/journals/${ZONES[$1]}.journal" "${flags[@]}"
}

# fleet_ports succeeds when no other process has the fleet's ports.
fleet_ports() {
  local addrs=() i z
  for ((i = 1; i <= CONTROLS; i++)); do addrs+=("$(control_peer "$i")" "$(control_ops "$i")"); done
  for ((i = 1; i <= $(entry_count); i++)); do addrs+=("$(entry_peer "$i")" "$(entry_ops "$i")" "$(entry_caller "$i")" "$(entry_endpoint "$i")"); done
  for z in "${!ZONES[@]}"; do addrs+=("$(platform_addr "$z")"); done
  if [ -n "${RELAY:-}" ]; then
    addrs+=("$(relay_control)")
    for z in "${!ZONES[@]}"; do
      for ((i = 1; i <= CONTROLS; i++)); do addrs+=("127.0.0.1:$(relay_port "$z" "$i")"); done
      for ((i = 1; i <= $(entry_count); i++)); do addrs+=("127.0.0.1:$(relay_port "$z" $((10 + i)))"); done
    done
  fi
  need_ports "${addrs[@]}"
}

fleet_start() {
  [ -z "${RELAY:-}" ] || start_relay
  for ((i = 1; i <= CONTROLS; i++)); do
    "$BIN/greengageweir" control-format --data-dir "$OUT/c$i"
    start_control "$i"
  done
  for ((i = 1; i <= $(entry_count); i++)); do start_entry "$i"; done
  for z in "${!ZONES[@]}"; do start_workers "$z"; done
}

load_targets() {
  for ((i = 1; i <= $(entry_count); i++)); do echo --target "$(entry_zone "$i")=$(entry_caller "$i")"; done
}

# wait_for SECONDS COMMAND... repeats a command until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $end ] && return 1
    sleep 0.1
  done
}

# available N succeeds when N instances are available.
available() {
  [ "$("$BIN/weirctl" pool list --output json | grep -o '"available": [0-9]*' | awk '{s += $2} END {print s}')" -ge "$1" ]
}

# entries_ready succeeds when the balancer would send callers to all.
entries_ready() {
  for ((i = 1; i <= $(entry_count); i++)); do curl -sf "http://$(entry_caller "$i")/readyz" || return 1; done
}

leader() { "$BIN/weirctl" config status --output json | sed -n 's/^  "leader": "\(.*\)",/\1/p'; }

# usage_settled succeeds when the usage did not change for two seconds.
usage_settled() {
  local before
  before=$("$BIN/weirctl" usage | head -n -1)
  sleep 2
  [ "$before" = "$("$BIN/weirctl" usage | head -n -1)" ]
}

fleet_stop() {
  local name
  for name in "${!PIDS[@]}"; do kill -TERM "${PIDS[$name]}" 2>/dev/null || true; done
  sleep 0.2
  for name in "${!PIDS[@]}"; do
    for _ in $(seq 50); do
      kill -0 "${PIDS[$name]}" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
    wait "${PIDS[$name]}" 2>/dev/null || true
  done
}
