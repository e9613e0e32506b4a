#!/bin/bash
. "$(dirname "$0")/../fleet-3.sh"
play_case adviser-page "$(cd "$(dirname "$0")" && pwd)"
