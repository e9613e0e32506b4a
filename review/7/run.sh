#!/usr/bin/env bash
# A core machine is replaced; then another one loses its disk.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../fleet-2.sh" replaced-core "$here/record.txt"
