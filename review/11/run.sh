#!/bin/bash
. "$(dirname "$0")/../fleet-3.sh"
play_case reborn-late "$(cd "$(dirname "$0")" && pwd)"
