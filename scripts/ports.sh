# Source this file. need_ports ADDRESS... names the first port that is in use.
# shellcheck shell=bash
need_ports() {
  local addr
  for addr in "$@"; do
    if (exec 3<>"/dev/tcp/${addr%:*}/${addr#*:}") 2>/dev/null; then
      echo "port ${addr#*:} is in use; choose others with BASE_PORT (and another folder with OUT)"
      return 1
    fi
  done
}
