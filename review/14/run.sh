#!/bin/bash
. "$(dirname "$0")/../fleet-3.sh"
play_case restart-crash "$(cd "$(dirname "$0")" && pwd)"
