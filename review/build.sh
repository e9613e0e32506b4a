#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -o ../../target/reviewstandin .
