#!/bin/bash
. "$(dirname "$0")/../fleet-3.sh"
play_case reborn-noted "$(cd "$(dirname "$0")" && pwd)"
