#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../fleet-3.sh"
play_case reborn-noted "$here" "${TROUBLE:-1}"
