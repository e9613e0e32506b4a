#!/usr/bin/env bash
# An uncontrolled client submits one job of legal size that is made of many short fields.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../fleet-2.sh" many-fields "$here/record.txt"
