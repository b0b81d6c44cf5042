#!/usr/bin/env bash
# Builds the stand-ins and the runner of the scripts under review/ into review/bin.
# Standard library only; needs no network.
set -euo pipefail
cd "$(dirname "$0")/kit"
mkdir -p ../bin
GOWORK=off GOFLAGS="-buildvcs=false" CGO_ENABLED=0 go build -o ../bin/reviewkit .
