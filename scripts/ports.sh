# Source this file. need_ports ADDRESS... names the first port that is in use, or
# that the system may give to an outgoing connection at any moment.
# shellcheck shell=bash
need_ports() {
  local addr low high
  { read -r low high </proc/sys/net/ipv4/ip_local_port_range; } 2>/dev/null || { low=65536 high=65536; }
  for addr in "$@"; do
    if [ "${addr#*:}" -ge "$low" ] && [ "${addr#*:}" -le "$high" ]; then
      echo "port ${addr#*:} is one of $low to $high, which the system gives to outgoing connections; choose a smaller BASE_PORT"
      return 1
    fi
    if (exec 3<>"/dev/tcp/${addr%:*}/${addr#*:}") 2>/dev/null; then
      echo "port ${addr#*:} is in use; choose others with BASE_PORT (and another folder with OUT)"
      return 1
    fi
  done
}
