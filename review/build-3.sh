#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/kit-3"
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../../target/review-3 .
