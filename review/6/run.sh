#!/usr/bin/env bash
# A wave waits while the log grows; the control processes are then restarted in turn.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../fleet-2.sh" wave-restart "$here/record.txt"
