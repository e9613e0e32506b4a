#!/bin/bash
. "$(dirname "$0")/../fleet-3.sh"
play_case only-machine "$(cd "$(dirname "$0")" && pwd)"
